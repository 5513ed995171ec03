package dispatcher

import (
	"context"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
)

// patienceShare is the share of its objective for which a client's request may
// wait for a slot: a refusal that comes later than that costs its caller more
// than an early one.
const patienceShare = 0.25

// refuseEarly refuses a client's request whose kind mostly fails, before any work
// is done for it. Calls of backend servers pass: the request that they are made
// for was let in already, and waits for them as long as its time allows.
func (d *Dispatcher) refuseEarly(now time.Time, call *caller.Call) *caller.Answer {
	if !d.config.Throttle {
		return nil
	}
	if inner, known := d.class(call.Route); inner || !known {
		call.Patience = call.Deadline.Sub(now)
		return nil
	}
	call.Patience = time.Duration(patienceShare * float64(call.Objective))
	if d.admits(now, call.Route) {
		return nil
	}
	d.record(call, recorder.Refuse, caller.ReasonThrottled, caller.NotRun, "", 0)
	answer := caller.Refuse(caller.NotRun, caller.ReasonThrottled)
	answer.RetryAfter = retryAfter
	return answer
}

func (d *Dispatcher) admits(now time.Time, route string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.throttle.Admit(now, route)
}

// class reports whether a route is called by backend servers, if that is known.
func (d *Dispatcher) class(route string) (inner, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	inner, known = d.classes[route]
	return inner, known
}

// learn takes what an answer tells of its route. A caller that gave up says
// nothing about the load.
func (d *Dispatcher) learn(ctx context.Context, call *caller.Call, answer *caller.Answer) {
	if !d.config.Throttle {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if answer.Outcome == caller.Answered {
		d.classes[call.Route] = answer.Inner
	}
	served := answer.Outcome == caller.Answered && answer.Status < 500
	if served || ctx.Err() != nil {
		d.throttle.Served(time.Now(), call.Route)
	}
}
