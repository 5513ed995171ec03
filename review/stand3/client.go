//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// reply is what a client got for one request.
type reply struct {
	status    int
	signature string
	header    http.Header
	body      string
	err       error
}

// served reports whether the reply is the whole, successful answer of a backend server.
func (r reply) served() bool {
	return r.err == nil && r.status/100 == 2 && r.signature != ""
}

func (r reply) String() string {
	if r.err != nil {
		return "no whole answer: " + r.err.Error()
	}
	return fmt.Sprintf("%d, signature %q, %d bytes", r.status, r.signature, len(r.body))
}

// request is one request of a client.
type request struct {
	method, host, path, id string
	deadline               time.Duration
	// headers are further lines of the head, each with its end.
	headers string
	body    string
}

func (q request) encode() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Laburnumshelf-Request-Id: %s\r\nX-Laburnumshelf-Deadline-Ms: %d\r\n%s", q.method, q.path, q.host, q.id, q.deadline.Milliseconds(), q.headers)
	if q.body != "" || q.method != "GET" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return text + "\r\n" + q.body
}

// client keeps a connection to the outbound address of a node.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// do sends a request, on the kept connection if there is one.
func (c *client) do(q request) reply {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return reply{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.conn.SetDeadline(time.Now().Add(q.deadline + 3*time.Second))
	if _, err := io.WriteString(c.conn, q.encode()); err != nil {
		c.close()
		return reply{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		c.close()
		return reply{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	got := reply{
		status: resp.StatusCode, signature: resp.Header.Get("X-Laburnumshelf-Response-Signature"),
		header: resp.Header, body: string(body), err: err,
	}
	if err != nil || resp.Close || strings.EqualFold(resp.Header.Get("Connection"), "close") {
		c.close()
	}
	return got
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn, c.reader = nil, nil
	}
}
