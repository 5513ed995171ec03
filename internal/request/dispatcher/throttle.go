package dispatcher

import (
	"context"
	"expvar"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/attributor"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/gauger"
	"github.com/laburnumshelf/laburnumshelf/internal/request/rationer"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/surveyor"
)

// maxQueueWaitRatio is the longest time that a client's request may wait for a slot, as a
// fraction of the request's objective. A service that also serves calls of backend
// servers admits those first, so a client's request may have to wait long there. The
// wait grows with the objective, and more than half of the objective is left for
// running the request.
const maxQueueWaitRatio = 0.45

// retryAfterRatio is the Retry-After time of a throttled request, as a fraction of the
// request's objective. It is short enough for the retry to be served in time.
const retryAfterRatio = 1.0 / 3

// throttleRequest refuses a client's request, before any work is done for it, if
// requests of its route often fail because of overload. Calls on internal routes pass,
// because the request that they are made for was already admitted, and waits for them
// as long as its time allows. Calls on routes not yet known pass too. For each call that
// it does not refuse, it sets MaxQueueWait. Without Config.Throttle it does nothing.
func (o *outboundCall) throttleRequest(now time.Time) *caller.Answer {
	d, call := o.d, o.call
	if !d.config.Throttle {
		return nil
	}
	if internal, known := d.lookupInternal(call.Route); internal || !known {
		if internal {
			d.paths.RecordCall(now, call.Route)
		}
		call.MaxQueueWait = call.Deadline.Sub(now)
		return nil
	}
	call.MaxQueueWait = time.Duration(maxQueueWaitRatio * float64(call.Objective))
	retryAfter, admitted := o.isAdmitted(now)
	if admitted {
		return nil
	}
	o.recordThrottled()
	answer := caller.NewFailure(caller.NotRun, caller.ReasonThrottled)
	answer.RetryAfter = retryAfter
	return answer
}

// recordThrottled records the refusal, and what led to it if the rationer decided.
func (o *outboundCall) recordThrottled() {
	decision := o.d.decision(o.call, recorder.Refuse, caller.ReasonThrottled, caller.NotRun)
	if o.ticket.Bottleneck != 0 {
		decision.Bottleneck = o.d.serviceName(o.ticket.Bottleneck)
		decision.Pressure = o.ticket.Pressure
		decision.Admitted = o.ticket.Probability
	}
	o.d.config.Recorder.Record(decision)
}

// serviceName returns the name of the service that a bottleneck is, or the number in hexadecimal
// if no member of it is known.
func (d *Dispatcher) serviceName(bottleneck uint32) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if name, ok := d.serviceNames[bottleneck]; ok {
		return name.String()
	}
	return strconv.FormatUint(uint64(bottleneck), 16)
}

// AdmissionVar returns an expvar variable with the state of the admission for each bottleneck.
func (d *Dispatcher) AdmissionVar() expvar.Var {
	return expvar.Func(func() any {
		d.mu.Lock()
		states := d.ration.State()
		d.mu.Unlock()
		byName := make(map[string]rationer.BudgetState, len(states))
		for _, state := range states {
			byName[d.serviceName(state.Bottleneck)] = state
		}
		return byName
	})
}

// isAdmitted reports whether the request passes the rationer, where answers on its path name their
// bottleneck, or else the throttler. If not, it returns the Retry-After time.
func (o *outboundCall) isAdmitted(now time.Time) (retryAfter time.Duration, admitted bool) {
	d, call := o.d, o.call
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ration.Covers(now, call.Route) {
		retryAfter = time.Duration(retryAfterRatio * float64(call.Objective))
		return retryAfter, d.throttle.Admit(now, throttleKey(call), throttlePolicy(call))
	}
	criticality := call.Priority.Criticality()
	o.ticket = d.ration.Admit(now, call.Route, criticality, routeCriticality(call))
	return d.ration.RetryAfter(call.Objective, call.Deadline.Sub(now), criticality), o.ticket.Admitted
}

// recordPath records the pressure that an answer to a client's request reports. It reports
// whether the rationer decides about the route. The caller holds o.d.mu.
func (o *outboundCall) recordPath(now time.Time, answer *caller.Answer) bool {
	load := answer.Load
	if load.Slowdown > 0 && load.Bottleneck != 0 {
		o.d.ration.RecordAnswer(now, o.call.Route, o.ticket, rationer.Report{
			Bottleneck: load.Bottleneck,
			Pressure:   o.pressure(now, answer),
			Work:       load.PathWork,
		})
		return true
	}
	if load.Limit == 0 {
		return o.d.ration.Covers(now, o.call.Route)
	}
	if o.d.ration.RecordPlain(now, o.call.Route) {
		return true
	}
	o.d.throttle.RecordPressure(now, throttleKey(o.call), o.pressure(now, answer))
	return false
}

