package forwarder

import (
	"context"
	"net"
	"sync"
	"time"
)

// cancelWatcher closes a connection after its call is canceled and a grace period has
// passed. The backend server then stops working on the call.
type cancelWatcher struct {
	conn       net.Conn
	grace      time.Duration
	unregister func() bool

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	closed  bool
}

// newCancelWatcher starts to watch ctx on behalf of conn.
func newCancelWatcher(ctx context.Context, conn net.Conn, grace time.Duration) *cancelWatcher {
	w := &cancelWatcher{
		conn:  conn,
		grace: grace,
	}
	w.unregister = context.AfterFunc(ctx, w.onCancel)
	return w
}

// onCancel closes the connection after the grace period.
func (w *cancelWatcher) onCancel() {
	if w.grace == 0 {
		w.close()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer = time.AfterFunc(w.grace, w.close)
	}
}

// close closes the connection unless the watcher was stopped.
func (w *cancelWatcher) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.closed = true
		w.conn.Close()
	}
}

// stop stops watching and reports whether the connection is still open.
func (w *cancelWatcher) stop() bool {
	w.unregister()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return !w.closed
}
