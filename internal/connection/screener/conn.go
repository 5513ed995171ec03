package screener

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/evictor"
	"github.com/laburnumshelf/laburnumshelf/internal/request/weigher"
)

const (
	// headSlack is how much longer than its limit a head may be. The limit may be meant
	// without the request line. net/http allows as much.
	headSlack = 4 << 10
	// serverBufferBytes is the size of the read buffer of net/http, which may hold the
	// beginning of the next head.
	serverBufferBytes = 4 << 10
	// firstHeldBytes is the first size of the buffer of an incomplete head.
	firstHeldBytes = 2 << 10
	// refusalTimeout limits how long the refusal of a head waits for the client.
	refusalTimeout = 200 * time.Millisecond
)

// Refusals that are written before a request is parsed.
const (
	tooLarge   = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	overBudget = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// conn is a connection whose heads are passed on when they are complete and within the limits.
//
// The HTTP server reads from one goroutine at a time. The fields of the head belong to it; the
// server's hooks are called when no read is in progress.
type conn struct {
	net.Conn
	listener *Listener
	closing  sync.Once

	// phase and since are the phase of the connection and its start in nanoseconds after
	// started. writing is the start of the write in progress, or 0.
	phase   atomic.Uint32
	since   atomic.Int64
	writing atomic.Int64

	// inHead is set from the end of a request to the end of the next head.
	inHead bool
	// betweenRequests is set while the server waits for the first bytes of another request.
	betweenRequests bool
	scanner         scanner
	// charged is the weight of the request in the budget.
	charged int64
	// carriedLines is the number of lines that the server may have in its buffer from a read
	// of a body. They may belong to the next head.
	carriedLines int
	// accepted is set while the weight of the request is known. Otherwise the whole head was in
	// the server's buffer.
	accepted bool
	// ready holds bytes of a complete head that were not passed on, and rest holds what came
	// behind them.
	ready []byte
	rest  []byte
	// refused is set if the request does not fit into the budget.
	refused bool
}

// setPhase changes the phase, unless the connection was chosen to be closed.
func (c *conn) setPhase(phase evictor.Phase) {
	before := c.phase.Load()
	if evictor.Phase(before) == evictor.Closing {
		return
	}
	c.since.Store(int64(time.Since(started)))
	c.phase.CompareAndSwap(before, uint32(phase))
}

// state returns the phase of the connection and its age at now, which is a time after started.
func (c *conn) state(now time.Duration) (evictor.Phase, time.Duration) {
	if writing := c.writing.Load(); writing > 0 {
		return evictor.Writing, now - time.Duration(writing)
	}
	return evictor.Phase(c.phase.Load()), now - time.Duration(c.since.Load())
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case len(c.ready) > 0:
		return c.readReady(p), nil
	case c.inHead:
		return c.readHead(p)
	}
	n, err := c.readRaw(p)
	if len(p) <= serverBufferBytes {
		c.carriedLines = bytes.Count(p[:n], []byte{'\n'})
	}
	return n, err
}

// readRaw reads the next bytes that were not scanned.
func (c *conn) readRaw(p []byte) (int, error) {
	if len(c.rest) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	if len(c.rest) == 0 {
		c.rest = nil
	}
	return n, nil
}

func (c *conn) readReady(p []byte) int {
	n := copy(p, c.ready)
	c.ready = c.ready[n:]
	if len(c.ready) == 0 {
		c.ready = nil
	}
	return n
}

// readHead reads until the head is complete. Usually one read into p is enough.
func (c *conn) readHead(p []byte) (int, error) {
	if !c.betweenRequests && evictor.Phase(c.phase.Load()) != evictor.Waiting {
		// The server has the beginning of a head.
		c.setPhase(evictor.Head)
	}
	if !c.betweenRequests && c.carriedLines > 0 && !c.charge() {
		return 0, c.refuse(overBudget, refusedHeads)
	}
	n, err := c.readRaw(p)
	if n == 0 {
		return n, err
	}
	if c.betweenRequests {
		c.carriedLines = 0
	}
	end := c.scanner.scan(p[:n])
	if end < 0 {
		return c.collect(p, n, err)
	}
	if refusal := c.accept(); refusal != nil {
		return 0, refusal
	}
	c.carriedLines = bytes.Count(p[end:n], []byte{'\n'})
	return n, err
}

