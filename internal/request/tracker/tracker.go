// Package tracker keeps the inbound calls that run at the local backend server,
// so that the calls it makes for them inherit deadline, priority and retry
// allowance from the node instead of trusting the backend server.
//
// # Usage
//
//	inbound := table.Add(call)
//	defer table.Remove(call.CallID)
//	parent := table.Find(parentID)
package tracker

import (
	"sync"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/retrier"
)

// Inbound is one call that runs at the local backend server.
type Inbound struct {
	Call *caller.Call
	Pool *retrier.Pool

	mu        sync.Mutex
	children  int
	since     time.Time
	waited    time.Duration
	threshold caller.Priority
	failed    bool
}

// RecordChildStart notes the start of a call made for this one.
func (i *Inbound) RecordChildStart(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.children == 0 {
		i.since = now
	}
	i.children++
}

// RecordChildFinish notes the end of a call made for this one, whether it failed and
// the highest admission threshold on its path.
func (i *Inbound) RecordChildFinish(now time.Time, failed bool, threshold caller.Priority) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.children--
	if i.children == 0 {
		i.waited += now.Sub(i.since)
	}
	i.threshold = max(i.threshold, threshold)
	i.failed = i.failed || failed
}

// ChildWaitTime returns the time during which at least one child call was open.
func (i *Inbound) ChildWaitTime(now time.Time) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.children > 0 {
		return i.waited + now.Sub(i.since)
	}
	return i.waited
}

// HasFailedChild reports whether a call made for this one failed, so that a failure
// of this one says nothing about the local backend server.
func (i *Inbound) HasFailedChild() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.failed
}

// PathThreshold returns the highest admission threshold met below this call.
func (i *Inbound) PathThreshold() caller.Priority {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.threshold
}

// Table holds the inbound calls by call ID. Its methods are safe for concurrent
// use.
type Table struct {
	mu    sync.Mutex
	calls map[string]*Inbound
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		calls: make(map[string]*Inbound),
	}
}

// Add starts tracking a call.
func (t *Table) Add(call *caller.Call) *Inbound {
	inbound := &Inbound{
		Call: call,
		Pool: retrier.NewPool(call.Allowance),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls[call.CallID] = inbound
	return inbound
}

// Find returns a tracked call, or nil.
func (t *Table) Find(callID string) *Inbound {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls[callID]
}

// Remove ends the tracking of a call.
func (t *Table) Remove(callID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, callID)
}

// Len returns the number of tracked calls.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}
