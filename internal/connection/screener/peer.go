package screener

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/evictor"
)

// peerConn is a connection of another node. It counts as Waiting until its first bytes, and as
// Idle since its last ones afterwards. Sessions with calls are probed by their node, so that they
// are never silent for long.
type peerConn struct {
	net.Conn
	listener *Listener
	closing  sync.Once
	heard    atomic.Bool
	since    atomic.Int64
}

// Read implements net.Conn.
func (c *peerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.since.Store(int64(time.Since(started)))
		c.heard.Store(true)
	}
	return n, err
}

// CloseWrite lets a session end its direction of the connection first.
func (c *peerConn) CloseWrite() error {
	return closeWrite(c.Conn)
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	c.closing.Do(func() {
		c.listener.remove(c)
	})
	return c.Conn.Close()
}

func (c *peerConn) state(now time.Duration) (evictor.Phase, time.Duration) {
	age := now - time.Duration(c.since.Load())
	if c.heard.Load() {
		return evictor.Idle, age
	}
	return evictor.Waiting, age
}

func (c *peerConn) evict(phase evictor.Phase) bool {
	if phase == evictor.Waiting && c.heard.Load() {
		return false
	}
	c.Close()
	return true
}
