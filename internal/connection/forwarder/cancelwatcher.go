package forwarder

import (
	"context"
	"net"
	"sync"
	"time"
)

// cancelWatcher closes a connection after its call is canceled and a grace period has
// passed, or at once during the sending of the request. The backend server then stops working on the call.
type cancelWatcher struct {
	conn       net.Conn
	sent       *sending
	grace      time.Duration
	unregister func() bool

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	closed  bool
}

// newCancelWatcher starts to watch ctx on behalf of conn. sent is the sending of the request.
func newCancelWatcher(ctx context.Context, conn net.Conn, sent *sending, grace time.Duration) *cancelWatcher {
	w := &cancelWatcher{
		conn:  conn,
		sent:  sent,
		grace: grace,
	}
	w.unregister = context.AfterFunc(ctx, w.onCancel)
	return w
}

// onCancel closes the connection after the grace period. If the request is still being sent, the
// connection can't be used again, and it closes it at once.
func (w *cancelWatcher) onCancel() {
	if ended, _ := w.sent.result(); w.grace == 0 || !ended {
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
	if w.stopped {
		return
	}
	w.closed = true
	if tcp, ok := w.conn.(*net.TCPConn); ok {
		if ended, _ := w.sent.result(); !ended {
			// A reset overtakes what the system has buffered of the request. A backend
			// server that reads slowly would otherwise have to read all of it first.
			tcp.SetLinger(0)
		}
	}
	w.conn.Close()
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
