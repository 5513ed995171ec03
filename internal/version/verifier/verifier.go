// Package verifier decides whether a node may rely on its settings in force for what must not
// be undone, such as a withdrawn key. It does no I/O.
//
// A node usually learns of a new version within two seconds, whatever other nodes do. A node that
// stood still, or has just started and got its settings from a member, may hold a version that was
// replaced long ago, and requests reach it before the next read of the operator's table. So it
// relies on its settings only after one read, or the confirmation of another node, from the time
// after the pause. If a read from that time fails, the node is cut off and goes on with what it has.
//
// # Usage
//
//	v := verifier.New(time.Now())
//	v.Tick(now)
//	v.Confirm(asOf)
//	v.RecordFailure(readStarted)
//	if !v.Reliable(time.Now()) { refuse }
package verifier

import (
	"sync"
	"time"
)

const (
	// TickPeriod is the time between two calls of Tick.
	TickPeriod = 500 * time.Millisecond
	// maxPause is the longest time without a tick that is no pause. A version is in force
	// within 1.3 s of the store's acknowledgement even if the nodes that read the store fail,
	// so a node that stood still for less than this has it within 3 s.
	maxPause = 1500 * time.Millisecond
	// maxDoubt is the longest time for which a node does not rely on its settings. A read
	// succeeds or fails sooner.
	maxDoubt = 5 * time.Second
)

// Verifier follows one node. Its methods are safe for concurrent use.
type Verifier struct {
	mu       sync.Mutex
	lastTick time.Time
	// doubtSince is the end of the last pause, or zero once the settings are known to be newer.
	doubtSince time.Time
}

// New returns a Verifier of a node that has just started.
func New(now time.Time) *Verifier {
	return &Verifier{
		lastTick:   now,
		doubtSince: now,
	}
}

// Tick tells that the node runs.
func (v *Verifier) Tick(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.detectPause(now)
	v.lastTick = now
}

// detectPause begins to doubt the settings if the node stood still before now. The caller holds
// v.mu.
func (v *Verifier) detectPause(now time.Time) {
	if elapsed(v.lastTick, now) > maxPause {
		v.doubtSince = now
		v.lastTick = now
	}
}

// elapsed returns the time from one reading of the clocks to another. A machine that is suspended
// may stop its monotonic clock, so the time of day counts if more time has passed by it.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Confirm tells that the settings in force were the newest ones at asOf.
func (v *Verifier) Confirm(asOf time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !asOf.Before(v.doubtSince) {
		v.doubtSince = time.Time{}
	}
}

// RecordFailure tells that a read of the operator's table that began at started has failed.
func (v *Verifier) RecordFailure(started time.Time) {
	v.Confirm(started)
}

// Reliable reports whether the node may rely on its settings.
func (v *Verifier) Reliable(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.detectPause(now)
	return v.doubtSince.IsZero() || elapsed(v.doubtSince, now) > maxDoubt
}
