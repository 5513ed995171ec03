package forwarder

import (
	"context"
	"net"
	"sync"
	"time"
)

// guard closes a connection some time after its call was canceled, which makes the
// backend server stop.
type guard struct {
	conn  net.Conn
	grace time.Duration
	stop  func() bool

	mu     sync.Mutex
	timer  *time.Timer
	ended  bool
	closed bool
}

func newGuard(ctx context.Context, conn net.Conn, grace time.Duration) *guard {
	g := &guard{
		conn:  conn,
		grace: grace,
	}
	g.stop = context.AfterFunc(ctx, g.canceled)
	return g
}

func (g *guard) canceled() {
	if g.grace == 0 {
		g.close()
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ended {
		g.timer = time.AfterFunc(g.grace, g.close)
	}
}

func (g *guard) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ended {
		g.closed = true
		g.conn.Close()
	}
}

// end lets go of the connection and reports whether it is still open.
func (g *guard) end() bool {
	g.stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	if g.timer != nil {
		g.timer.Stop()
	}
	return !g.closed
}
