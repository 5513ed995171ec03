// Package admitter decides for each call to a backend server whether it starts,
// waits in a queue or is refused. It does no I/O and starts no goroutine: its
// owner passes events in and reads decisions from the tickets.
//
// # Usage
//
//	a := admitter.New(admitter.Config{Slots: 110, MaxQueue: 64, QueueTimeout: 100 * time.Millisecond}, admitter.Switches{}, now)
//	ticket := admitter.NewTicket(route, priority, hop, deadline, minRunTime)
//	a.Submit(now, ticket)
//	...
//	a.Release(now, ticket, childWait, overloaded)
package admitter

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Config holds the admission settings of one target.
type Config struct {
	// Slots is the upper bound of the concurrency limit; 0 means that there is none.
	// With FixedLimit, Slots is the limit itself, and 0 admits no call.
	Slots    int
	MaxQueue int
	// QueueTimeout is the maximum queue wait of a call that sets none itself. Where
	// calls are slow, calls of higher criticality may wait longer; see
	// maxQueueWaitRatios.
	QueueTimeout time.Duration
	// FixedLimit uses Slots as the concurrency limit and never adapts it. A queued
	// call is then refused only when it reaches its maximum queue wait, can no longer
	// meet its deadline, or does not fit in the queue: the nodes of the callers
	// already limit their calls to what the backend server can serve.
	FixedLimit bool
	// LearnCrowding leaves some of the slots of a FixedLimit free if the backend server is
	// faster then.
	LearnCrowding bool
	// EarliestDueFirst serves calls of the same criticality in the order of the times by which
	// they must start, instead of the order of arrival.
	EarliestDueFirst bool
}

// Switches turns off single mechanisms, for experiments that measure the effect
// of each. The zero value leaves all of them on.
type Switches struct {
	NoLimiter     bool
	NoThreshold   bool
	NoCriticality bool
	NoExpiry      bool
	NoNewestFirst bool
	NoBulkhead    bool
}

// Ticket represents one call that asks for a slot.
type Ticket struct {
	Route    string
	Priority caller.Priority
	// RouteCriticality decides between calls of the same criticality; see
	// caller.Call.RouteCriticality. Where no organisation has a rank, all tickets have the
	// same.
	RouteCriticality describer.Criticality
	Hop              uint32
	Deadline         time.Time
	// MinRunTime is the least time that the call is expected to take.
	MinRunTime time.Duration
	// MaxQueueWait is the maximum queue wait of the call; 0 leaves it to
	// Admitter.MaxQueueWait.
	MaxQueueWait time.Duration
	// Verdict receives one value, ReasonAdmitted or the reason for refusal. It
	// receives none if Abandon removed the ticket from the queue.
	Verdict chan caller.Reason
	// RetryAfter is the time after which a call like this one may start. It is set before
	// the verdict ReasonRateLimited.
	RetryAfter  time.Duration
	arrivalTime time.Time
	startTime   time.Time
	// due is the time by which the call must start, or zero if the order is not by that.
	due time.Time
	// epoch is the epoch of the crowding trial in which the call started, or 0.
	epoch int
}

// NewTicket returns a ticket without a verdict.
func NewTicket(route string, priority caller.Priority, hop uint32, deadline time.Time, minRunTime time.Duration) *Ticket {
	return &Ticket{
		Route:            route,
		Priority:         priority,
		RouteCriticality: describer.Critical,
		Hop:              hop,
		Deadline:         deadline,
		MinRunTime:       minRunTime,
		Verdict:          make(chan caller.Reason, 1),
	}
}

// StartTime returns the time at which the ticket got its slot.
func (t *Ticket) StartTime() time.Time {
	return t.startTime
}

// Age returns the time since the ticket arrived.
func (t *Ticket) Age(now time.Time) time.Duration {
	return now.Sub(t.arrivalTime)
}

// QueueWait returns the time that the ticket spent in the queue.
func (t *Ticket) QueueWait() time.Duration {
	return t.startTime.Sub(t.arrivalTime)
}

func (t *Ticket) sendVerdict(reason caller.Reason) {
	t.Verdict <- reason
}

