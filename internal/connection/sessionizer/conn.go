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
	// closeTimeout limits how long Close waits for the peer, and how long after a failed write
	// the received bytes may be read.
	closeTimeout = 2 * time.Second
	// readerTimeout limits how long Close waits for a reader. A session that receives
	// bytes of another protocol reads no more, and its calls must not wait.
	readerTimeout = 100 * time.Millisecond
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
	// reads counts the calls of Read. reading is set during one.
	reads   int
	reading bool
	// readEnded is set when a read has failed, or when Close no longer waits for one.
	readEnded bool
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

// Read implements net.Conn. One goroutine at a time may read.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reads++
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if err != nil {
		c.readEnded = true
		c.changed.Broadcast()
	}
	return n, err
}

func (c *Conn) endRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readEnded = true
	c.changed.Broadcast()
}

// endIdleRead ends the wait for the reader if it has not read since it had called Read so many
// times.
func (c *Conn) endIdleRead(reads int) {
	c.mu.Lock()
	idle := !c.reading && c.reads == reads
	c.mu.Unlock()
	if idle {
		c.endRead()
	}
}

// Close implements net.Conn. It sends the pending bytes and the end, and reads on until the peer
// has closed its end too, unless that takes too long. A connection that is closed with unread
// bytes, or gets more of them, is reset, which destroys what the peer has not received yet. If
// a write has failed, the reader first gets what has arrived.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	c.Conn.SetWriteDeadline(time.Now().Add(closeTimeout))
	timer := time.AfterFunc(closeTimeout, c.endRead)
	defer timer.Stop()
	reads := c.reads
	readerTimer := time.AfterFunc(readerTimeout, func() {
		c.endIdleRead(reads)
	})
	defer readerTimer.Stop()
	c.changed.Broadcast()
	for (c.sending || len(c.pending) > 0) && c.err == nil {
		c.changed.Wait()
	}
	sentEnd := c.closeWrite()
	for (sentEnd || c.err != nil) && !c.readEnded {
		c.changed.Wait()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// closeWrite sends the end of the bytes, and reports whether the connection has one of its own for
// each direction.
func (c *Conn) closeWrite() bool {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// Abort closes the connection without waiting for the peer. It also ends a Close that waits.
func (c *Conn) Abort() {
	c.endRead()
	c.Conn.Close()
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
			// The peer may have sent whole answers before it closed its end. The reader
			// gets them, and must learn of the failure too.
			c.Conn.SetReadDeadline(time.Now().Add(closeTimeout))
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
