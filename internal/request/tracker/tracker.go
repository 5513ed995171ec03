// Package tracker holds the inbound calls that run at the local backend server. The
// child calls that the backend server makes for them inherit deadline, priority and
// retry allowance from here, so the node does not have to trust the backend server.
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

// Inbound is one call that runs at the local backend server, with the state and
// results of its child calls.
type Inbound struct {
	Call *caller.Call
	Pool *retrier.Pool

	mu           sync.Mutex
	openChildren int
	// childrenSince is when openChildren last rose from 0.
	childrenSince time.Time
	// childWaitTime is the time during which child calls were open. It leaves out the
	// current period if there are open ones.
	childWaitTime time.Duration
	pathThreshold caller.Priority
	childFailed   bool
}

// RecordChildStart records the start of a child call.
func (i *Inbound) RecordChildStart(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.openChildren == 0 {
		i.childrenSince = now
	}
	i.openChildren++
}

// RecordChildFinish records the end of a child call, whether it failed, and the
// highest admission threshold of its targets and its path.
func (i *Inbound) RecordChildFinish(now time.Time, childFailed bool, pathThreshold caller.Priority) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.openChildren--
	if i.openChildren == 0 {
		i.childWaitTime += now.Sub(i.childrenSince)
	}
	i.pathThreshold = max(i.pathThreshold, pathThreshold)
	i.childFailed = i.childFailed || childFailed
}

// ChildWaitTime returns the time during which at least one child call was open.
func (i *Inbound) ChildWaitTime(now time.Time) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.openChildren > 0 {
		return i.childWaitTime + now.Sub(i.childrenSince)
	}
	return i.childWaitTime
}

// HasFailedChild reports whether a child call failed. If so, a failure of this call
// says nothing about the local backend server.
func (i *Inbound) HasFailedChild() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.childFailed
}

// PathThreshold returns the highest admission threshold of all child calls and their
// paths.
func (i *Inbound) PathThreshold() caller.Priority {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.pathThreshold
}

// Table holds the tracked calls by call ID. Its methods are safe for concurrent
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

// Find returns a tracked call, or nil if there is none with this ID.
func (t *Table) Find(callID string) *Inbound {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls[callID]
}

// Remove stops tracking a call.
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