// servedBefore reports whether t is served before other. Higher criticality goes
// first, then the higher criticality of the route where it is known, then calls with a hop
// above 0: their request is already in progress. Among equals, the newest goes first under
// overload. Otherwise the one that is due first goes first, if the order is by that, or the
// oldest.
func (t *Ticket) servedBefore(other *Ticket, newestFirst bool) bool {
	if a, b := t.Priority.Criticality(), other.Priority.Criticality(); a != b {
		return a > b
	}
	if a, b := t.RouteCriticality, other.RouteCriticality; a != b {
		return a > b
	}
	if a, b := t.Hop > 0, other.Hop > 0; a != b {
		return a
	}
	if newestFirst {
		return t.arrivalTime.After(other.arrivalTime)
	}
	if !t.due.Equal(other.due) {
		return t.due.Before(other.due)
	}
	return t.arrivalTime.Before(other.arrivalTime)
}

// Admitter controls the admission to one backend server. It is not safe for
// concurrent use; its owner holds one lock around every method.
type Admitter struct {
	config    Config
	switches  Switches
	limiter   *Limiter
	threshold Threshold
	bulkhead  *Bulkhead
	crowding  crowding
	queue     []*Ticket
	inFlight  int
	// rateLimit limits the calls that start per second. It is nil without a limit.
	rateLimit *rate.Limiter
	// startTimeSum is the sum of the start times of running calls, in seconds
	// since createdAt.
	startTimeSum float64
	createdAt    time.Time
	// newestFirstUntil is the time at which the newest-first order ends.
	newestFirstUntil time.Time
}

// newestFirstHold is how long the newest-first order continues after the last call
// was dropped from the queue.
const newestFirstHold = time.Second

// New returns an Admitter.
func New(config Config, switches Switches, now time.Time) *Admitter {
	return &Admitter{
		config:    config,
		switches:  switches,
		createdAt: now,
		limiter:   NewLimiter(config.Slots, now),
		bulkhead:  NewBulkhead(),
	}
}

// Configure applies new settings.
func (a *Admitter) Configure(config Config) {
	if config.Slots != a.config.Slots {
		a.limiter.SetSlots(config.Slots)
	}
	a.config = config
}

// Load returns the current load, limit and threshold.
func (a *Admitter) Load() caller.Load {
	return a.applyRateLimit(caller.Load{
		InFlight:  a.inFlight,
		Limit:     a.limit(),
		Queued:    len(a.queue),
		Threshold: a.threshold.Value(),
	})
}

func (a *Admitter) limit() int {
	if a.config.FixedLimit && a.config.LearnCrowding {
		return a.crowding.limit(a.config.Slots)
	}
	if a.config.FixedLimit {
		return a.config.Slots
	}
	if a.switches.NoLimiter {
		return 1 << 20
	}
	return a.limiter.Limit()
}

// Submit starts, queues or refuses the ticket. To make room for it, Submit may evict a
// queued ticket. It sends verdicts on the tickets' channels; a queued ticket gets its
// verdict later.
func (a *Admitter) Submit(now time.Time, ticket *Ticket) {
	ticket.arrivalTime = now
	a.advanceWindows(now)
	if a.switches.NoCriticality {
		// Keep only the hash of the request, which is the low byte.
		ticket.Priority = caller.Priority(uint16(ticket.Priority) & 0xff)
		ticket.RouteCriticality = describer.Critical
	}
	if a.config.EarliestDueFirst {
		ticket.due = a.dueTime(now, ticket)
	}
	a.refuseExpired(now)
	if a.missesDeadline(now, ticket) {
		ticket.sendVerdict(caller.ReasonHopeless)
		return
	}
	if a.bulkheadRefuses(now, ticket) {
		ticket.sendVerdict(caller.ReasonBulkhead)
		return
	}
	if !a.config.FixedLimit {
		a.threshold.RecordArrival(ticket.Priority)
	}
	if a.inFlight < a.limit() && len(a.queue) == 0 && a.hasRate(now) {
		a.start(now, ticket)
		return
	}
	a.limiter.RecordLimitReached()
	if !a.config.FixedLimit && !a.switches.NoThreshold && ticket.Priority < a.threshold.Value() {
		ticket.sendVerdict(caller.ReasonOverload)
		return
	}
	if a.exceedsRate(now, ticket) {
		a.recordDropped(now)
		a.refuseForRate(now, ticket)
		return
	}
	a.enqueue(now, ticket)
	a.startQueued(now)
}

