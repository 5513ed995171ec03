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

// maxQueueWaitRatio is the fraction of its objective that a client's request may wait for
// a slot. It is long enough for long requests at a service that also serves calls of
// backend servers, which go first. It leaves half of the objective for the run.
const maxQueueWaitRatio = 0.45

// Critical requests are admitted until a third of them fail, because the requests that
// would use the freed capacity are worth less. Other requests are throttled before a
// tenth of them fails, because the work done for a request that fails takes capacity
// from other requests at the bottleneck.
var (
	criticalPolicy = throttler.Policy{LowFailureRatio: 0.15, HighFailureRatio: 0.35, DecreaseFactor: 0.4}
	defaultPolicy  = throttler.Policy{LowFailureRatio: 0.04, HighFailureRatio: 0.08, DecreaseFactor: 0.8}
)

// retryAfterRatio is the fraction of its objective after which a refused client may
// retry, so that the request can still be served in time.
const retryAfterRatio = 1.0 / 3

// throttleRequest refuses a client's request, before any work is done for it, if
// requests of its route often fail because of overload. Calls of backend servers pass:
// the request that they are made for was admitted already, and waits for them as long
// as its time allows. For a call that passes, it sets how long the call may wait for a
// slot.
func (d *Dispatcher) throttleRequest(now time.Time, call *caller.Call) *caller.Answer {
	if !d.config.Throttle {
		return nil
	}
	if internal, known := d.isInternalRoute(call.Route); internal || !known {
		call.MaxQueueWait = call.Deadline.Sub(now)
		return nil
	}
	call.MaxQueueWait = time.Duration(maxQueueWaitRatio * float64(call.Objective))
	if d.admits(now, call) {
		return nil
	}
	d.record(call, recorder.Refuse, caller.ReasonThrottled, caller.NotRun, "", 0)
	answer := caller.NewFailure(caller.NotRun, caller.ReasonThrottled)
	answer.RetryAfter = time.Duration(retryAfterRatio * float64(call.Objective))
	return answer
}

func (d *Dispatcher) admits(now time.Time, call *caller.Call) bool {
	policy := defaultPolicy
	if call.Priority.Criticality() == describer.Critical {
		policy = criticalPolicy
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.throttle.Admit(now, call.Route, policy)
}

// isInternalRoute reports whether a route is internal, that is, called by backend
// servers, and whether that is known.
func (d *Dispatcher) isInternalRoute(route string) (internal, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	internal, known = d.internalRoutes[route]
	return internal, known
}

// IsInternal reports whether a route is known to be called by backend servers.
func (d *Dispatcher) IsInternal(route string) bool {
	internal, _ := d.isInternalRoute(route)
	return internal
}

// recordAnswer records whether the route of the call is internal, counts the call, and
// records the overload ratio of a failure. The throttle ignores a request that its
// client canceled, because a client that gives up says nothing about the load. A
// canceled call of the local backend server counts as a failure, because the backend
// server may have waited for too long.
func (a *attempts) recordAnswer(ctx context.Context, answer *caller.Answer) {
	d := a.d
	if !d.config.Throttle {
		return
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if answer.Outcome == caller.Answered {
		d.internalRoutes[a.call.Route] = answer.InternalRoute
	}
	internal, known := d.internalRoutes[a.call.Route]
	if internal || !known {
		d.leafDetector.RecordCall(now)
	}
	overloadRatio := 0.0
	if answer.Outcome != caller.Answered || answer.Status >= 500 {
		overloadRatio = attributor.OverloadRatio(answer, a.targetLoad(now, answer))
		if internal {
			d.failures.RecordFailure(now, overloadRatio)
		}
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		d.throttle.RecordResult(now, a.call.Route, overloadRatio)
	}
}

// targetLoad returns the load report in the answer, or else the most recent report of
// the target of the last attempt. The caller must hold a.d.mu.
func (a *attempts) targetLoad(now time.Time, answer *caller.Answer) caller.Load {
	if answer.Load.Limit > 0 || a.member == nil {
		return answer.Load
	}
	target := a.d.router.Target(a.member.GetId())
	if target == nil {
		return caller.Load{}
	}
	return target.RecentLoad(now)
}

// RecordRun records a run of the local backend server.
func (d *Dispatcher) RecordRun(now time.Time) {
	d.leafDetector.RecordRun(now)
}

// IsLeaf reports whether the local backend server is known to be a leaf service, which
// makes no calls of its own.
func (d *Dispatcher) IsLeaf(now time.Time) bool {
	return d.leafDetector.IsLeaf(now)
}

// OverloadRatio returns the overload ratio of the calls of the local backend server: the part
// of their failures, from 0 to 1, that is due to overload.
func (d *Dispatcher) OverloadRatio(now time.Time) float64 {
	return d.failures.OverloadRatio(now)
}
