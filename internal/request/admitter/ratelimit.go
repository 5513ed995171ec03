package admitter

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

const (
	// rateBurstTime is the time whose calls may start at once under a rate limit.
	rateBurstTime = 250 * time.Millisecond
	// minRate is the lowest rate, in calls per second, at which calls start. Without any
	// call, a backend server could not tell that its limit has ended.
	minRate = 0.5
)

// SetRateLimit limits the calls that start per second; 0 removes the limit.
func (a *Admitter) SetRateLimit(now time.Time, perSecond float64) {
	if perSecond <= 0 {
		a.rateLimit = nil
		a.startQueued(now)
		return
	}
	limit := rate.Limit(max(perSecond, minRate))
	burst := max(1, int(float64(limit)*rateBurstTime.Seconds()))
	if a.rateLimit == nil {
		a.rateLimit = rate.NewLimiter(limit, burst)
		return
	}
	a.rateLimit.SetLimitAt(now, limit)
	a.rateLimit.SetBurstAt(now, burst)
}

// hasRate reports whether the rate limit lets one more call start.
func (a *Admitter) hasRate(now time.Time) bool {
	return a.rateLimit == nil || a.rateLimit.TokensAt(now) >= 1
}

// RateWait returns the time until the rate limit lets the ticket start, after the queued
// tickets that are served before it.
func (a *Admitter) RateWait(now time.Time, ticket *Ticket) time.Duration {
	if a.rateLimit == nil {
		return 0
	}
	needed := 1 - a.rateLimit.TokensAt(now)
	for _, queued := range a.queue {
		if queued != ticket && queued.servedBefore(ticket, a.newestFirst(now)) {
			needed++
		}
	}
	return max(0, time.Duration(needed/float64(a.rateLimit.Limit())*float64(time.Second)))
}

// exceedsRate reports whether the rate limit lets the ticket start too late: after its maximum
// queue wait, or with less than the mean call time left to its deadline.
func (a *Admitter) exceedsRate(now time.Time, ticket *Ticket) bool {
	wait := a.RateWait(now, ticket)
	if wait == 0 {
		return false
	}
	ends := now.Add(wait + a.limiter.MeanCallTime())
	return wait > a.maxQueueWait(ticket, a.estimateCallTime(now)) || a.missesDeadline(now.Add(wait), ticket) ||
		(!ticket.Deadline.IsZero() && ends.After(ticket.Deadline))
}

// refuseForRate refuses the ticket, and tells when a call like it may start.
func (a *Admitter) refuseForRate(now time.Time, ticket *Ticket) {
	ticket.RetryAfter = a.RateWait(now, ticket)
	ticket.sendVerdict(caller.ReasonRateLimited)
}

// applyRateLimit lowers the limit of the load report to the number of calls that run at once
// under the rate limit: the calls that start per second, each for the mean call time. Calls
// that run longer than the mean do not count as overload; queued calls do.
func (a *Admitter) applyRateLimit(load caller.Load) caller.Load {
	mean := a.limiter.MeanCallTime()
	if a.rateLimit == nil || mean == 0 {
		return load
	}
	running := float64(a.rateLimit.Limit()) * mean.Seconds()
	load.Limit = max(1, min(load.Limit, int(running+0.5)))
	load.InFlight = min(load.InFlight, load.Limit)
	return load
}