// collect reads the rest of a head whose first n bytes are in p. err is the error of reading them.
func (c *conn) collect(p []byte, n int, err error) (int, error) {
	if evictor.Phase(c.phase.Load()) != evictor.Head {
		c.setPhase(evictor.Head)
	}
	held := append(make([]byte, 0, max(n, firstHeldBytes)), p[:n]...)
	for {
		switch {
		case err != nil:
			return 0, err
		case c.scanner.bytes > c.listener.headLimit():
			return 0, c.refuse(tooLarge, largeHeads)
		case !c.charge():
			return 0, c.refuse(overBudget, refusedHeads)
		}
		if len(held) == cap(held) {
			held = append(make([]byte, 0, 2*cap(held)), held...)
		}
		before := len(held)
		n, err = c.readRaw(held[before:cap(held)])
		held = held[:before+n]
		end := c.scanner.scan(held[before:])
		if end < 0 {
			continue
		}
		if refusal := c.accept(); refusal != nil {
			return 0, refusal
		}
		c.ready = held[:before+end]
		// Bytes that are left in rest come after those in held.
		c.rest = append(held[before+end:len(held):len(held)], c.rest...)
		c.carriedLines = 0
		return c.readReady(p), nil
	}
}

// accept decides on a complete head. It returns an error if the head may not be passed on.
func (c *conn) accept() error {
	if c.scanner.bytes > c.listener.headLimit() {
		return c.refuse(tooLarge, largeHeads)
	}
	if !c.charge() {
		return c.refuse(overBudget, refusedHeads)
	}
	if !c.startServing() {
		return net.ErrClosed
	}
	c.accepted = true
	return nil
}

// startServing changes the phase to Serving. It reports false if the connection was chosen to be
// closed before.
func (c *conn) startServing() bool {
	for {
		phase := c.phase.Load()
		if evictor.Phase(phase) == evictor.Closing {
			return false
		}
		c.since.Store(int64(time.Since(started)))
		if c.phase.CompareAndSwap(phase, uint32(evictor.Serving)) {
			return true
		}
	}
}

// evict closes the connection if it is still in the phase.
func (c *conn) evict(phase evictor.Phase) bool {
	if phase == evictor.Writing {
		phase = evictor.Phase(c.phase.Load())
	}
	if phase == evictor.Closing || !c.phase.CompareAndSwap(uint32(phase), uint32(evictor.Closing)) {
		return false
	}
	c.Close()
	return true
}

// charge takes the weight of what has arrived from the budget. It reports false if that does
// not fit.
func (c *conn) charge() bool {
	return c.grow(weigher.Head(c.scanner.bytes, c.scanner.lines+c.carriedLines))
}

// grow raises the weight of the request. It reports false if that does not fit into the budget.
func (c *conn) grow(weight int64) bool {
	if weight <= c.charged {
		return true
	}
	if !c.listener.config.Budget.Grow(c.charged, weight) {
		return false
	}
	c.charged = weight
	return true
}

// refuse answers a request that was not passed on, and returns the error that makes the server
// close the connection.
func (c *conn) refuse(answer string, counter string) error {
	counts.Add(counter, 1)
	c.ready, c.rest = nil, nil
	c.release()
	c.Conn.SetDeadline(time.Now().Add(refusalTimeout))
	io.WriteString(c.Conn, answer)
	// A connection that is closed with unread bytes is reset, and the client may lose the answer.
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
		io.CopyN(io.Discard, c.Conn, maxDiscardedBytes)
	}
	return io.EOF
}

// maxDiscardedBytes limits how much of a refused request is read.
const maxDiscardedBytes = 1 << 20

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Store(int64(time.Since(started)))
	n, err := c.Conn.Write(p)
	c.writing.Store(0)
	return n, err
}

// CloseWrite lets the HTTP server close one direction of the connection.
func (c *conn) CloseWrite() error {
	return closeWrite(c.Conn)
}

// closeWrite closes one direction of a connection that can be closed so.
func closeWrite(conn net.Conn) error {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn. The HTTP server sets a deadline only while it waits for
// another request. That time is limited by the listener, which costs no timer for each request.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.inHead {
		c.betweenRequests = !t.IsZero()
		t = time.Time{}
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closing.Do(func() {
		c.listener.remove(c)
	})
	return c.Conn.Close()
}

// observe is called when the HTTP server changes the state of the connection.
func (c *conn) observe(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.inHead, c.betweenRequests = false, false
		c.refused = !c.startServing() || (!c.accepted && !c.charge())
	case http.StateIdle:
		c.release()
		c.inHead, c.accepted = true, false
		c.scanner = scanner{}
		c.setPhase(evictor.Idle)
	case http.StateClosed, http.StateHijacked:
		c.release()
	}
}

func (c *conn) release() {
	c.listener.config.Budget.Release(c.charged)
	c.charged, c.refused = 0, false
}
