package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/logserver"
	"github.com/laburnumshelf/laburnumshelf/platform"
)

// Bounds of the users' platform that the soak checks.
const (
	soakGrace = 6 * time.Second
	// soakLinger is how long after a SIGTERM a request may be sent that is cut off in the
	// last sixth of the grace time.
	soakLinger = 3 * time.Second
	// soakLossSlack is how long after its last byte a request that was not passed on may be
	// cut off.
	soakLossSlack = 200 * time.Millisecond
	soakDeadline  = 5 * time.Second
	soakHeartbeat = 500 * time.Millisecond
)

// soakMachine is a machine with its node, which is a process, and its backend server, which
// makes a call through the node for each request to the front service.
type soakMachine struct {
	s        *soak
	name     string
	service  string
	settings string
	callAddr string
	control  string
	ready    string
	server   *httptest.Server
	// conns are the kept connections of the backend server to its node.
	conns chan *soakConn

	// stopping is held while the node stops and starts again.
	stopping sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// terms are the times of the SIGTERMs.
	terms []time.Time
}

// soakRun is the work of a backend server on one request.
type soakRun struct {
	began time.Time
	ended time.Time
}

// soakExchange is a request and how it ended. The status is 0 without a whole answer.
type soakExchange struct {
	id      string
	machine *soakMachine
	sent    time.Time
	ended   time.Time
	status  int
	// own reports that the answer is the node's, not a backend server's.
	own bool
}

// soak is a deployment with clients that do not notice planned stops.
type soak struct {
	t        *testing.T
	dir      string
	store    *logserver.Store
	storeURL string
	machines []*soakMachine
	count    atomic.Int64
	stop     chan struct{}

	mu        sync.Mutex
	runs      map[string]*soakRun
	exchanges []soakExchange
}

// soakConn is a connection that is kept until it ends.
type soakConn struct {
	net.Conn
	reader *bufio.Reader
}

func newSoak(t *testing.T) *soak {
	t.Helper()
	store := logserver.New(logserver.Retention{})
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	s := &soak{
		t:        t,
		dir:      t.TempDir(),
		store:    store,
		storeURL: server.URL,
		stop:     make(chan struct{}),
		runs:     make(map[string]*soakRun),
	}
	s.configure(1)
	for i := range 6 {
		s.addMachine(i, []string{"front", "back"}[i%2])
	}
	for _, m := range s.machines {
		m.start()
	}
	for _, m := range s.machines {
		m.awaitReady()
	}
	return s
}

// configure writes a version of the operator's configuration.
func (s *soak) configure(version int) {
	s.t.Helper()
	rule := func(name, kind, service string, timeout float64) string {
		return fmt.Sprintf(`{"name":%q,"kind":%q,"aimS":1,"priority":1,"routeMatch":{"pathPrefix":"/%s/"},"routeAction":{"service":%q,"timeoutS":%g,"maxAttempts":2}}`,
			name, kind, name, service, timeout)
	}
	rules := []string{
		rule("page", "safe", "front", 3),
		rule("order", "non_idempotent", "front", 3),
		rule("stock", "safe", "back", 1+float64(version%2)/10),
		rule("report", "safe", "back", 4.5),
	}
	content := fmt.Sprintf(`{"version":"%08x","listeners":[{"host":"h.example","rules":[%s]}]}`, version, strings.Join(rules, ","))
	if err := s.store.Put(s.t.Context(), platform.OperatorTable, "config", []byte(content)); err != nil {
		s.t.Error(err)
	}
}

func (s *soak) addMachine(i int, service string) {
	m := &soakMachine{
		s:        s,
		name:     fmt.Sprint("n", i),
		service:  service,
		settings: filepath.Join(s.dir, fmt.Sprint("n", i, ".jsonc")),
		callAddr: freeAddress(s.t),
		control:  freeAddress(s.t),
		ready:    freeAddress(s.t),
		conns:    make(chan *soakConn, 100),
	}
	m.server = httptest.NewServer(http.HandlerFunc(m.serve))
	s.t.Cleanup(m.server.Close)
	settings := fmt.Sprintf(`{"id": %q, "region": "r", "zone": "z", "service": "platform/%s", "callAddress": %q, "adminAddress": %q,
		"peerAddress": %q, "backendAddress": %q, "logUrl": %q, "stopTimeout": %q, "decisionsKept": 64, "logLevel": "warning",
		"platform": {"readinessAddress": %q, "registryAddress": %q, "heartbeatInterval": %q}}`,
		m.name, service, m.callAddr, freeAddress(s.t), freeAddress(s.t), m.server.Listener.Addr(), s.storeURL, soakGrace, m.ready, m.control, soakHeartbeat)
	if err := os.WriteFile(m.settings, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.machines = append(s.machines, m)
	go m.sendHeartbeats()
}

// start starts the node.
func (m *soakMachine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.s.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		m.s.t.Error(err)
		return
	}
	defer log.Close()
	m.cmd = exec.Command(binary, "node")
	m.cmd.Env = append(os.Environ(), "LABURNUMSHELF_CONFIG="+m.settings)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		m.s.t.Error(err)
		return
	}
	process := m.cmd.Process
	m.s.t.Cleanup(func() {
		process.Kill()
	})
}

