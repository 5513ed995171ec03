package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/retrier"
	"github.com/laburnumshelf/laburnumshelf/internal/request/router"
)

// Repeat parameters. A repeat is a second attempt at a call that already reached a
// backend server.
const (
	// repeatRatio is the fraction of a service's first attempts that may be repeated.
	// The users' platform allows 0.2 of them in 10 s. The ratio is lower because the
	// budget stores what earlier attempts earned (see package retrier).
	repeatRatio = 0.14
	// attemptTimeoutFactor times the typical latency of a route is the time after which
	// an attempt counts as lost. It is longer than the work of the users' backend
	// servers varies, and short enough for another attempt before the deadline.
	attemptTimeoutFactor = 5
	// minAttemptTimeout is the shortest time after which an attempt counts as lost. A
	// wait in a queue or a trip between regions must not count as a loss.
	minAttemptTimeout = 80 * time.Millisecond
)

// repeatBudget returns the budget of repeats for the service of the call.
func (d *Dispatcher) repeatBudget(call *caller.Call) *retrier.DecayingBudget {
	d.mu.Lock()
	defer d.mu.Unlock()
	repeatBudget := d.repeatBudgets[call.Service]
	if repeatBudget == nil {
		repeatBudget = retrier.NewDecayingBudget(repeatRatio)
		d.repeatBudgets[call.Service] = repeatBudget
	}
	return repeatBudget
}

// repeatable reports whether the call may reach a second backend server at all.
func (a *attempts) repeatable() bool {
	return a.call.MaxTargets > 1 && a.call.Idempotent && a.call.Token == nil &&
		a.call.Body.Replayable() && !a.repeated
}

// attemptTimeout returns the time after which the attempt at target counts as lost, or
// 0 if the attempt may last until the deadline of the call. There is no timeout at a
// backend server that makes calls, because repeating a run repeats its calls too, or
// at a full target, because it only needs time. The caller must hold a.d.mu.
func (a *attempts) attemptTimeout(now time.Time, target *router.Target) time.Duration {
	if !a.repeatable() || !a.d.internalRoutes[a.call.Route] {
		return 0
	}
	load := target.RecentLoad(now)
	if !load.IsLeaf || load.Utilization() >= 1 {
		return 0
	}
	typicalLatency := a.d.router.TypicalLatency(a.call.Service, a.call.Route)
	if typicalLatency == 0 {
		return 0
	}
	return max(attemptTimeoutFactor*typicalLatency, minAttemptTimeout)
}

// shouldRepeat reports whether to send the call to a second backend server, after one
// that may have run it or that rejected it.
func (a *attempts) shouldRepeat(answer *caller.Answer) bool {
	if !a.repeatable() {
		return false
	}
	rejected := answer.Outcome == caller.NotRun && answer.Reason == caller.ReasonRefusedByBackend
	now := time.Now()
	a.d.mu.Lock()
	internal := a.d.internalRoutes[a.call.Route]
	leaf := a.targetLoad(now, answer).IsLeaf
	a.d.mu.Unlock()
	lost := internal && leaf && (answer.Outcome != caller.Answered || answer.Status >= 500)
	if !rejected && !lost {
		return false
	}
	return !a.d.overloaded(a.call.Service) && a.d.repeatBudget(a.call).Withdraw(now)
}

// errAttemptTimeout is the cause that cancels an attempt after its timeout.
var errAttemptTimeout = errors.New("no answer within the timeout of the attempt")

// sendWithTimeout makes one attempt and cancels it after its timeout, if it has one.
// An answer that has begun in time is read to its end. The returned context holds the
// reason why an attempt ended without an answer.
func (a *attempts) sendWithTimeout(ctx context.Context, target *router.Target, call *caller.Call) (context.Context, *caller.Answer, error) {
	if a.timeout == 0 {
		answer, err := a.d.send(ctx, target, a.member, call)
		return ctx, answer, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(a.timeout, func() {
		cancel(errAttemptTimeout)
	})
	answer, err := a.d.send(ctx, target, a.member, call)
	if !timer.Stop() && err == nil {
		answer.Close()
		err = errAttemptTimeout
	}
	return ctx, answer, err
}
