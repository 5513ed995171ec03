package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/retrier"
	"github.com/laburnumshelf/laburnumshelf/internal/request/router"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Repeat parameters. A repeat sends a call to a second backend server after one that
// may have run it, or that refused it. Calls that a backend server makes for a repeat are
// repeats too.
const (
	// repeatRatio is the fraction of a route's first attempts that may be repeated.
	// The platform that this program is deployed on permits repeats of at most 0.2 of
	// the first attempts in 10 s. The ratio is lower because the budget also stores what
	// earlier attempts earned (see package retrier).
	repeatRatio = 0.14
	// An attempt counts as lost after attemptTimeoutFactor times the typical latency of
	// its route. The factor is large enough for the variation in the run time of
	// backend servers, and small enough to leave time for another attempt before the
	// deadline.
	attemptTimeoutFactor = 5
	// minAttemptTimeout is the shortest time after which an attempt counts as lost. A
	// wait in a queue or a round trip between regions must not count as a loss.
	minAttemptTimeout = 80 * time.Millisecond
	// maxRepeatBudgets bounds the budgets that are kept. Routes come and go.
	maxRepeatBudgets = 8192
)

// routeKey identifies a route to a service. Each has a repeat budget of its own, because a
// repeat on a route that causes many calls would use up what other routes have earned.
type routeKey struct {
	service describer.ServiceName
	route   string
}

// repeatBudget returns the budget of repeats for the route of the call.
func (d *Dispatcher) repeatBudget(call *caller.Call) *retrier.DecayingBudget {
	key := routeKey{
		service: call.Service,
		route:   call.Route,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	repeatBudget := d.repeatBudgets[key]
	if repeatBudget == nil {
		if len(d.repeatBudgets) >= maxRepeatBudgets {
			clear(d.repeatBudgets)
		}
		repeatBudget = retrier.NewDecayingBudget(repeatRatio)
		d.repeatBudgets[key] = repeatBudget
	}
	return repeatBudget
}

// recordFirstAttempt records the first attempt of a call with MaxTargets in its repeat budget.
// Nothing in a call of a backend server names the run that it belongs to, so as many of them
// count as repeats as there are repeats among the runs of the local backend server.
func (o *outboundCall) recordFirstAttempt(now time.Time) {
	if o.d.IsInternal(o.call.Route) && rand.Float64() < o.d.repeatShare.Share(now) {
		o.call.Charged = true
	}
	budget := o.d.repeatBudget(o.call)
	if o.call.Charged {
		budget.Charge(now)
		return
	}
	budget.RecordAttempt(now)
}

// isRepeatAfter reports whether an attempt after the answer would be a repeat, which needs a
// permit of spendRepeat: an attempt has reached a backend server or may have.
func (o *outboundCall) isRepeatAfter(answer *caller.Answer) bool {
	return o.call.MaxTargets > 0 && (answer.ReachedBackend || answer.Outcome != caller.NotRun)
}

// repeatable reports whether the call may be sent to a second backend server, if the
// repeat budget permits it.
func (o *outboundCall) repeatable() bool {
	return o.call.MaxTargets > 1 && o.call.Body.Replayable() && !o.repeated
}

// attemptTimeout returns the time after which the attempt at target counts as lost, or
// 0 if the attempt may last until the deadline of the call. An attempt has no timeout
//   - if the call may not be repeated,
//   - if the route is not known to be internal, or has no typical latency yet,
//   - if the target's backend server may make calls, because a repeat would repeat
//     those too,
//   - if the target is full, because the attempt may only be waiting for a slot.
//
// The caller must hold o.d.mu.
func (o *outboundCall) attemptTimeout(now time.Time, target *router.Target) time.Duration {
	if !o.repeatable() || !o.call.Idempotent || o.call.Token != nil || !o.d.internalRoutes[o.call.Route] {
		return 0
	}
	load := target.RecentLoad(now)
	if !load.IsLeaf || load.Utilization() >= 1 {
		return 0
	}
	typicalLatency := o.d.router.TypicalLatency(o.call.Service, o.call.Route)
	if typicalLatency == 0 {
		return 0
	}
	return max(attemptTimeoutFactor*typicalLatency, minAttemptTimeout)
}

// spendRepeat reports whether to send the call to a second backend server, after one
// that may have run it or that refused it. If so, it takes one repeat from the budget. A call
// with a token is sent again only after a refusal.
func (o *outboundCall) spendRepeat(answer *caller.Answer) bool {
	if !o.repeatable() {
		o.noAttempt(recorder.NoRepeatOfCall)
		return false
	}
	refused := answer.Outcome == caller.NotRun
	now := time.Now()
	o.d.mu.Lock()
	internal := o.d.internalRoutes[o.call.Route]
	leaf := o.targetLoad(now, answer).IsLeaf
	o.d.mu.Unlock()
	failedAtLeaf := internal && leaf && (answer.Outcome != caller.Answered || answer.Status >= 500)
	if !refused && !failedAtLeaf {
		o.noAttempt(recorder.NoRepeatOfRuns)
		return false
	}
	if o.d.overloaded(o.call.Service) {
		o.noAttempt(recorder.NoRoomAtService)
		return false
	}
	o.repeated = o.d.repeatBudget(o.call).Withdraw(now)
	if !o.repeated {
		o.noAttempt(recorder.NoRepeatInBudget)
	}
	return o.repeated
}

// errAttemptTimeout is the cancellation cause of an attempt that timed out.
var errAttemptTimeout = errors.New("no answer within the attempt timeout")

// sendWithTimeout makes one attempt and cancels it after its timeout, if it has one.
// The timeout covers the time until the answer begins, not the time to read its body.
// The returned context is the one of the attempt. If the attempt timed out, the cause of
// that context is errAttemptTimeout.
func (o *outboundCall) sendWithTimeout(ctx context.Context, target *router.Target, call *caller.Call) (context.Context, *caller.Answer, error) {
	if o.timeout == 0 {
		answer, err := o.d.send(ctx, target, o.member, call)
		return ctx, answer, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(o.timeout, func() {
		cancel(errAttemptTimeout)
	})
	answer, err := o.d.send(ctx, target, o.member, call)
	if !timer.Stop() && err == nil {
		answer.Close()
		err = errAttemptTimeout
	}
	return ctx, answer, err
}
