// Package reclaimer returns memory to the operating system after work that needed much of
// it for a short time, such as decoding large settings. The runtime alone would return it
// only over minutes.
//
// # Usage
//
//	r := reclaimer.New(debug.FreeOSMemory)
//	r.Schedule()
package reclaimer

import (
	"sync"
	"time"
)

// delay is the time from the first Schedule to the reclaim, so that versions in quick
// succession cause only one.
const delay = time.Second

// Reclaimer runs a reclaim function at most once per delay. Its methods are safe for
// concurrent use.
type Reclaimer struct {
	reclaim func()

	mu        sync.Mutex
	scheduled bool
}

// New returns a Reclaimer that calls reclaim.
func New(reclaim func()) *Reclaimer {
	return &Reclaimer{
		reclaim: reclaim,
	}
}

// Schedule calls the reclaim function after the delay, unless a call is scheduled already.
func (r *Reclaimer) Schedule() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.scheduled {
		return
	}
	r.scheduled = true
	time.AfterFunc(delay, r.run)
}

func (r *Reclaimer) run() {
	r.mu.Lock()
	r.scheduled = false
	r.mu.Unlock()
	r.reclaim()
}
