//go:build review2

package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// run is a request that a target began to work on.
type run struct {
	id     string
	at     time.Time
	caller string
}

// target is a stand-in of a target. It echoes the request ID, signs its answers, answers 421 to
// requests for another instance, and sends heartbeats.
type target struct {
	m       *machine
	id      string
	born    int64
	slots   int
	address netip.AddrPort
	server  *http.Server
	stopped chan struct{}
	once    sync.Once
	// work answers a request that the target runs. The headers are set before.
	work http.HandlerFunc

	mu    sync.Mutex
	seq   int
	state string
	// silent is set while the target sends no heartbeats.
	silent bool
	// beaten is the time of the last heartbeat that was acknowledged.
	beaten time.Time
	runs   []run
}

func newTarget(m *machine, host, id string, slots int) (*target, error) {
	listener, err := listenSmall(host + ":0")
	if err != nil {
		return nil, err
	}
	t := &target{
		m:       m,
		id:      id,
		born:    time.Now().UnixMilli(),
		slots:   slots,
		address: listener.Addr().(*net.TCPAddr).AddrPort(),
		stopped: make(chan struct{}),
		state:   "ready",
		work: func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			w.Write([]byte("ok " + r.Header.Get(headerID)))
		},
	}
	t.server = &http.Server{
		Handler: http.HandlerFunc(t.serve),
	}
	go t.server.Serve(listener)
	return t, nil
}

func (t *target) stop() {
	t.once.Do(func() {
		close(t.stopped)
		t.server.Close()
	})
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if expected := r.Header.Get(headerInstance); expected != "" && expected != t.id {
		w.Header().Set("X-Laburnumshelf-Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Laburnumshelf-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	t.runs = append(t.runs, run{
		id:     id,
		at:     time.Now(),
		caller: r.Header.Get(headerCaller),
	})
	t.mu.Unlock()
	t.m.d.logf("%s: target runs %s from %s", t.m.name, id, r.Header.Get(headerCaller))
	w.Header().Set(headerSignature, "signed-"+id)
	t.work(w, r)
}

// runsBetween returns the requests that the target began to work on between two times.
func (t *target) runsBetween(from, to time.Time) []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []run
	for _, r := range t.runs {
		if r.at.After(from) && r.at.Before(to) {
			found = append(found, r)
		}
	}
	return found
}

// beat returns the path and the body of the next heartbeat.
func (t *target) beat() (path string, body []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	body, _ = json.Marshal(map[string]any{
		"address": t.address.String(),
		"born":    t.born,
		"info":    map[string]any{"service": t.m.service, "version": "v1", "zone": "lagos-ikeja", "slots": t.slots},
		"status":  map[string]any{"state": t.state, "seq": t.seq, "warmupLeftS": 0},
	})
	return "/-/Instances.Heartbeat/" + t.id, body
}

// runHeartbeats sends heartbeats until the target is stopped.
func (t *target) runHeartbeats() {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		t.mu.Lock()
		silent := t.silent
		t.mu.Unlock()
		if !silent {
			path, body := t.beat()
			status, err := post(t.m.control, path, body)
			if err == nil && status == http.StatusOK {
				t.mu.Lock()
				t.beaten = time.Now()
				t.mu.Unlock()
			}
			t.m.d.logf("%s: heartbeat %s answered %d %v", t.m.name, body, status, err)
		}
		select {
		case <-t.stopped:
			return
		case <-ticker.C:
		}
	}
}

// awaitBeat waits until the next heartbeat has been acknowledged.
func (t *target) awaitBeat() {
	from := time.Now()
	await(2*heartbeatPeriod, func() bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.beaten.After(from)
	})
}

// setSilent starts or ends the silence of the target.
func (t *target) setSilent(silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = silent
}

// deregister sends a deregistration and returns the status of the answer.
func (t *target) deregister() (int, error) {
	body, _ := json.Marshal(map[string]any{"born": t.born})
	status, err := post(t.m.control, "/-/Instances.Deregister/"+t.id, body)
	t.m.d.logf("%s: deregistration %s answered %d %v", t.m.name, body, status, err)
	return status, err
}

// listenSmall listens with the segments and the windows of a real link.
func listenSmall(address string) (net.Listener, error) {
	config := net.ListenConfig{
		Control: smallSocket,
	}
	return config.Listen(context.Background(), "tcp", address)
}

// smallSocket gives a socket the segments and the windows of a real link. Those of the loopback
// interface hold megabytes for each connection.
func smallSocket(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10),
		)
	})
	return errors.Join(err, failed)
}
