package executor

import (
	"context"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/admitter"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// maxQueuedPerSlot bounds the queue of a registered backend server. A call that
// gets no slot although each slot became free 8 times is too late.
const maxQueuedPerSlot = 8

func (e *Executor) admissionConfig() admitter.Config {
	service := e.config.Settings().Service(e.config.Service)
	slots := e.slots
	if service.MaxConcurrency > 0 {
		slots = min(slots, service.MaxConcurrency)
	}
	maxQueue := service.MaxQueue
	if e.config.Registers {
		maxQueue = maxQueuedPerSlot * slots
	}
	return admitter.Config{
		Slots:      slots,
		FixedLimit: e.config.Registers,

		LearnCrowding:    e.reportsSpeed.Load(),
		EarliestDueFirst: e.reportsSpeed.Load(),
		MaxQueue:         maxQueue,
		QueueTimeout:     service.QueueTimeout,
	}
}

// Reconfigure applies the current settings.
func (e *Executor) Reconfigure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admitter.Configure(e.admissionConfig())
}

// SetBackend sets the registered backend server that takes new calls, the time of its start
// and the number of calls that it runs at once. An empty instance means that there is none.
func (e *Executor) SetBackend(instance string, born time.Time, slots int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if instance != "" && (instance != e.lastInstance || !born.Equal(e.lastBorn)) {
		// The rate limit belongs to the start before.
		e.lastInstance, e.lastBorn = instance, born
		e.starts++
		e.setRateLimit(time.Now(), 0)
		e.rate.answered = false
		e.account.Reset()
		e.admitter.Configure(e.admissionConfig())
	}
	e.setInstance(instance)
	if slots > 0 && slots != e.slots {
		e.slots = slots
		e.admitter.Configure(e.admissionConfig())
	}
}

// setInstance sets the instance that takes new calls, and refuses those that wait for another
// one. The caller holds e.mu.
func (e *Executor) setInstance(instance string) {
	if instance != e.instance {
		e.admitter.RefuseQueued(caller.ReasonLeaving)
	}
	if instance != "" {
		e.backendLeaving = false
	}
	e.instance = instance
}

// admit waits for a slot. The ticket holds a slot if and only if the reason is
// ReasonAdmitted.
func (e *Executor) admit(ctx context.Context, call *caller.Call) (*admitter.Ticket, caller.Reason) {
	e.mu.Lock()
	if reason := e.assignInstance(call); reason != caller.ReasonNone {
		e.mu.Unlock()
		return nil, reason
	}
	now := time.Now()
	ticket := admitter.NewTicket(call.Route, call.Priority, call.Hop, call.Deadline, e.minRunTimes[call.Route].current(now))
	ticket.RouteCriticality = call.RouteCriticality()
	ticket.MaxQueueWait = call.MaxQueueWait
	e.admitter.Submit(now, ticket)
	e.mu.Unlock()
	select {
	case reason := <-ticket.Verdict:
		return ticket, reason
	default:
	}
	return ticket, e.awaitVerdict(ctx, ticket)
}

// assignInstance sets the instance that the call is sent to, if the backend server
// registers itself. It returns ReasonNone, or the reason why the target does not take
// the call. The caller holds e.mu.
func (e *Executor) assignInstance(call *caller.Call) caller.Reason {
	switch {
	case e.leaving:
		return caller.ReasonLeaving
	case !e.config.Registers:
		return caller.ReasonNone
	case e.instance == "":
		return caller.ReasonLeaving
	case call.Instance != "" && call.Instance != e.instance:
		return caller.ReasonIncarnation
	}
	call.Instance = e.instance
	return caller.ReasonNone
}

// currentStart reports whether the backend server that the call was admitted for is still the
// one that takes calls, and returns the number of its start.
func (e *Executor) currentStart(call *caller.Call) (start int, current bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts, !e.config.Registers || call.Instance == e.instance
}

func (e *Executor) awaitVerdict(ctx context.Context, ticket *admitter.Ticket) caller.Reason {
	timer := time.NewTimer(e.recheckDelay(ticket))
	defer timer.Stop()
	for {
		select {
		case reason := <-ticket.Verdict:
			return reason
		case <-timer.C:
			e.mu.Lock()
			e.admitter.Tick(time.Now())
			e.mu.Unlock()
			timer.Reset(e.recheckDelay(ticket))
		case <-ctx.Done():
			return e.abandon(ticket)
		}
	}
}

// recheckDelay returns the time after which a queued ticket is checked again.
func (e *Executor) recheckDelay(ticket *admitter.Ticket) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	const minDelay = 10 * time.Millisecond
	delay := e.admitter.MaxQueueWait(now, ticket) - ticket.Age(now)
	if wait := e.admitter.RateWait(now, ticket); wait > 0 {
		delay = min(delay, wait)
	}
	return max(minDelay, delay)
}

// abandon removes the ticket of a canceled call from the queue. If the ticket has
// already left the queue, it returns the ticket's verdict.
func (e *Executor) abandon(ticket *admitter.Ticket) caller.Reason {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.admitter.Abandon(ticket) {
		return caller.ReasonCanceled
	}
	return <-ticket.Verdict
}
