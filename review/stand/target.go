//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a target began to work on.
type run struct {
	at     time.Time
	target string
	id     string
}

// target is a stand-in for an application target. It follows the page on the protocol.
type target struct {
	m     *machine
	id    string
	born  int64
	slots int
	work  time.Duration
	// size is the size of the body of an answer, or 0 for a short text.
	size int

	mu       sync.Mutex
	sequence int
	state    string // of its heartbeats; empty: it sends none
	limit    string // value of Server-Limit, or empty
	leaving  bool
	running  int
	waiting  int
	free     *sync.Cond
	runs     []run
}

// startTarget starts the target of a machine and its heartbeats.
func (m *machine) startTarget(id string, slots int, work time.Duration) (*target, error) {
	t := &target{m: m, id: id, born: time.Now().UnixMilli(), slots: slots, work: work, state: "ready"}
	t.free = sync.NewCond(&t.mu)
	listener, err := net.Listen("tcp", m.addr(m.d.ports.app))
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: t}
	go server.Serve(listener)
	go t.sendHeartbeats()
	return t, nil
}

// heartbeat returns the body of the next heartbeat.
func (t *target) heartbeat() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == "" {
		return nil
	}
	t.sequence++
	body, _ := json.Marshal(map[string]any{
		"address": t.m.addr(t.m.d.ports.app),
		"born":    t.born,
		"info":    map[string]any{"service": t.m.service, "version": "v1", "zone": t.m.zone, "slots": t.slots},
		"status":  map[string]any{"state": t.state, "seq": t.sequence, "warmupLeftS": 0},
	})
	return body
}

func (t *target) sendHeartbeats() {
	for {
		if body := t.heartbeat(); body != nil {
			t.post("Heartbeat", body)
		}
		time.Sleep(heartbeatInterval)
	}
}

// post calls the registry of the node and reports whether the call was acknowledged.
func (t *target) post(call string, body []byte) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+t.m.addr(t.m.d.ports.control)+"/-/Instances."+call+"/"+t.id, "application/json", bytes.NewReader(body))
	if err != nil {
		t.m.d.rec.notef("target %s: %s %s: no answer", t.id, call, body)
		return false
	}
	resp.Body.Close()
	t.m.d.rec.notef("target %s: %s %s: %d", t.id, call, body, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

// deregister lets the target leave without a heartbeat that says draining. It serves on.
func (t *target) deregister() bool {
	t.mu.Lock()
	t.state, t.leaving = "", true
	t.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": t.born})
	return t.post("Deregister", body)
}

// drain lets the target report that it leaves. It serves on.
func (t *target) drain() bool {
	t.mu.Lock()
	t.state, t.leaving = "draining", true
	t.mu.Unlock()
	return t.post("Heartbeat", t.heartbeat())
}

// setWork sets how long the target works on each request that begins from now on.
func (t *target) setWork(work time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work = work
	t.m.d.rec.notef("target %s works %s on each request", t.id, work)
}

func (t *target) setLimit(limit string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = limit
	t.m.d.rec.notef("target %s names Server-Limit %q", t.id, limit)
}

// takeSlot waits for a slot in a short queue, and reports whether it got one.
func (t *target) takeSlot() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= t.slots && t.waiting >= t.slots/4 {
		return false
	}
	t.waiting++
	for t.running >= t.slots {
		t.free.Wait()
	}
	t.waiting--
	t.running++
	return true
}

func (t *target) freeSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.free.Signal()
}

// ServeHTTP runs a request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get("X-Laburnumshelf-Request-Id")
	io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Laburnumshelf-Request-Id", id)
	if expected := r.Header.Get("X-Laburnumshelf-Expect-Instance"); expected != "" && expected != t.id {
		w.Header().Set("X-Laburnumshelf-Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	refuse := func(status int) {
		t.setNotices(w.Header())
		w.Header().Set("X-Laburnumshelf-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if !t.takeSlot() {
		t.m.d.rec.notef("target %s refuses %s", t.id, id)
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer t.freeSlot()
	t.mu.Lock()
	need := t.work
	t.mu.Unlock()
	work := need
	if millis, err := strconv.Atoi(r.Header.Get("X-Laburnumshelf-Deadline-Ms")); err == nil {
		left := time.Duration(millis)*time.Millisecond - time.Since(arrived)
		if left <= 0 {
			refuse(http.StatusServiceUnavailable)
			return
		}
		work = min(work, left)
	}
	t.mu.Lock()
	t.runs = append(t.runs, run{at: time.Now(), target: t.id, id: id})
	t.mu.Unlock()
	t.m.d.rec.notef("target %s runs %s for caller service %q", t.id, id, r.Header.Get("X-Laburnumshelf-Caller-Service"))
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		t.m.d.rec.notef("target %s drops %s", t.id, id)
		return
	}
	t.setNotices(w.Header())
	if work < need {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("X-Laburnumshelf-Response-Signature", t.id+"."+id)
	text := fmt.Sprintf("%s ran %s\n", t.id, id)
	w.Write([]byte(text + strings.Repeat("x", max(0, t.size-len(text)))))
}

// setNotices sets the headers in which the target speaks of itself.
func (t *target) setNotices(h http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.Set("X-Laburnumshelf-Server-Load", fmt.Sprintf("%d,%d,%d", t.running, t.waiting, t.slots))
	if t.limit != "" {
		h.Set("Server-Limit", t.limit)
	}
	if t.leaving {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
}

// runningCount returns the number of requests at which the target is at work.
func (t *target) runningCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

// allRuns returns the runs so far.
func (t *target) allRuns() []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]run(nil), t.runs...)
}
