package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/attributor"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/throttler"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// patienceShare is the share of its objective for which a client's request may
// wait for a slot: long enough for long requests at a service that also serves calls
// of backend servers, which go first, and with half of the objective left to run.
const patienceShare = 0.45

// Urgent requests are let in until a third of them fail: what they leave room
// for by failing is worth less. Others are cut before a tenth fails, since what is
// done for a request that fails takes the room of others at the bottleneck.
var (
	urgentPolicy = throttler.Policy{LowFailureRatio: 0.15, HighFailureRatio: 0.35, DecreaseFactor: 0.4}
	otherPolicy  = throttler.Policy{LowFailureRatio: 0.04, HighFailureRatio: 0.08, DecreaseFactor: 0.8}
)

// retryShare is the share of its objective after which a refused client may come
// back, so that it can still be served in time.
const retryShare = 1.0 / 3

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
	if d.admits(now, call) {
		return nil
	}
	d.record(call, recorder.Refuse, caller.ReasonThrottled, caller.NotRun, "", 0)
	answer := caller.Refuse(caller.NotRun, caller.ReasonThrottled)
	answer.RetryAfter = time.Duration(retryShare * float64(call.Objective))
	return answer
}

func (d *Dispatcher) admits(now time.Time, call *caller.Call) bool {
	policy := otherPolicy
	if call.Priority.Criticality() == describer.Critical {
		policy = urgentPolicy
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.throttle.Admit(now, call.Route, policy)
}

// class reports whether a route is called by backend servers, if that is known.
func (d *Dispatcher) class(route string) (inner, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	inner, known = d.classes[route]
	return inner, known
}

// IsInternal reports whether a route is known to be called by backend servers.
func (d *Dispatcher) IsInternal(route string) bool {
	inner, _ := d.class(route)
	return inner
}

// learn takes what the answer to a call tells of its route, and of what the calls
// of this node's backend server fail of. A client that gave up says nothing about
// the load; a backend server that did may have waited for too long.
func (a *attempts) learn(ctx context.Context, answer *caller.Answer) {
	d := a.d
	if !d.config.Throttle {
		return
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if answer.Outcome == caller.Answered {
		d.classes[a.call.Route] = answer.Inner
	}
	inner, known := d.classes[a.call.Route]
	if inner || !known {
		d.survey.Called(now)
	}
	strain := 0.0
	if answer.Outcome != caller.Answered || answer.Status >= 500 {
		strain = attributor.OverloadRatio(answer, a.load(now, answer))
		if inner {
			d.failures.RecordFailure(now, strain)
		}
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		d.throttle.RecordResult(now, a.call.Route, strain)
	}
}

// load returns what the target of the last attempt reports, with the answer or,
// where there is none, lately; a.d.mu is held.
func (a *attempts) load(now time.Time, answer *caller.Answer) caller.Load {
	if answer.Load.Limit > 0 || a.member == nil {
		return answer.Load
	}
	target := a.d.router.Target(a.member.GetId())
	if target == nil {
		return caller.Load{}
	}
	return target.RecentLoad(now)
}

// Ran counts a run of this node's backend server.
func (d *Dispatcher) Ran(now time.Time) {
	d.survey.Ran(now)
}

// Leaf reports whether this node's backend server is known to make no calls.
func (d *Dispatcher) Leaf(now time.Time) bool {
	return d.survey.Leaf(now)
}

// Strain returns the part of what the calls of this node's backend server fail of
// that is a lack of capacity.
func (d *Dispatcher) Strain(now time.Time) float64 {
	return d.failures.OverloadRatio(now)
}