// bulkheadRefuses reports whether the bulkhead refuses the ticket: the target is
// nearly full and the ticket's route is slow and exceeds its in-flight limit.
// Critical calls are exempt.
func (a *Admitter) bulkheadRefuses(now time.Time, ticket *Ticket) bool {
	if a.config.FixedLimit || a.switches.NoBulkhead || ticket.Priority.Criticality() >= describer.Critical {
		return false
	}
	if float64(a.inFlight) < bulkheadUtilization*float64(a.limit()) {
		return false
	}
	return a.bulkhead.ShouldRefuse(ticket.Route, a.secondsSinceCreation(now))
}

// secondsSinceCreation converts a time to seconds since the admitter was created.
func (a *Admitter) secondsSinceCreation(now time.Time) float64 {
	return now.Sub(a.createdAt).Seconds()
}

func (a *Admitter) enqueue(now time.Time, ticket *Ticket) {
	a.queue = append(a.queue, ticket)
	if len(a.queue) <= a.config.MaxQueue {
		return
	}
	last := 0
	for i := range a.queue {
		if a.queue[last].servedBefore(a.queue[i], a.newestFirst(now)) {
			last = i
		}
	}
	victim := a.removeQueued(last)
	a.recordDropped(now)
	if victim == ticket {
		victim.sendVerdict(caller.ReasonQueueFull)
		return
	}
	victim.sendVerdict(caller.ReasonEvicted)
}

// Release frees the ticket's slot after the backend server finished.
// childWait is the part of the run in which the backend server waited for child
// calls. overloaded reports whether the call failed in a way that counts as overload
// of the backend server.
func (a *Admitter) Release(now time.Time, ticket *Ticket, childWait time.Duration, overloaded bool) {
	a.inFlight--
	a.startTimeSum -= a.secondsSinceCreation(ticket.startTime)
	if overloaded {
		a.limiter.RecordOverload()
	}
	callTime := now.Sub(ticket.startTime)
	if a.config.LearnCrowding {
		a.crowding.recordFinish(now, ticket.epoch, callTime)
	}
	a.limiter.RecordFinish(now, ticket.Route, callTime-childWait, callTime)
	a.bulkhead.RecordFinish(ticket.Route, a.secondsSinceCreation(ticket.startTime), callTime, childWait)
	a.refuseExpired(now)
	a.startQueued(now)
}

// RefuseQueued refuses all queued calls.
func (a *Admitter) RefuseQueued(reason caller.Reason) {
	for _, ticket := range a.queue {
		ticket.sendVerdict(reason)
	}
	a.queue = nil
}

// Abandon removes a ticket whose caller is gone. It reports whether the ticket
// was still queued; a ticket that already started must be released by Release.
func (a *Admitter) Abandon(ticket *Ticket) bool {
	for i := range a.queue {
		if a.queue[i] == ticket {
			a.removeQueued(i)
			return true
		}
	}
	return false
}

// Tick advances the measurement windows, refuses expired queued calls and starts
// queued calls while there are free slots.
func (a *Admitter) Tick(now time.Time) {
	a.advanceWindows(now)
	a.refuseExpired(now)
	a.startQueued(now)
}

// advanceWindows updates the threshold and the bulkhead. The capacity in calls per
// second is the limit divided by the call time.
func (a *Admitter) advanceWindows(now time.Time) {
	if a.config.FixedLimit {
		return
	}
	capacity := 0.0
	if mean := a.estimateCallTime(now); mean > 0 {
		capacity = float64(a.limiter.Limit()) / mean.Seconds()
	}
	a.threshold.AdvanceWindow(now, capacity)
	a.bulkhead.AdvanceWindow(now, a.secondsSinceCreation(now))
}

func (a *Admitter) start(now time.Time, ticket *Ticket) {
	ticket.startTime = now
	a.startTimeSum += a.secondsSinceCreation(now)
	a.bulkhead.RecordStart(ticket.Route, a.secondsSinceCreation(now))
	a.inFlight++
	if a.config.LearnCrowding {
		ticket.epoch = a.crowding.recordStart(now, a.inFlight, a.config.Slots, a.limiter.MeanCallTime())
	}
	if a.rateLimit != nil {
		a.rateLimit.AllowN(now, 1)
	}
	ticket.sendVerdict(caller.ReasonAdmitted)
}

func (a *Admitter) startQueued(now time.Time) {
	for len(a.queue) > 0 && a.inFlight < a.limit() && a.hasRate(now) {
		first := 0
		for i := range a.queue {
			if a.queue[i].servedBefore(a.queue[first], a.newestFirst(now)) {
				first = i
			}
		}
		ticket := a.removeQueued(first)
		if a.missesDeadline(now, ticket) {
			a.recordDropped(now)
			ticket.sendVerdict(caller.ReasonHopeless)
			continue
		}
		a.start(now, ticket)
	}
}