// restart stops the node as planned and starts it again after a pause.
func (m *soakMachine) restart(pause time.Duration) {
	m.stopping.Lock()
	defer m.stopping.Unlock()
	m.mu.Lock()
	cmd := m.cmd
	m.terms = append(m.terms, time.Now())
	m.mu.Unlock()
	cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(soakGrace, func() {
		m.s.t.Errorf("%s still runs %s after SIGTERM", m.name, soakGrace)
		cmd.Process.Kill()
	})
	cmd.Wait()
	kill.Stop()
	time.Sleep(pause)
	m.start()
	m.awaitReady()
}

// hangUp sends a SIGHUP to the node unless it starts, since it may not handle signals yet.
func (m *soakMachine) hangUp() {
	if !m.stopping.TryLock() {
		return
	}
	defer m.stopping.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd.Process.Signal(syscall.SIGHUP)
}

func (m *soakMachine) awaitReady() {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if resp, err := http.Get("http://" + m.ready + "/-/readiness"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	m.s.t.Errorf("%s is not ready after %s", m.name, waitTimeout)
}

// sendHeartbeats registers the backend server with its node, whenever that runs.
func (m *soakMachine) sendHeartbeats() {
	for sequence := 1; ; sequence++ {
		body := fmt.Sprintf(`{"address":%q,"born":1000,"info":{"service":%q,"version":"v1","zone":"z","slots":60},"status":{"state":"ready","seq":%d,"warmupLeftS":0}}`,
			m.server.Listener.Addr(), m.service, sequence)
		if resp, err := http.Post("http://"+m.control+"/-/Instances.Heartbeat/i-"+m.name, "application/json", strings.NewReader(body)); err == nil {
			resp.Body.Close()
		}
		select {
		case <-m.s.stop:
			return
		case <-time.After(soakHeartbeat):
		}
	}
}

// serve runs a request at the backend server.
func (m *soakMachine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Laburnumshelf-Request-Id")
	run := &soakRun{
		began: time.Now(),
	}
	m.s.mu.Lock()
	m.s.runs[id] = run
	m.s.mu.Unlock()
	defer func() {
		m.s.mu.Lock()
		defer m.s.mu.Unlock()
		run.ended = time.Now()
	}()
	work := 10 * time.Millisecond
	if strings.HasPrefix(r.URL.Path, "/report/") {
		work = 2400 * time.Millisecond
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Laburnumshelf-Request-Id", id)
	if m.service == "front" && m.call(r) != http.StatusOK {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("X-Laburnumshelf-Response-Signature", "s")
	io.WriteString(w, "done")
}

// call makes a call of the backend server on a kept connection to its node.
func (m *soakMachine) call(parent *http.Request) int {
	var conn *soakConn
	select {
	case conn = <-m.conns:
	default:
	}
	millis, _ := strconv.Atoi(parent.Header.Get("X-Laburnumshelf-Deadline-Ms"))
	e, conn := m.exchange(conn, "GET", "/stock/1", min(time.Duration(millis)*time.Millisecond, time.Second))
	if conn != nil {
		m.conns <- conn
	}
	return e.status
}

// exchange sends a request to the node, on conn or on a new connection. It returns the
// connection if that can be used again.
func (m *soakMachine) exchange(conn *soakConn, method, path string, deadline time.Duration) (soakExchange, *soakConn) {
	if conn == nil {
		opened, err := net.Dial("tcp", m.callAddr)
		if err != nil {
			return soakExchange{}, nil
		}
		conn = &soakConn{
			Conn:   opened,
			reader: bufio.NewReader(opened),
		}
	}
	e := soakExchange{
		id:      fmt.Sprint("r", m.s.count.Add(1)),
		machine: m,
		sent:    time.Now(),
	}
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Laburnumshelf-Request-Id: %s\r\nX-Laburnumshelf-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		method, path, e.id, deadline.Milliseconds())
	resp, err := http.ReadResponse(conn.reader, nil)
	reusable := false
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		reusable = err == nil && !resp.Close
		e.own = resp.Header.Get("X-Laburnumshelf-Response-Signature") == "" && resp.StatusCode != http.StatusInternalServerError
		if err == nil {
			e.status = resp.StatusCode
		}
	}
	e.ended = time.Now()
	m.s.mu.Lock()
	m.s.exchanges = append(m.s.exchanges, e)
	m.s.mu.Unlock()
	if !reusable {
		conn.Close()
		return e, nil
	}
	return e, conn
}

// runClient sends requests one after another until the soak stops. It keeps its connection until
// the process is gone, like a client that does not notice a planned stop.
func (m *soakMachine) runClient(rng *rand.Rand) {
	var conn *soakConn
	for {
		select {
		case <-m.s.stop:
			if conn != nil {
				conn.Close()
			}
			return
		case <-time.After(time.Duration(rng.Int64N(int64(2 * time.Millisecond)))):
		}
		// Reports are asked for by the machines of one service only, so that their route looks
		// like one that backend servers call.
		method, path := "GET", "/page/1"
		switch draw := rng.IntN(20); {
		case draw < 5:
			method, path = "POST", "/order/1"
		case draw == 5 && m.service == "front":
			path = "/report/1"
		}
		var e soakExchange
		if e, conn = m.exchange(conn, method, path, soakDeadline); e.id == "" {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// judge returns what is wrong with an exchange under the rules for planned stops, or "". The
// caller holds s.mu.
func (s *soak) judge(e soakExchange) string {
	var term time.Time
	for _, t := range e.machine.terms {
		if t.Before(e.ended) && e.sent.Before(t.Add(soakGrace+time.Second)) {
			term = t
		}
	}
	run := s.runs[e.id]
	atWork := run != nil && (run.ended.IsZero() || run.ended.After(e.ended))
	excused := atWork && e.sent.Before(term.Add(soakLinger)) && e.ended.After(term.Add(soakGrace*5/6))
	timedOut := e.ended.Sub(e.sent) > 950*time.Millisecond && e.status == http.StatusGatewayTimeout
	switch {
	case e.status == 0 && run != nil && !excused:
		return "ran and got no whole answer"
	case e.status == 0 && run == nil && e.ended.Sub(e.sent) > soakLossSlack:
		return "got no answer long after it was sent"
	case e.own && atWork && !excused && !timedOut && e.status != 0:
		return "got an answer of the node's own while the backend server was at work"
	case e.status == http.StatusServiceUnavailable && run != nil && e.own:
		return "was refused as not run and ran"
	}
	return ""
}

// report prints each exchange that breaks a rule, and fails the test if there is one.
func (s *soak) report(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	statuses := make(map[int]int)
	broken, stops := 0, 0
	for _, m := range s.machines {
		stops += len(m.terms)
	}
	for _, e := range s.exchanges {
		statuses[e.status]++
		verdict := s.judge(e)
		if verdict == "" {
			continue
		}
		broken++
		if broken <= 20 {
			after := time.Duration(-1)
			for _, t := range e.machine.terms {
				if t.Before(e.ended) {
					after = e.sent.Sub(t)
				}
			}
			s.t.Errorf("request %s at %s, sent %s after SIGTERM, status %d after %s: %s", e.id, e.machine.name, after, e.status, e.ended.Sub(e.sent), verdict)
		}
	}
	counts, _ := json.Marshal(statuses)
	s.t.Logf("seed %d: %d stops, %d requests by status %s, %d broken", seed, stops, len(s.exchanges), counts, broken)
}

// soakSetting returns a number from the environment, for a long run by hand, or short without one.
func soakSetting(name string, short int) int {
	value, _ := strconv.Atoi(os.Getenv(name))
	return cmp.Or(value, short)
}

// TestPlannedStopsLoseRequests guards against requests that a planned stop cuts off or ends without
// an answer. It stops and restarts nodes in overlapping series, with SIGHUPs and changes of the
// configuration between, while clients and backend servers press on kept connections until the
// processes are gone. A long run by hand:
//
//	SOAK_SEED=100 SOAK_SEEDS=50 SOAK_STOPS=9 go test -run TestPlannedStopsLoseRequests -timeout 2h -v ./cmd/laburnumshelf
func TestPlannedStopsLoseRequests(t *testing.T) {
	first := uint64(soakSetting("SOAK_SEED", 1))
	for seed := first; seed < first+uint64(soakSetting("SOAK_SEEDS", 1)); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			s := newSoak(t)
			time.Sleep(time.Second)
			var clients, stops sync.WaitGroup
			for i, m := range s.machines {
				for client := range 12 {
					clients.Go(func() {
						m.runClient(rand.New(rand.NewPCG(seed, uint64(100*i+client))))
					})
				}
			}
			time.Sleep(2 * time.Second)
			for i := range soakSetting("SOAK_STOPS", 6) {
				// Half of the machines of a service run at any time.
				m := s.machines[(2*i+rng.IntN(2))%len(s.machines)]
				pause := time.Duration(rng.Int64N(int64(500 * time.Millisecond)))
				stops.Go(func() {
					m.restart(pause)
				})
				time.Sleep(time.Duration(rng.Int64N(int64(4 * time.Second))))
				s.configure(2 + i)
				s.machines[rng.IntN(len(s.machines))].hangUp()
			}
			stops.Wait()
			time.Sleep(500 * time.Millisecond)
			close(s.stop)
			clients.Wait()
			s.report(seed)
		})
	}
}
