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
	// patienceFactor is the usual times after which a call counts as lost: one of a
	// hundred answers takes that long.
	patienceFactor = 5
	// leastPatience is the least time after which a call counts as lost: a queue's
	// wait and a trip between regions are no loss.
	leastPatience = 80 * time.Millisecond
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
		a.call.Body.Replayable() && a.arrived == 0
}

// patience returns the time after which the attempt at target counts as lost, or 0
// if the call has to wait until its deadline: where a run makes calls, repeating it
// repeats them too, and a full target only needs time. a.d.mu is held.
func (a *attempts) patience(now time.Time, target *router.Target) time.Duration {
	if !a.repeatable() || !a.d.classes[a.call.Route] || target.LoadAge(now) > maxLoadAge {
		return 0
	}
	load := target.Load()
	if !load.Leaf || load.Utilization() >= 1 {
		return 0
	}
	usual := a.d.router.Usual(a.call.Service, a.call.Route)
	if usual == 0 {
		return 0
	}
	return max(patienceFactor*usual, leastPatience)
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

// errLost ends an attempt that took longer than its patience.
var errLost = errors.New("no answer within the patience of the attempt")

// sendPatiently makes one attempt and ends it when its patience is over. An answer
// that has begun is read to its end. The context returned tells why an attempt
// without an answer ended.
func (a *attempts) sendPatiently(ctx context.Context, target *router.Target, call *caller.Call) (context.Context, *caller.Answer, error) {
	if a.wait == 0 {
		answer, err := a.d.send(ctx, target, a.member, call)
		return ctx, answer, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(a.wait, func() {
		cancel(errLost)
	})
	answer, err := a.d.send(ctx, target, a.member, call)
	if err == nil && !timer.Stop() {
		answer.Close()
		err = errLost
	}
	return ctx, answer, err
}
