package screener

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// departureInterval is the time between two checks whether a client has left.
const departureInterval = 100 * time.Millisecond

// departureWatch cancels a request whose client leaves during its upload. The HTTP server learns of
// that from a read of the connection, and nobody reads while the backend server takes no more of the
// body.
type departureWatch struct {
	conn   net.Conn
	cancel context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
	ended bool
	// length is the length of the body, or -1 if it is not known. read is the part that was
	// read.
	length int64
	read   int64
}

func newDepartureWatch(conn net.Conn, length int64, cancel context.CancelFunc) *departureWatch {
	return &departureWatch{
		conn:   conn,
		length: length,
		cancel: cancel,
	}
}

// observe records a read of the body. A long body is watched until its end.
func (w *departureWatch) observe(n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.read += int64(n)
	switch {
	case err != nil:
		w.endLocked()
	case w.timer == nil && !w.ended && w.read >= caller.PrefetchBytes:
		w.timer = time.AfterFunc(departureInterval, w.check)
	}
}

// check cancels the request if the client has left.
func (w *departureWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	missing := int64(-1)
	if w.length >= 0 {
		missing = w.length - w.read
	}
	if hasLeft(w.conn, missing) {
		w.endLocked()
		w.cancel()
		return
	}
	w.timer.Reset(departureInterval)
}

// stop ends the watch.
func (w *departureWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLocked()
}

func (w *departureWatch) endLocked() {
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
