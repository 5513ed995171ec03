//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a stand-in for a backend server. It speaks HTTP/1.1 on plain connections, so that a case
// may choose each byte of an answer.
type backend struct {
	node     *node
	id       string
	born     time.Time
	listener net.Listener
	stop     chan struct{}
	once     sync.Once
	serve    func(b *backend, conn net.Conn, r *http.Request, body []byte) bool
	runs     atomic.Int64

	// state is what the heartbeats say.
	state atomic.Value

	mu       sync.Mutex
	ran      map[string]int
	arrivals []arrival
	conns    map[net.Conn]bool
}

// arrival is a request that reached a backend server.
type arrival struct {
	id string
	at time.Time
}

// startBackend starts the backend server beside a node. serve writes the answer to a request and
// reports whether the connection stays open.
func (n *node) startBackend(serve func(b *backend, conn net.Conn, r *http.Request, body []byte) bool) error {
	_, err := n.startBackendAt(serve, time.Now())
	return err
}

// startBackendAt starts a backend server whose clock shows born.
func (n *node) startBackendAt(serve func(b *backend, conn net.Conn, r *http.Request, body []byte) bool, born time.Time) (*backend, error) {
	listener, err := net.Listen("tcp", n.app)
	if err != nil {
		return nil, err
	}
	b := &backend{
		node: n, id: "i-" + n.name, born: born, listener: listener,
		stop: make(chan struct{}), serve: serve, ran: make(map[string]int), conns: make(map[net.Conn]bool),
	}
	b.state.Store("ready")
	n.backend = b
	go b.accept()
	go b.beat()
	return b, nil
}

func (n *node) stopBackend() {
	if n.backend != nil {
		n.backend.end()
	}
}

// end ends the heartbeats and takes no new connections.
func (b *backend) end() {
	b.once.Do(func() {
		close(b.stop)
		b.listener.Close()
	})
}

// crash ends the backend server with all its connections, without a word to the node.
func (b *backend) crash() {
	b.end()
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		conn.Close()
	}
}

// beat sends heartbeats until the end.
func (b *backend) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for !b.report(b.state.Load().(string)) {
		time.Sleep(50 * time.Millisecond)
	}
	for {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
			b.report(b.state.Load().(string))
		}
	}
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.handle(conn)
	}
}

func (b *backend) handle(conn net.Conn) {
	b.mu.Lock()
	b.conns[conn] = true
	b.mu.Unlock()
	defer func() {
		conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if expected := r.Header.Get("X-Laburnumshelf-Expect-Instance"); expected != "" && expected != b.id {
			b.answer(conn, r, 421, "X-Laburnumshelf-Not-Executed: 1\r\n", "")
			continue
		}
		id := r.Header.Get("X-Laburnumshelf-Request-Id")
		b.mu.Lock()
		b.ran[id]++
		b.arrivals = append(b.arrivals, arrival{id: id, at: time.Now()})
		b.mu.Unlock()
		b.runs.Add(1)
		if !b.serve(b, conn, r, body) {
			return
		}
	}
}

// countOf returns how often the backend server has run a request.
func (b *backend) countOf(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ran[id]
}

// arrivalsAfter returns the requests that reached the backend server after a time.
func (b *backend) arrivalsAfter(t time.Time) []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	var late []arrival
	for _, a := range b.arrivals {
		if a.at.After(t) {
			late = append(late, a)
		}
	}
	return late
}

// head returns the head of an answer with a length.
func (b *backend) head(r *http.Request, status int, headers string, length int) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Laburnumshelf-Request-Id: %s\r\n", status, http.StatusText(status), r.Header.Get("X-Laburnumshelf-Request-Id"))
	if !strings.Contains(headers, "Not-Executed") {
		text += "X-Laburnumshelf-Response-Signature: " + b.signature(r) + "\r\n"
	}
	return text + headers + fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
}

// signature returns the value by which clients recognize an answer of this backend server.
func (b *backend) signature(r *http.Request) string {
	return "signed-" + b.id + "-" + r.Header.Get("X-Laburnumshelf-Request-Id")
}

func (b *backend) answer(conn net.Conn, r *http.Request, status int, headers, body string) bool {
	_, err := io.WriteString(conn, b.head(r, status, headers, len(body))+body)
	return err == nil
}
