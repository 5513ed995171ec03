//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	machine  string
	id       string
	method   string
	path     string
	sent, at time.Time
	status   int // 0: no answer
	// target is the ID of the target that signed the answer.
	target  string
	leaving bool
	limit   string
	// reused reports whether an earlier request had used the connection.
	reused bool
	// left reports whether the client left before its deadline.
	left bool
	err  error
}

// clients are the clients of all machines.
type clients struct {
	d       *deployment
	http    *http.Client
	open    sync.WaitGroup
	mu      sync.Mutex
	count   int
	answers []answer
}

func newClients(d *deployment) *clients {
	return &clients{
		d: d,
		// A kept connection would let the library send a request again by itself.
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
}

// keepConnections lets the clients keep their connections. They may then only send POST, which
// the library never sends again by itself.
func (c *clients) keepConnections() {
	c.http.Transport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 200, IdleConnTimeout: 30 * time.Second}
}

// send sends one request through the node of a machine.
func (c *clients) send(m *machine, method, path string, deadline time.Duration) answer {
	c.mu.Lock()
	c.count++
	a := answer{machine: m.name, id: fmt.Sprintf("%08x", c.count), method: method, sent: time.Now()}
	c.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+m.addr(m.d.ports.outbound)+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "h.example"
	req.Header.Set("X-Laburnumshelf-Request-Id", a.id)
	req.Header.Set("X-Laburnumshelf-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.d.rec.notef("client at %s sends %s %s %s", m.name, a.id, method, path)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.reused = info.Reused }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		a.status = resp.StatusCode
		a.target, _, _ = strings.Cut(resp.Header.Get("X-Laburnumshelf-Response-Signature"), ".")
		a.leaving = resp.Header.Get("Server-Leaving") == "1"
		a.limit = resp.Header.Get("Server-Limit")
	}
	a.err, a.at = err, time.Now()
	c.d.rec.notef("client at %s got %s: status %d from %q limit %q leaving %v error %v", m.name, a.id, a.status, a.target, a.limit, a.leaving, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return a
}

// sendSteadily sends requests through a machine at a rate, for a time.
func (c *clients) sendSteadily(m *machine, method, path string, deadline time.Duration, perSecond float64, duration time.Duration) {
	interval := time.Duration(float64(time.Second) / perSecond)
	c.open.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for end := time.Now().Add(duration); time.Now().Before(end); <-ticker.C {
			c.open.Go(func() { c.send(m, method, path, deadline) })
		}
	})
}

// all returns the answers so far.
func (c *clients) all() []answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]answer(nil), c.answers...)
}

// byID returns the answers by request ID.
func (c *clients) byID() map[string]answer {
	answers := make(map[string]answer)
	for _, a := range c.all() {
		answers[a.id] = a
	}
	return answers
}
