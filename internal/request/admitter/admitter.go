// Package admitter decides which calls a backend server runs, which wait and
// which are refused. It does no I/O and starts no goroutine: events go in, and
// the calls to start or refuse come out.
//
// # Usage
//
//	a := admitter.New(admitter.Config{Slots: 110, MaxQueue: 64, QueueTimeout: 100 * time.Millisecond}, now)
//	ticket := admitter.NewTicket(route, priority, hop, deadline, expected)
//	a.Arrive(now, ticket)
//	...
//	a.Done(now, ticket, waited, failed)
package admitter

import (
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Config is the settings of one target's admission.
type Config struct {
	Slots        int
	MaxQueue     int
	QueueTimeout time.Duration
	// FixedLimit takes the announced slots as the limit, and refuses a queued call
	// only when its own patience or time is over: whoever sends calls sends no
	// more than are served.
	FixedLimit bool
}

// Switches turns single mechanisms off, for experiments that measure what each
// is worth. The zero value leaves all of them on.
type Switches struct {
	NoLimiter     bool
	NoThreshold   bool
	NoCriticality bool
	NoExpiry      bool
	NoNewestFirst bool
	NoBulkhead    bool
}

// Ticket is one call that asks for a slot.
type Ticket struct {
	Route    string
	Priority caller.Priority
	Hop      uint32
	Deadline time.Time
	// MinRunTime is the least time that the call is expected to take.
	MinRunTime time.Duration
	// MaxQueueWait is how long the call may be queued; 0 leaves that to the admitter.
	MaxQueueWait time.Duration
	// Verdict receives exactly one value: ReasonAdmitted or why not.
	Verdict chan caller.Reason
	arrived time.Time
	started time.Time
}

// NewTicket returns a ticket that has no verdict yet.
func NewTicket(route string, priority caller.Priority, hop uint32, deadline time.Time, expected time.Duration) *Ticket {
	return &Ticket{
		Route:      route,
		Priority:   priority,
		Hop:        hop,
		Deadline:   deadline,
		MinRunTime: expected,
		Verdict:    make(chan caller.Reason, 1),
	}
}

// StartTime returns the time the ticket got its slot.
func (t *Ticket) StartTime() time.Time {
	return t.started
}

// Age returns the time since the ticket arrived.
func (t *Ticket) Age(now time.Time) time.Duration {
	return now.Sub(t.arrived)
}

// QueueWait returns the time the ticket spent in the queue.
func (t *Ticket) QueueWait() time.Duration {
	return t.started.Sub(t.arrived)
}

func (t *Ticket) settle(reason caller.Reason) {
	t.Verdict <- reason
}

// before reports whether t is served before other: higher criticality, then
// deeper calls, then the newest under overload and the oldest otherwise.
func (t *Ticket) before(other *Ticket, newestFirst bool) bool {
	if a, b := t.Priority.Criticality(), other.Priority.Criticality(); a != b {
		return a > b
	}
	if a, b := t.Hop > 0, other.Hop > 0; a != b {
		return a
	}
	if newestFirst {
		return t.arrived.After(other.arrived)
	}
	return t.arrived.Before(other.arrived)
}

// Admitter is the admission of one backend server. It is not safe for
// concurrent use; its owner holds one lock around every method.
type Admitter struct {
	config    Config
	switches  Switches
	limiter   *Limiter
	threshold Threshold
	bulkhead  *Bulkhead
	queue     []*Ticket
	inFlight  int
	// startedSum is the sum of the start times of running calls, in seconds
	// since epoch.
	startedSum float64
	epoch      time.Time
	// overloadedUntil keeps the newest-first order for a while after the last
	// call was shed.
	overloadedUntil time.Time
}

// overloadMemory is how long the newest-first order outlasts the last shed call.
const overloadMemory = time.Second

// New returns an Admitter.
func New(config Config, switches Switches, now time.Time) *Admitter {
	return &Admitter{
		config:   config,
		switches: switches,
		epoch:    now,
		limiter:  NewLimiter(config.Slots, now),
		bulkhead: NewBulkhead(),
	}
}

// Configure changes the settings in force.
func (a *Admitter) Configure(config Config) {
	if config.Slots != a.config.Slots {
		a.limiter.SetSlots(config.Slots)
	}
	a.config = config
}

// Load returns what is in use.
func (a *Admitter) Load() caller.Load {
	return caller.Load{
		InFlight:  a.inFlight,
		Limit:     a.limit(),
		Queued:    len(a.queue),
		Threshold: a.threshold.Value(),
	}
}

func (a *Admitter) limit() int {
	if a.config.FixedLimit {
		return a.config.Slots
	}
	if a.switches.NoLimiter {
		return 1 << 20
	}
	return a.limiter.Limit()
}

// Submit starts, queues or refuses the ticket, and may refuse queued ones in
// its place. Verdicts are sent on the tickets' channels; a queued ticket gets
// its verdict later.
func (a *Admitter) Submit(now time.Time, ticket *Ticket) {
	ticket.arrived = now
	a.roll(now)
	if a.switches.NoCriticality {
		ticket.Priority = caller.Priority(uint16(ticket.Priority) & 0xff)
	}
	a.expire(now)
	if a.hopeless(now, ticket) {
		ticket.settle(caller.ReasonHopeless)
		return
	}
	if a.exceeded(now, ticket) {
		ticket.settle(caller.ReasonBulkhead)
		return
	}
	if !a.config.FixedLimit {
		a.threshold.Arrived(ticket.Priority)
	}
	if a.inFlight < a.limit() && len(a.queue) == 0 {
		a.start(now, ticket)
		return
	}
	a.limiter.Saturated()
	if !a.config.FixedLimit && !a.switches.NoThreshold && ticket.Priority < a.threshold.Value() {
		ticket.settle(caller.ReasonOverload)
		return
	}
	a.enqueue(now, ticket)
	a.dispatch(now)
}

// exceeded reports whether the ticket's route has become slow and holds more
// than its part of a target that is nearly full. Critical calls are exempt.
func (a *Admitter) exceeded(now time.Time, ticket *Ticket) bool {
	if a.config.FixedLimit || a.switches.NoBulkhead || ticket.Priority.Criticality() >= describer.Critical {
		return false
	}
	if float64(a.inFlight) < bulkheadShare*float64(a.limit()) {
		return false
	}
	return a.bulkhead.Exceeded(ticket.Route, a.seconds(now))
}

// seconds returns a time in seconds since the admitter's epoch.
func (a *Admitter) seconds(now time.Time) float64 {
	return now.Sub(a.epoch).Seconds()
}

func (a *Admitter) enqueue(now time.Time, ticket *Ticket) {
	a.queue = append(a.queue, ticket)
	if len(a.queue) <= a.config.MaxQueue {
		return
	}
	last := 0
	for i := range a.queue {
		if a.queue[last].before(a.queue[i], a.newestFirst(now)) {
			last = i
		}
	}
	victim := a.remove(last)
	a.shed(now)
	if victim == ticket {
		victim.settle(caller.ReasonQueueFull)
		return
	}
	victim.settle(caller.ReasonEvicted)
}

// Release releases the ticket's slot after the backend server finished. Waited is
// the part of the time in which the call waited for calls of its own.
func (a *Admitter) Release(now time.Time, ticket *Ticket, waited time.Duration, failed bool) {
	a.inFlight--
	a.startedSum -= a.seconds(ticket.started)
	if failed {
		a.limiter.Failed()
	}
	total := now.Sub(ticket.started)
	a.limiter.Done(now, ticket.Route, total-waited, total)
	a.bulkhead.Done(ticket.Route, a.seconds(ticket.started), total, waited)
	a.expire(now)
	a.dispatch(now)
}

// Abandon removes a ticket whose caller is gone. It reports whether the ticket
// was still queued; a ticket that already started must be released by Done.
func (a *Admitter) Abandon(ticket *Ticket) bool {
	for i := range a.queue {
		if a.queue[i] == ticket {
			a.remove(i)
			return true
		}
	}
	return false
}

// Tick refuses queued calls whose time is over.
func (a *Admitter) Tick(now time.Time) {
	a.roll(now)
	a.expire(now)
	a.dispatch(now)
}

// roll moves the threshold with the capacity that limit and call time give.
func (a *Admitter) roll(now time.Time) {
	if a.config.FixedLimit {
		return
	}
	capacity := 0.0
	if mean := a.callTime(now); mean > 0 {
		capacity = float64(a.limiter.Limit()) / mean.Seconds()
	}
	a.threshold.Roll(now, capacity)
	a.bulkhead.Roll(now, a.seconds(now))
}

func (a *Admitter) start(now time.Time, ticket *Ticket) {
	ticket.started = now
	a.startedSum += a.seconds(now)
	a.bulkhead.Started(ticket.Route, a.seconds(now))
	a.inFlight++
	ticket.settle(caller.ReasonAdmitted)
}

func (a *Admitter) dispatch(now time.Time) {
	for len(a.queue) > 0 && a.inFlight < a.limit() {
		first := 0
		for i := range a.queue {
			if a.queue[i].before(a.queue[first], a.newestFirst(now)) {
				first = i
			}
		}
		ticket := a.remove(first)
		if a.hopeless(now, ticket) {
			a.shed(now)
			ticket.settle(caller.ReasonHopeless)
			continue
		}
		a.start(now, ticket)
	}
}

// waitShare is the share of the call time that a call of each criticality may
// wait where that is longer than the configured timeout: slots of slow calls
// become free rarely, and important calls are worth a slot upstream meanwhile.
var waitShare = [...]float64{0, 0.05, 0.1, 1}

// ageFactor turns the mean age of running calls into a cautious estimate of
// their whole time, which is twice the mean age in a steady state.
const ageFactor = 1.5

// callTime estimates how long calls hold their slots now. The age of running
// calls shows a sudden slowness before the first slow call has ended.
func (a *Admitter) callTime(now time.Time) time.Duration {
	mean := a.limiter.MeanTotal()
	if a.inFlight == 0 {
		return mean
	}
	age := a.seconds(now) - a.startedSum/float64(a.inFlight)
	return max(mean, time.Duration(ageFactor*age*float64(time.Second)))
}

// QueueTimeout returns how long the call may wait for a slot now.
func (a *Admitter) QueueTimeout(now time.Time, ticket *Ticket) time.Duration {
	return a.queueTimeout(ticket, a.callTime(now))
}

func (a *Admitter) queueTimeout(ticket *Ticket, callTime time.Duration) time.Duration {
	if ticket.MaxQueueWait > 0 {
		return ticket.MaxQueueWait
	}
	share := waitShare[min(int(ticket.Priority.Criticality()), len(waitShare)-1)]
	return max(a.config.QueueTimeout, time.Duration(share*float64(callTime)))
}

// expire refuses queued calls that waited too long.
func (a *Admitter) expire(now time.Time) {
	if a.switches.NoExpiry {
		return
	}
	callTime := a.callTime(now)
	for i := len(a.queue) - 1; i >= 0; i-- {
		ticket := a.queue[i]
		waited := now.Sub(ticket.arrived)
		if waited >= a.config.QueueTimeout {
			a.threshold.Saturated()
		}
		if waited < a.queueTimeout(ticket, callTime) && !a.hopeless(now, ticket) {
			continue
		}
		a.remove(i)
		a.shed(now)
		ticket.settle(caller.ReasonQueueTimeout)
	}
}

// hopeless reports whether the call cannot finish before its deadline.
func (a *Admitter) hopeless(now time.Time, ticket *Ticket) bool {
	if a.switches.NoExpiry || ticket.Deadline.IsZero() {
		return false
	}
	return ticket.Deadline.Sub(now) < ticket.MinRunTime || !now.Before(ticket.Deadline)
}

func (a *Admitter) shed(now time.Time) {
	a.threshold.Saturated()
	a.overloadedUntil = now.Add(overloadMemory)
}

func (a *Admitter) newestFirst(now time.Time) bool {
	return !a.config.FixedLimit && !a.switches.NoNewestFirst && now.Before(a.overloadedUntil)
}

func (a *Admitter) remove(i int) *Ticket {
	ticket := a.queue[i]
	a.queue = append(a.queue[:i], a.queue[i+1:]...)
	return ticket
}