// shortenRetryAfter replaces a Retry-After time that clients do not wait for, in the refusal of a
// request at its target. A rate limit tells when the turn of the request comes, so that stays.
// The caller holds o.d.mu.
func (o *outboundCall) shortenRetryAfter(now time.Time, answer *caller.Answer) {
	if answer.Reason == caller.ReasonRateLimited {
		return
	}
	call := o.call
	wait := o.d.ration.RetryAfter(call.Objective, call.Deadline.Sub(now), call.Priority.Criticality())
	answer.RetryAfter = min(answer.RetryAfter, wait)
}

// lookupInternal reports whether a route is internal, that is, called by backend
// servers, and whether an answer has reported that yet.
func (d *Dispatcher) lookupInternal(route string) (internal, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	internal, known = d.internalRoutes[route]
	return internal, known
}

// IsInternal reports whether a route is known to be called by backend servers.
func (d *Dispatcher) IsInternal(route string) bool {
	internal, _ := d.lookupInternal(route)
	return internal
}

// recordAnswer stores whether the route of the call is internal. It records the call with
// the leaf detector if the local backend server may have made it. It records the overload
// ratio of the result with the throttler and, for a failed call on an internal route,
// also in d.failures. The throttler ignores canceled calls, because a client that gives
// up says nothing about the load. A canceled call on an internal route is still recorded
// in d.failures, because the local backend server may have given up after waiting too
// long.
func (o *outboundCall) recordAnswer(ctx context.Context, answer *caller.Answer) {
	d := o.d
	if !d.config.Throttle {
		return
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if answer.Outcome == caller.Answered {
		d.internalRoutes[o.call.Route] = answer.InternalRoute
	}
	internal, known := d.internalRoutes[o.call.Route]
	if internal || !known {
		d.leafDetector.RecordCall(now)
	}
	covered := false
	switch {
	case !internal:
		covered = o.recordPath(now, answer)
		if covered && answer.Outcome == caller.NotRun && answer.Reason.IsOverload() {
			o.shortenRetryAfter(now, answer)
		}
	case answer.Load.Limit > 0:
		pressure := o.pressure(now, answer)
		d.gauge.Record(now, o.call.Service, pressure)
		bottleneck := answer.Load.Bottleneck
		if bottleneck == 0 {
			bottleneck = gauger.ServiceID(o.call.Service)
		}
		d.paths.RecordReport(now, o.call.Route, pressure, bottleneck, answer.Load.PathWork)
	}
	overloadRatio := 0.0
	if answer.Outcome != caller.Answered || answer.Status >= 500 {
		overloadRatio = attributor.OverloadRatio(answer, o.targetLoad(now, answer))
		if internal {
			d.failures.RecordFailure(now, overloadRatio)
		}
	}
	if !covered && !errors.Is(ctx.Err(), context.Canceled) {
		d.throttle.RecordResult(now, throttleKey(o.call), overloadRatio)
	}
}

// targetLoad returns the load report in the answer, or else the most recent report of
// the target of the last attempt. The caller must hold o.d.mu.
func (o *outboundCall) targetLoad(now time.Time, answer *caller.Answer) caller.Load {
	if answer.Load.Limit > 0 || o.member == nil {
		return answer.Load
	}
	target := o.d.router.Target(o.member.GetId())
	if target == nil {
		return caller.Load{}
	}
	return target.RecentLoad(now)
}

// RecordRun records that the local backend server runs a call, for the leaf detector and the
// share of repeats.
func (d *Dispatcher) RecordRun(now time.Time, repeat bool) {
	d.leafDetector.RecordRun(now)
	d.repeatShare.RecordRun(now, repeat)
}

// IsLeaf reports whether the local backend server is known to be a leaf service, which
// makes no calls of its own.
func (d *Dispatcher) IsLeaf(now time.Time) bool {
	return d.leafDetector.IsLeaf(now)
}

// Paths tells which calls the runs of each route at the local backend server make.
func (d *Dispatcher) Paths() *surveyor.Paths {
	return d.paths
}

// Pressure returns the utilization of the fullest service downstream of the local backend
// server.
func (d *Dispatcher) Pressure(now time.Time) float64 {
	return d.gauge.Pressure(now)
}

// OverloadRatio returns the overload ratio of the calls of the local backend server: the part
// of their failures, from 0 to 1, that is due to overload.
func (d *Dispatcher) OverloadRatio(now time.Time) float64 {
	return d.failures.OverloadRatio(now)
}
