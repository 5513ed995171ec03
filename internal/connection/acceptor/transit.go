package acceptor

import (
	"io"
	"sync"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/weigher"
)

// transit is the reader of a request body on its way to the backend server. A body that is not
// read for a while fills the window of its stream, so its memory is taken from the budget then.
// It stays charged until the call ends, because a backend server that reads slowly stalls again.
type transit struct {
	source io.Reader
	budget *weigher.Budget
	// length is the number of bytes that were read.
	length int

	mu      sync.Mutex
	timer   *time.Timer
	ended   bool
	charged bool
}

func newTransit(source io.Reader, budget *weigher.Budget) *transit {
	return &transit{
		source: source,
		budget: budget,
	}
}

// Read implements io.Reader.
func (t *transit) Read(p []byte) (int, error) {
	t.disarm()
	n, err := t.source.Read(p)
	t.length += n
	if err == nil && t.length >= caller.PrefetchBytes {
		t.arm()
	}
	return n, err
}

func (t *transit) arm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.ended || t.charged:
	case t.timer == nil:
		t.timer = time.AfterFunc(weigher.StallTime, t.charge)
	default:
		t.timer.Reset(weigher.StallTime)
	}
}

func (t *transit) disarm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
}

func (t *transit) charge() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || t.charged {
		return
	}
	t.charged = true
	t.budget.Charge(weigher.StalledBodyWeight)
}

// end returns what was taken from the budget. Reads that end later take nothing.
func (t *transit) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.charged {
		t.budget.Release(weigher.StalledBodyWeight)
	}
}
