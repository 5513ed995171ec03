package executor

import (
	"context"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/admitter"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// queuedPerSlot bounds the queue of a registered backend server: what finds no
// slot while each is freed so often is too late.
const queuedPerSlot = 8

func (e *Executor) admission() admitter.Config {
	service := e.config.Settings().Service(e.config.Service)
	slots := e.slots
	if service.MaxConcurrency > 0 {
		slots = min(slots, service.MaxConcurrency)
	}
	maxQueue := service.MaxQueue
	if e.config.Registers {
		maxQueue = queuedPerSlot * slots
	}
	return admitter.Config{
		Slots:        slots,
		FixedLimit:   e.config.Registers,
		MaxQueue:     maxQueue,
		QueueTimeout: service.QueueTimeout,
	}
}

// Reconfigure applies the settings now in force.
func (e *Executor) Reconfigure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admitter.Configure(e.admission())
}

// SetBackend names the registered backend server that takes new calls from now
// on, and the calls it runs at once; an empty instance means that none does.
func (e *Executor) SetBackend(instance string, slots int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.instance = instance
	if slots > 0 && slots != e.slots {
		e.slots = slots
		e.admitter.Configure(e.admission())
	}
}

// admit waits for a slot. The ticket holds one exactly when the reason is
// ReasonAdmitted.
func (e *Executor) admit(ctx context.Context, call *caller.Call) (*admitter.Ticket, caller.Reason) {
	e.mu.Lock()
	if reason := e.closed(call); reason != caller.ReasonNone {
		e.mu.Unlock()
		return nil, reason
	}
	now := time.Now()
	ticket := admitter.NewTicket(call.Route, call.Priority, call.Hop, call.Deadline, e.expected[call.Route].at(now))
	ticket.MaxQueueWait = call.MaxQueueWait
	e.admitter.Submit(now, ticket)
	e.mu.Unlock()
	select {
	case reason := <-ticket.Verdict:
		return ticket, reason
	default:
	}
	return ticket, e.wait(ctx, ticket)
}

// closed returns why the backend server takes no new call, and sets the instance
// that the call is sent to; e.mu is held.
func (e *Executor) closed(call *caller.Call) caller.Reason {
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

// current reports whether the backend server that the call was admitted for still
// takes calls.
func (e *Executor) current(call *caller.Call) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.config.Registers || call.Instance == e.instance
}

func (e *Executor) wait(ctx context.Context, ticket *admitter.Ticket) caller.Reason {
	timer := time.NewTimer(e.queueTimeout(ticket))
	defer timer.Stop()
	for {
		select {
		case reason := <-ticket.Verdict:
			return reason
		case <-timer.C:
			e.mu.Lock()
			e.admitter.Tick(time.Now())
			e.mu.Unlock()
			timer.Reset(e.queueTimeout(ticket))
		case <-ctx.Done():
			return e.abandon(ticket)
		}
	}
}

// queueTimeout returns the time after which to look at a queued ticket again.
func (e *Executor) queueTimeout(ticket *admitter.Ticket) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	const leastWait = 10 * time.Millisecond
	return max(leastWait, e.admitter.QueueTimeout(now, ticket)-ticket.Age(now))
}

// abandon gives up a ticket whose caller is gone.
func (e *Executor) abandon(ticket *admitter.Ticket) caller.Reason {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.admitter.Abandon(ticket) {
		return caller.ReasonCanceled
	}
	return <-ticket.Verdict
}