// maxQueueWaitRatios holds the maximum queue wait of each criticality, as a fraction of
// the estimated call time. It applies where it exceeds Config.QueueTimeout, because
// the slots of slow calls become free rarely. A waiting call also occupies a slot at
// its caller; only important calls are worth that slot, so the fraction rises with
// the criticality.
var maxQueueWaitRatios = [...]float64{0, 0.05, 0.1, 1}

// callTimePerAge converts the mean age of running calls to an estimate of their
// call time. In a steady state the call time is twice the mean age; a lower factor
// keeps the estimate cautious.
const callTimePerAge = 1.5

// estimateCallTime estimates how long calls currently hold their slots. The age of
// running calls shows a sudden slowdown before the first slow call has ended.
func (a *Admitter) estimateCallTime(now time.Time) time.Duration {
	mean := a.limiter.MeanCallTime()
	if a.inFlight == 0 {
		return mean
	}
	age := a.secondsSinceCreation(now) - a.startTimeSum/float64(a.inFlight)
	return max(mean, time.Duration(callTimePerAge*age*float64(time.Second)))
}

// MaxQueueWait returns the maximum queue wait that currently applies to the ticket.
func (a *Admitter) MaxQueueWait(now time.Time, ticket *Ticket) time.Duration {
	return a.maxQueueWait(ticket, a.estimateCallTime(now))
}

func (a *Admitter) maxQueueWait(ticket *Ticket, callTime time.Duration) time.Duration {
	if ticket.MaxQueueWait > 0 {
		return ticket.MaxQueueWait
	}
	ratio := maxQueueWaitRatios[min(int(ticket.Priority.Criticality()), len(maxQueueWaitRatios)-1)]
	return max(a.config.QueueTimeout, time.Duration(ratio*float64(callTime)))
}

// dueTime returns the time by which a new ticket must start: the end of its maximum queue wait,
// or the last time from which it can meet its deadline.
func (a *Admitter) dueTime(now time.Time, ticket *Ticket) time.Time {
	due := now.Add(a.MaxQueueWait(now, ticket))
	if latest := ticket.Deadline.Add(-ticket.MinRunTime); !ticket.Deadline.IsZero() && latest.Before(due) {
		return latest
	}
	return due
}

// refuseExpired refuses queued calls that reached their maximum queue wait or can no
// longer meet their deadline.
func (a *Admitter) refuseExpired(now time.Time) {
	if a.switches.NoExpiry {
		return
	}
	callTime := a.estimateCallTime(now)
	for i := len(a.queue) - 1; i >= 0; i-- {
		ticket := a.queue[i]
		waited := now.Sub(ticket.arrivalTime)
		if waited >= a.config.QueueTimeout {
			a.threshold.RecordSaturation()
		}
		if waited < a.maxQueueWait(ticket, callTime) && !a.missesDeadline(now, ticket) {
			continue
		}
		a.removeQueued(i)
		a.recordDropped(now)
		if a.inFlight < a.limit() && !a.hasRate(now) {
			a.refuseForRate(now, ticket)
			continue
		}
		ticket.sendVerdict(caller.ReasonQueueTimeout)
	}
}

// missesDeadline reports whether the call cannot finish before its deadline, given
// the least run time expected.
func (a *Admitter) missesDeadline(now time.Time, ticket *Ticket) bool {
	if a.switches.NoExpiry || ticket.Deadline.IsZero() {
		return false
	}
	return ticket.Deadline.Sub(now) < ticket.MinRunTime || !now.Before(ticket.Deadline)
}

// recordDropped records that a call was refused while it was queued, was evicted, or
// found the queue full.
func (a *Admitter) recordDropped(now time.Time) {
	a.threshold.RecordSaturation()
	a.newestFirstUntil = now.Add(newestFirstHold)
}

func (a *Admitter) newestFirst(now time.Time) bool {
	return !a.config.FixedLimit && !a.switches.NoNewestFirst && now.Before(a.newestFirstUntil)
}

func (a *Admitter) removeQueued(i int) *Ticket {
	ticket := a.queue[i]
	a.queue = append(a.queue[:i], a.queue[i+1:]...)
	return ticket
}
