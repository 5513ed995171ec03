//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// exchange is one request of a client, as the client saw it.
type exchange struct {
	id     string
	method string
	path   string
	// sent is when the last byte of the request was sent, ended when the answer was complete or the
	// connection ended.
	sent   time.Time
	ended  time.Time
	status int
	signed bool
	// kept reports that the connection had carried a request before.
	kept bool
	// err is set if the connection ended without a complete answer. headSeen reports that a
	// head had arrived.
	err      error
	headSeen bool
}

// client is a client with one kept connection. It opens another one when that ends.
type client struct {
	d       *deployment
	address netip.AddrPort
	name    string
	count   int
	conn    net.Conn
	reader  *bufio.Reader
	served  int
}

// send sends a request and reads the whole answer.
func (c *client) send(method, path string, deadline time.Duration) exchange {
	c.count++
	e := exchange{
		id:     fmt.Sprintf("%s-%d", c.name, c.count),
		method: method,
		path:   path,
	}
	defer func() {
		c.d.logf("%s: %s %s on %s (kept %v): status %d signed %v err %v, %d ms", c.name, method, e.id, c.address, e.kept, e.status, e.signed, e.err, e.ended.Sub(e.sent).Milliseconds())
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address.String(), time.Second)
		if err != nil {
			e.sent, e.ended, e.err = time.Now(), time.Now(), fmt.Errorf("no connection: %w", err)
			return e
		}
		c.conn, c.reader, c.served = conn, bufio.NewReader(conn), 0
	}
	e.kept = c.served > 0
	c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n", method, path, clientHost,
		headerID, e.id, headerDeadline, deadline.Milliseconds(), map[bool]string{true: "Content-Length: 0\r\n"}[method != "GET"])
	e.sent = time.Now()
	resp, err := http.ReadResponse(c.reader, &http.Request{
		Method: method,
	})
	if err == nil {
		e.headSeen = true
		e.status = resp.StatusCode
		e.signed = resp.Header.Get(headerSignature) != ""
		_, err = io.Copy(io.Discard, resp.Body)
	}
	e.ended, e.err = time.Now(), err
	c.served++
	if err != nil || resp.Close {
		c.close()
	}
	return e
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// crowd runs clients until it is stopped and collects what they saw.
type crowd struct {
	group sync.WaitGroup
	quit  chan struct{}

	mu        sync.Mutex
	exchanges []exchange
}

// crowdSpread is the time over which the clients of a crowd begin, so that they are not in step.
const crowdSpread = 240 * time.Millisecond

// startCrowd starts clients that send requests to a node one after another, with a pause between.
func (d *deployment) startCrowd(prefix string, m *machine, count int, method, path string, deadline, pause time.Duration) *crowd {
	c := &crowd{
		quit: make(chan struct{}),
	}
	for i := range count {
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			one := &client{
				d:       d,
				address: m.outbound,
				name:    fmt.Sprintf("%s%d", prefix, i),
			}
			defer one.close()
			time.Sleep(crowdSpread * time.Duration(i) / time.Duration(count))
			for {
				select {
				case <-c.quit:
					return
				default:
				}
				e := one.send(method, path, deadline)
				c.mu.Lock()
				c.exchanges = append(c.exchanges, e)
				c.mu.Unlock()
				select {
				case <-c.quit:
					return
				case <-time.After(pause):
				}
			}
		}()
	}
	return c
}

// stop ends the crowd and returns what its clients saw.
func (c *crowd) stop() []exchange {
	close(c.quit)
	c.group.Wait()
	return c.seen()
}

func (c *crowd) seen() []exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]exchange(nil), c.exchanges...)
}

// summary counts exchanges by how they ended.
func summary(exchanges []exchange) string {
	counts := make(map[string]int)
	for _, e := range exchanges {
		switch {
		case e.err != nil && e.headSeen:
			counts["broken off"]++
		case e.err != nil && strings.HasPrefix(e.err.Error(), "no connection"):
			counts["no connection"]++
		case e.err != nil:
			counts["cut without an answer"]++
		default:
			counts[fmt.Sprint(e.status)]++
		}
	}
	return fmt.Sprint(counts)
}
