package sessionizer

import (
	"net"
	"sync"
	"time"
)

// Write buffer parameters.
const (
	// maxPendingBytes is how much a Conn buffers before Write waits for the peer.
	maxPendingBytes = 64 << 10
	// closeFlushTimeout limits how long Close waits for the peer to take the pending
	// bytes.
	closeFlushTimeout = 200 * time.Millisecond
)

// Conn sends what is written in quick succession with one system call. A multiplexed
// session writes the header and the body of each frame separately, and several frames
// for each call.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	changed *sync.Cond
	// pending holds the bytes to send. spare is the buffer to use next.
	pending []byte
	spare   []byte
	// sending is set while flush writes to the connection.
	sending bool
	closed  bool
	err     error
}

// NewConn returns a Conn on conn. Close it to release its goroutine.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{
		Conn: conn,
	}
	c.changed = sync.NewCond(&c.mu)
	go c.flush()
	return c
}

// Write implements net.Conn. It returns before the bytes are sent; the error of sending
// them is returned by later calls.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= maxPendingBytes && c.err == nil && !c.closed {
		c.changed.Wait()
	}
	switch {
	case c.err != nil:
		return 0, c.err
	case c.closed:
		return 0, net.ErrClosed
	}
	c.pending = append(c.pending, p...)
	c.changed.Broadcast()
	return len(p), nil
}

// Close implements net.Conn. It sends the pending bytes first, unless the peer does not
// take them in time.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	c.Conn.SetWriteDeadline(time.Now().Add(closeFlushTimeout))
	c.changed.Broadcast()
	for (c.sending || len(c.pending) > 0) && c.err == nil {
		c.changed.Wait()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// flush sends pending bytes until the connection is closed or fails.
func (c *Conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		for len(c.pending) == 0 && !c.closed {
			c.changed.Wait()
		}
		if len(c.pending) == 0 || c.err != nil {
			return
		}
		buffer := c.pending
		c.pending, c.spare = c.spare[:0], nil
		c.sending = true
		c.mu.Unlock()
		_, err := c.Conn.Write(buffer)
		c.mu.Lock()
		c.sending = false
		c.spare = keepSmall(buffer)
		if err != nil {
			c.err = err
			// The reader of the connection must learn of the failure too.
			c.Conn.Close()
		}
		c.changed.Broadcast()
		if err != nil {
			return
		}
	}
}

// keepSmall returns an empty buffer with the capacity of buffer, or nil if that is too
// large to keep for each connection.
func keepSmall(buffer []byte) []byte {
	const maxKeptBytes = 8 << 10
	if cap(buffer) > maxKeptBytes {
		return nil
	}
	return buffer[:0]
}
