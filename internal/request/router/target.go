package router

import (
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Target is one backend server with what this node observed of it.
type Target struct {
	Member *encoder.Member

	inFlight int
	// busySince is when the target last answered or got its first unanswered
	// attempt.
	busySince   time.Time
	latency     time.Duration
	latencyTime time.Time
	samples     int
	load        caller.Load
	loadTime    time.Time
	failures    int
	ejections   int
	ejectedTo   time.Time
	since       time.Time
}

// InFlight returns the attempts of this node that the target has not answered.
func (t *Target) InFlight() int {
	return t.inFlight
}

// RecentLoad returns the load that the target last reported, or the zero value where
// that is too long ago.
func (t *Target) RecentLoad(now time.Time) caller.Load {
	if now.Sub(t.loadTime) >= loadAge {
		return caller.Load{}
	}
	return t.load
}

// LoadAge returns the age of the target's last load report, or 0 without one.
func (t *Target) LoadAge(now time.Time) time.Duration {
	if t.loadTime.IsZero() {
		return 0
	}
	return now.Sub(t.loadTime)
}

// Ejected reports whether the target is ejected at now.
func (t *Target) Ejected(now time.Time) bool {
	return now.Before(t.ejectedTo)
}

// leaving reports whether the target takes no new work.
func (t *Target) leaving() bool {
	return t.Member.GetState() == encoder.MemberState_LEAVING || t.load.Leaving ||
		t.Member.GetBackend().GetState() == encoder.BackendState_BACKEND_DRAINING
}

// Observation is what one attempt showed.
type Observation struct {
	Route string
	// Latency is the time until the answer.
	Latency time.Duration
	// Load is nil when the target did not answer.
	Load *caller.Load
	// Failed marks an attempt that the target did not answer or failed.
	Failed bool
}

// RecordStart notes the start of an attempt.
func (r *Router) RecordStart(now time.Time, target *Target) {
	if target.inFlight == 0 {
		target.busySince = now
	}
	target.inFlight++
}

// RecordFinish notes the end of an attempt.
func (r *Router) RecordFinish(now time.Time, target *Target, seen Observation) {
	target.inFlight--
	if seen.Load != nil {
		target.busySince = now
		target.load = *seen.Load
		target.loadTime = now
	}
	if seen.Failed {
		r.failed(now, target)
		return
	}
	if seen.Load == nil {
		return
	}
	target.failures = 0
	if !target.Ejected(now) {
		target.ejections = 0
	}
	if seen.Latency > 0 {
		target.observe(now, seen.Latency)
		r.services[ServiceOf(target.Member)].observe(seen.Route, seen.Latency)
	}
}

func (t *Target) observe(now time.Time, latency time.Duration) {
	if t.samples == 0 || now.Sub(t.latencyTime) > latencyAge {
		t.latency = latency
		t.samples = 0
	}
	t.latency += time.Duration(latencyWeight * float64(latency-t.latency))
	t.latencyTime = now
	t.samples++
}

func (r *Router) failed(now time.Time, target *Target) {
	target.failures++
	if target.failures < ejectFailures {
		return
	}
	target.failures = 0
	duration := min(ejectBase<<min(target.ejections, 10), ejectLimit)
	target.ejections++
	target.ejectedTo = now.Add(duration + time.Duration(r.rng.Int64N(int64(duration/4))))
}
