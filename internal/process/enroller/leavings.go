package enroller

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/process/registrar"
)

// maxLeavings bounds the starts that leave and are not stored yet, and those that are known to be
// stored.
const maxLeavings = 16

// leavings holds the starts of backend servers that take no new work. What is acknowledged of a
// start must outlive this process, whether the start is registered or not.
type leavings struct {
	// storing has an element while the starts are being stored, so that they are stored one
	// after the other.
	storing chan struct{}

	mu      sync.Mutex
	pending []registrar.Registration
	stored  []registrar.Registration
}

func newLeavings() *leavings {
	return &leavings{
		storing: make(chan struct{}, 1),
	}
}

// add adds a start unless it is known. The oldest ones make room.
func (l *leavings) add(start registrar.Registration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isStart := func(other registrar.Registration) bool {
		return sameStart(start, other)
	}
	if slices.ContainsFunc(l.pending, isStart) || slices.ContainsFunc(l.stored, isStart) {
		return
	}
	l.pending = appendBounded(l.pending, start)
}

func appendBounded(list []registrar.Registration, start registrar.Registration) []registrar.Registration {
	list = append(list, start)
	return list[max(0, len(list)-maxLeavings):]
}

// empty reports whether all starts are stored.
func (l *leavings) empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) == 0
}

// store calls record for each start that is not stored yet, until it fails or ctx ends.
func (l *leavings) store(ctx context.Context, record func(context.Context, registrar.Registration) error) error {
	select {
	case l.storing <- struct{}{}:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for another write")
	}
	defer func() { <-l.storing }()
	for {
		start, ok := l.next()
		if !ok {
			return nil
		}
		if err := record(ctx, start); err != nil {
			return errors.Wrapf(err, "backend server %s", start.ID)
		}
		l.markStored(start)
	}
}

// next returns the oldest start that is not stored yet.
func (l *leavings) next() (registrar.Registration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return registrar.Registration{}, false
	}
	return l.pending[0], true
}

func (l *leavings) markStored(start registrar.Registration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stored = appendBounded(l.stored, start)
	l.pending = slices.DeleteFunc(l.pending, func(other registrar.Registration) bool {
		return sameStart(start, other)
	})
}
