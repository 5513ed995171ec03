// Package accountant keeps account of the work that a backend server still has to do, and of
// its speed. It answers a load of calls whose costs differ and of servers whose speed changes:
// the callers' nodes place calls by the work left and the speed that it reports.
//
// The account begins when the backend server reports its load with a speed, and ends when it
// registers anew. Without such a report, it holds nothing.
//
// # Usage
//
//	account := accountant.New()
//	account.RecordServerLoad(now, notice.Load)
//	call := account.Submit(now, key)
//	account.Start(now, call)
//	account.Finish(now, call, true)
//	work, slowdown := account.Report(now)
package accountant

import (
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/estimator"
)

const (
	// refreshInterval is the time for which a calculated work left is reported again. It
	// bounds the cost of the calculation, which visits each open call.
	refreshInterval = 5 * time.Millisecond
	// maxSpeedAge is the age at which a speed that the backend server reported expires.
	// The mean of the earlier ones applies then.
	maxSpeedAge = 2 * time.Second
	// maxReportAge is the age at which the backend server counts as one that does not report
	// its speed.
	maxReportAge = 10 * time.Second
	// meanWeight is the weight of a reported speed in the mean.
	meanWeight = 0.02
	// minElasticity is the elasticity of the run times below which the reported speed has
	// proved wrong: they do not follow it. Their mean applies then.
	minElasticity = 0.15
	// runWeight is the weight of a run in the elasticity.
	runWeight = 0.02
)

// Call is a call that waits for a slot or holds one.
type Call struct {
	key      estimator.Key
	estimate estimator.Estimate
	// index is the place of the call among the open ones, or -1 if it is not open.
	index int
	// started is the time at which the call got its slot, or zero if it waits.
	started time.Time
	// slowdown is the one at the start.
	slowdown float64
}

// Account is the account of one backend server. It is not safe for concurrent use.
type Account struct {
	costs *estimator.Table
	calls []*Call
	// slowdown is the one reported last, at reported. mean is the mean of all reports. Both
	// are 0 without a report.
	slowdown float64
	mean     float64
	reported time.Time
	// trust learns whether the run times follow the reported speed.
	trust estimator.Regression
	// work is the work left that was calculated at calculated.
	work       time.Duration
	calculated time.Time
}

// New returns an account without calls.
func New() *Account {
	return &Account{
		costs: estimator.New(),
	}
}

// Reset forgets the speed that the backend server reported. The next start of a backend
// server may be on another machine; the costs of the routes stay.
func (a *Account) Reset() {
	a.slowdown, a.mean = 0, 0
	a.trust = estimator.Regression{}
	a.calculated = time.Time{}
}

// RecordServerLoad records what the backend server reports of its load. A report without a
// speed is ignored.
func (a *Account) RecordServerLoad(now time.Time, load caller.ServerLoad) {
	if load.Slowdown <= 0 {
		return
	}
	if a.mean == 0 {
		a.mean = load.Slowdown
	}
	a.mean += meanWeight * (load.Slowdown - a.mean)
	a.slowdown = load.Slowdown
	a.reported = now
}

// Active reports whether the backend server reports its speed.
func (a *Account) Active(now time.Time) bool {
	return a.mean > 0 && now.Sub(a.reported) < maxReportAge
}

// Slowdown returns the present slowdown of the backend server, or 0 if it reports none.
func (a *Account) Slowdown(now time.Time) float64 {
	if now.Sub(a.reported) > maxSpeedAge || a.trust.Elasticity() < minElasticity {
		return a.mean
	}
	return a.slowdown
}

// Submit records a call that asks for a slot.
func (a *Account) Submit(now time.Time, key estimator.Key) *Call {
	call := &Call{
		key:      key,
		estimate: a.costs.Estimate(now, key),
		index:    len(a.calls),
	}
	a.calls = append(a.calls, call)
	return call
}

// Start records that the call got a slot.
func (a *Account) Start(now time.Time, call *Call) {
	call.started = now
	call.slowdown = a.slowdown
}

// Remove forgets a call that has not run.
func (a *Account) Remove(call *Call) {
	if call.index < 0 {
		return
	}
	last := a.calls[len(a.calls)-1]
	a.calls[call.index] = last
	last.index = call.index
	a.calls[len(a.calls)-1] = nil
	a.calls = a.calls[:len(a.calls)-1]
	call.index = -1
}

// Finish records the end of a run. It learns the cost of the call if the run was complete, not
// cut off.
func (a *Account) Finish(now time.Time, call *Call, complete bool) {
	if call.index < 0 {
		return
	}
	a.Remove(call)
	if !complete || call.started.IsZero() {
		return
	}
	runTime := now.Sub(call.started)
	if call.estimate.Mean > 0 && call.slowdown > 0 {
		// The cost of the route is left out, so that runs of all routes compare.
		relative := time.Duration(float64(time.Second) * float64(runTime) / float64(call.estimate.Mean))
		a.trust.Observe(call.slowdown, relative, runWeight)
	}
	a.costs.Observe(now, call.key, call.slowdown, runTime)
}

// Cost returns the expected cost of a call.
func (a *Account) Cost(now time.Time, key estimator.Key) estimator.Estimate {
	return a.costs.Estimate(now, key)
}

// RouteCosts returns the costs of the routes.
func (a *Account) RouteCosts(now time.Time) map[string]estimator.RouteCost {
	return a.costs.RouteCosts(now)
}

// Report returns the remaining work of all open calls, as the time that one slot would take
// for it at the present speed, and the slowdown. Both are 0 if the backend server does not
// report its speed.
func (a *Account) Report(now time.Time) (work time.Duration, slowdown float64) {
	if !a.Active(now) {
		return 0, 0
	}
	slowdown = a.Slowdown(now)
	if a.calculated.IsZero() || now.Sub(a.calculated) >= refreshInterval {
		a.calculated = now
		a.work = a.workLeft(now, slowdown)
	}
	return a.work, slowdown
}

// workLeft adds up the expected remaining run times of all open calls. Calls of unknown cost
// count like the mean of the others.
func (a *Account) workLeft(now time.Time, slowdown float64) time.Duration {
	work, known := time.Duration(0), 0
	for _, call := range a.calls {
		if call.estimate.Mean <= 0 {
			continue
		}
		known++
		if call.started.IsZero() {
			work += call.estimate.At(slowdown)
			continue
		}
		work += call.estimate.Remaining(now.Sub(call.started), call.slowdown)
	}
	if known == 0 {
		return 0
	}
	return time.Duration(float64(work) * float64(len(a.calls)) / float64(known))
}
