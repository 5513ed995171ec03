package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/retrier"
	"github.com/laburnumshelf/laburnumshelf/internal/request/router"
)

// Parameters of repeats: second attempts at calls that reached a backend server.
const (
	// repeatRatio is the share of a service's first attempts that may be repeated.
	// The users' platform allows 0.2 of them in 10 s; with what is stored (see
	// retrier.Share) this stays below.
	repeatRatio = 0.14
	// attemptTimeoutFactor is the usual times after which a call counts as lost:
	// longer than the work of the users' backend servers varies, and short enough
	// for another attempt before the deadline.
	attemptTimeoutFactor = 5
	// leastAttemptTimeout is the least time after which a call counts as lost: a
	// queue's wait and a trip between regions are no loss.
	leastAttemptTimeout = 80 * time.Millisecond
)

// share returns what may be repeated at a service.
func (d *Dispatcher) share(call *caller.Call) *retrier.Share {
	d.mu.Lock()
	defer d.mu.Unlock()
	share := d.shares[call.Service]
	if share == nil {
		share = retrier.NewShare(repeatRatio)
		d.shares[call.Service] = share
	}
	return share
}

// repeatable reports whether the call may reach a second backend server at all.
func (a *attempts) repeatable() bool {
	return a.call.MaxTargets > 1 && a.call.Idempotent && a.call.Token == nil &&
		a.call.Body.Replayable() && !a.repeated
}

// attemptTimeout returns the time after which the attempt at target counts as
// lost, or 0 if it has until the deadline of the call: where a run makes calls,
// repeating it repeats them too, and a full target only needs time. a.d.mu is held.
func (a *attempts) attemptTimeout(now time.Time, target *router.Target) time.Duration {
	if !a.repeatable() || !a.d.classes[a.call.Route] {
		return 0
	}
	load := target.RecentLoad(now)
	if !load.Leaf || load.Utilization() >= 1 {
		return 0
	}
	usual := a.d.router.Usual(a.call.Service, a.call.Route)
	if usual == 0 {
		return 0
	}
	return max(attemptTimeoutFactor*usual, leastAttemptTimeout)
}

// repeats reports whether the call is to be sent to a second backend server after
// one that may have run it, or that turned it away.
func (a *attempts) repeats(answer *caller.Answer) bool {
	if !a.repeatable() {
		return false
	}
	rejected := answer.Outcome == caller.NotRun && answer.Reason == caller.ReasonRefusedByBackend
	now := time.Now()
	a.d.mu.Lock()
	inner := a.d.classes[a.call.Route]
	leaf := a.load(now, answer).Leaf
	a.d.mu.Unlock()
	lost := inner && leaf && (answer.Outcome != caller.Answered || answer.Status >= 500)
	if !rejected && !lost {
		return false
	}
	return !a.d.overloaded(a.call.Service) && a.d.share(a.call).Withdraw(now)
}

// errAttemptTimeout ends an attempt that took longer than its timeout.
var errAttemptTimeout = errors.New("no answer within the timeout of the attempt")

// sendWithin makes one attempt and ends it after its timeout. An answer
// that has begun is read to its end. The context returned tells why an attempt
// without an answer ended.
func (a *attempts) sendWithin(ctx context.Context, target *router.Target, call *caller.Call) (context.Context, *caller.Answer, error) {
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
