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
	raw      func(b *backend, conn net.Conn)

	mu  sync.Mutex
	ran map[string]int
}

// startBackend starts the backend server beside a node. serve writes the answer to a request and
// reports whether the connection stays open.
func (n *node) startBackend(serve func(b *backend, conn net.Conn, r *http.Request, body []byte) bool) error {
	listener, err := net.Listen("tcp", n.app)
	if err != nil {
		return err
	}
	b := &backend{
		node: n, id: "i-" + n.name, born: time.Now(), listener: listener,
		stop: make(chan struct{}), serve: serve, ran: make(map[string]int),
	}
	n.backend = b
	go b.accept()
	go b.beat()
	return nil
}

func (n *node) stopBackend() {
	if n.backend != nil {
		n.backend.once.Do(func() {
			close(n.backend.stop)
			n.backend.listener.Close()
		})
	}
}

func (b *backend) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for pause := 50 * time.Millisecond; !b.report("ready"); {
		time.Sleep(pause)
	}
	for {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
			b.report("ready")
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
	if b.raw != nil {
		b.raw(b, conn)
		return
	}
	defer conn.Close()
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
