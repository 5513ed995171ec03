package router

import (
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/estimator"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Target is one backend server and what this node has observed of it.
type Target struct {
	Member *encoder.Member

	// tier is the distance of Member.
	tier     tier
	inFlight int
	// waitingSince is when this node began to wait for the target's next answer. It is
	// the later of the target's last answer and the first start of an attempt since
	// inFlight was last 0.
	waitingSince time.Time
	// averageLatency is the moving average of latencySamples latencies, last updated at
	// latencyUpdated.
	averageLatency       time.Duration
	latencyUpdated       time.Time
	latencySamples       int
	lastLoad             caller.Load
	loadTime             time.Time
	consecutiveFailures  int
	consecutiveEjections int
	ejectedUntil         time.Time
	// startTime is when the target's backend server started, or when the router learned
	// of it if that is earlier.
	startTime time.Time
	// speed is what this node knows of the target's speed.
	speed targetSpeed
	// sentSince is the number of attempts started since the last load report.
	sentSince int
}

// InFlight returns the number of this node's open attempts at the target, which are
// those that have not ended yet.
func (t *Target) InFlight() int {
	return t.inFlight
}

// RecentLoad returns the load that the target last reported, or the zero value if
// the report is older than maxLoadAge.
func (t *Target) RecentLoad(now time.Time) caller.Load {
	if now.Sub(t.loadTime) >= maxLoadAge {
		return caller.Load{}
	}
	return t.lastLoad
}

// LoadAge returns the age of the target's last load report, or 0 if there is none.
func (t *Target) LoadAge(now time.Time) time.Duration {
	if t.loadTime.IsZero() {
		return 0
	}
	return now.Sub(t.loadTime)
}

// Ejected reports whether the target is ejected at now.
func (t *Target) Ejected(now time.Time) bool {
	return now.Before(t.ejectedUntil)
}

// isLeaving reports whether the target accepts no new work.
func (t *Target) isLeaving() bool {
	return t.Member.GetState() == encoder.MemberState_LEAVING || t.lastLoad.Leaving ||
		t.Member.GetBackend().GetState() == encoder.BackendState_BACKEND_DRAINING
}

// Observation is the result of one attempt, as this node observed it.
type Observation struct {
	Route string
	// Latency is the time until the answer, or 0 if the backend server did not answer
	// the call.
	Latency time.Duration
	// Load is the load that the answer reports, or nil if the target did not
	// answer.
	Load *caller.Load
	// Failed reports whether the attempt failed at the target or got no answer in time.
	// It is false if the caller gave up, which says nothing about the target.
	Failed bool
	// RunTime is the time that the call held its slot, or 0 if that is not known.
	RunTime time.Duration
	// Cost describes the call, and Slowdown is the one that was expected when the target
	// was chosen.
	Cost     estimator.Key
	Slowdown float64
}

// RecordStart records the start of an attempt.
func (r *Router) RecordStart(now time.Time, target *Target) {
	if target.inFlight == 0 {
		target.waitingSince = now
	}
	target.inFlight++
	target.sentSince++
}

// RecordFinish records the end of an attempt and what it showed.
func (r *Router) RecordFinish(now time.Time, target *Target, observation Observation) {
	target.inFlight--
	if observation.Load != nil {
		target.waitingSince = now
		target.lastLoad = *observation.Load
		r.recordNotice(now, target)
		target.loadTime = now
		target.sentSince = 0
	}
	r.recordSpeed(now, target, observation)
	if observation.Failed {
		r.recordFailure(now, target)
		return
	}
	if observation.Load == nil {
		return
	}
	target.consecutiveFailures = 0
	if !target.Ejected(now) {
		target.consecutiveEjections = 0
	}
	if observation.Latency > 0 {
		target.observe(now, observation.Latency)
		r.services[ServiceOf(target.Member)].observe(observation.Route, observation.Latency)
	}
}

// RecordOverdue records that an attempt at target takes much longer than usual. It counts as a
// failure unless an answer follows, so that few attempts are sent to a target that became silent.
func (r *Router) RecordOverdue(now time.Time, target *Target) {
	r.recordFailure(now, target)
}

// observe adds one latency to the moving average. It starts a new average if the
// old one has expired.
func (t *Target) observe(now time.Time, latency time.Duration) {
	if t.latencySamples == 0 || now.Sub(t.latencyUpdated) > maxLatencyAge {
		t.averageLatency = latency
		t.latencySamples = 0
	}
	t.averageLatency += time.Duration(targetLatencyWeight * float64(latency-t.averageLatency))
	t.latencyUpdated = now
	t.latencySamples++
}

// recordFailure counts a failure and ejects the target after ejectFailures in a row.
// The ejection gets up to a quarter of its duration as random jitter.
func (r *Router) recordFailure(now time.Time, target *Target) {
	target.consecutiveFailures++
	if target.consecutiveFailures < ejectFailures {
		return
	}
	target.consecutiveFailures = 0
	duration := min(baseEjection<<min(target.consecutiveEjections, 10), maxEjection)
	target.consecutiveEjections++
	target.ejectedUntil = now.Add(duration + time.Duration(r.rng.Int64N(int64(duration/4))))
}
