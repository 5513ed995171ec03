package dispatcher

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/retrier"
	"github.com/laburnumshelf/laburnumshelf/internal/request/router"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tracker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// attempts is the state of one outbound call over all its attempts.
type attempts struct {
	d       *Dispatcher
	call    *caller.Call
	service describer.Service
	parent  *tracker.Inbound
	// grant is the pool that the attempts draw on.
	grant *retrier.Pool
	// minted tells that this node alone holds the call's token.
	minted  bool
	tried   []string
	made    uint32
	mayRun  bool
	resolve int
	path    caller.Priority
	// repeated tells that an attempt that reached a backend server was followed by
	// another.
	repeated bool
	// member and loadAge are those of the target chosen last; timeout is that of the
	// attempt at it, or 0.
	member  *encoder.Member
	loadAge time.Duration
	timeout time.Duration
}

// prepare refuses what must not be attempted and takes the allowance.
func (a *attempts) prepare() *caller.Answer {
	now := time.Now()
	call := a.call
	switch {
	case call.ParentID != "" && a.parent == nil:
		// The call it is made for has ended; its result could reach nobody.
		return a.refuse(caller.NotRun, caller.ReasonCanceled)
	case call.Hop > MaxHops:
		return a.refuse(caller.NotRun, caller.ReasonTooDeep)
	case !now.Before(call.Deadline):
		return a.refuse(caller.NotRun, caller.ReasonDeadline)
	}
	if refusal := a.d.refuseEarly(now, call); refusal != nil {
		return refusal
	}
	threshold := a.d.forecast.Threshold(now, call.Service, call.Route)
	if call.Hop == 0 && call.Priority < threshold && !a.d.config.Switches.NoEarlyRefusal && call.Token == nil {
		a.path = threshold
		answer := caller.Refuse(caller.NotRun, caller.ReasonEarlyOverload)
		answer.RetryAfter = retryAfter
		a.d.record(call, recorder.Refuse, caller.ReasonEarlyOverload, caller.NotRun, "", threshold)
		return answer
	}
	return a.takeAllowance(now)
}

func (a *attempts) takeAllowance(now time.Time) *caller.Answer {
	resent := false
	if a.call.MaxTargets > 0 {
		a.grant = retrier.NewPool(nodeRetries)
		return nil
	}
	if a.parent != nil {
		a.grant = retrier.NewPool(a.parent.Pool.Take())
	} else {
		a.grant, resent = a.d.ledger.Pool(now, a.call.RequestID, a.service.RetryAllowance)
	}
	if a.d.config.Switches.NoRetryAllowance {
		a.grant = retrier.NewPool(maxAttempts)
		return nil
	}
	if (a.call.Charged || resent) && !a.grant.Spend() {
		return a.refuse(caller.NotRun, caller.ReasonAllowance)
	}
	return nil
}

// finish settles the accounts of the call once its answer is read.
func (a *attempts) finish(answer *caller.Answer) {
	settle := func() {
		if a.parent == nil {
			return
		}
		a.parent.Pool.Return(a.grant.Left())
		failed := answer.Outcome != caller.Answered || answer.Status >= 500
		a.parent.ChildEnded(time.Now(), failed, a.path)
	}
	if answer.Body == nil {
		settle()
		return
	}
	answer.Body = &settledBody{
		ReadCloser: answer.Body,
		settle:     settle,
	}
}

// settledBody settles a call when its body is closed.
type settledBody struct {
	io.ReadCloser
	once   sync.Once
	settle func()
}

// Close implements io.Closer.
func (s *settledBody) Close() error {
	err := s.ReadCloser.Close()
	s.once.Do(s.settle)
	return err
}

func (a *attempts) refuse(outcome caller.Outcome, reason caller.Reason) *caller.Answer {
	a.d.record(a.call, recorder.Refuse, reason, outcome, "", 0)
	answer := caller.Refuse(outcome, reason)
	answer.RetryAfter = retryAfter
	return answer
}

// run makes attempts until one ends the call.
func (a *attempts) run(ctx context.Context) *caller.Answer {
	ctx, cancel := context.WithDeadline(ctx, a.call.Deadline)
	answer := a.loop(ctx)
	if answer.Body == nil {
		cancel()
		return answer
	}
	answer.Body = &settledBody{
		ReadCloser: answer.Body,
		settle:     cancel,
	}
	return answer
}

func (a *attempts) loop(ctx context.Context) *caller.Answer {
	if refusal := a.bind(); refusal != nil {
		return refusal
	}
	if a.call.MaxTargets > 0 {
		a.d.share(a.call).Attempted(time.Now())
	} else {
		a.d.budget(a.call.Service).Attempted()
	}
	for {
		answer := a.attempt(ctx)
		a.path = max(a.path, answer.PathThreshold, answer.Load.Threshold)
		if answer.Reason.Overload() {
			// The failure it causes above is not worth a retry there.
			a.path = max(a.path, 1)
		}
		next, reason := a.next(ctx, answer)
		if !next {
			if a.mayRun && answer.Outcome == caller.NotRun {
				// An earlier attempt may have run.
				answer.Outcome = caller.Unknown
			}
			return answer
		}
		a.d.record(a.call, recorder.Retry, reason, answer.Outcome, "", 0)
		answer.Close()
		a.pause(ctx)
	}
}

// attempt makes one attempt, or one question about a bound call.
func (a *attempts) attempt(ctx context.Context) *caller.Answer {
	target, reason := a.pick()
	if target == nil {
		outcome := caller.NotRun
		if a.call.Token != nil && !a.exclusive() || a.mayRun {
			outcome = caller.Unknown
		}
		return a.refuse(outcome, reason)
	}
	call := *a.call
	call.Attempt = a.made
	call.Charged = a.call.Charged || a.mayRun
	call.Zone = a.d.config.Zone
	call.ResolveOnly = a.resolve > 0
	call.Instance = a.member.GetBackend().GetId()
	call.LoadAge = a.loadAge
	call.Allowance = a.lend()
	action := recorder.Route
	if call.ResolveOnly {
		action = recorder.Resolve
	}
	id := a.member.GetId()
	a.tried = append(a.tried, id)
	a.d.record(&call, action, reason, caller.Answered, id, 0)
	ctx, answer, err := a.sendWithin(ctx, target, &call)
	a.made++
	if err != nil {
		return a.failed(ctx, &call, id, err)
	}
	a.collect(answer)
	if answer.Reason == caller.ReasonIncarnation && a.exclusive() {
		// The one copy of the token reached an incarnation that never runs it.
		answer.Outcome = caller.NotRun
	}
	a.d.record(&call, recorder.Answer, answer.Reason, answer.Outcome, id, answer.PathThreshold)
	return answer
}

// lend takes all but one of the remaining allowance for the subtree of an
// attempt; the one kept pays for a retry when the attempt is lost with its part.
func (a *attempts) lend() uint32 {
	lent := uint32(0)
	for a.grant.Left() > 1 && a.grant.Spend() {
		lent++
	}
	return lent
}

// collect takes back what an attempt leaves unspent, at once for a refusal and
// at the end of the body otherwise.
func (a *attempts) collect(answer *caller.Answer) {
	if answer.Body == nil {
		a.grant.Return(answer.UnspentAllowance())
		return
	}
	answer.Body = &settledBody{
		ReadCloser: answer.Body,
		settle: func() {
			a.grant.Return(answer.UnspentAllowance())
		},
	}
}

// failed turns a transport error into an answer.
func (a *attempts) failed(ctx context.Context, call *caller.Call, target string, err error) *caller.Answer {
	answer := caller.Refuse(caller.Unknown, caller.ReasonConnectionLost)
	answer.Detail = err.Error()
	switch {
	case errors.Is(err, caller.ErrNotSent):
		answer.Reason = caller.ReasonUnreachable
		a.grant.Return(call.Allowance)
		if call.Token == nil || a.exclusive() {
			answer.Outcome = caller.NotRun
		}
	case errors.Is(err, caller.ErrBadBody):
		answer.Reason = caller.ReasonBodyBroken
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(context.Cause(ctx), errAttemptTimeout):
		answer.Reason = caller.ReasonTimeout
	case ctx.Err() != nil:
		answer.Reason = caller.ReasonCanceled
	}
	a.d.record(call, recorder.Answer, answer.Reason, answer.Outcome, target, 0)
	return answer
}

// pick chooses the target of the next attempt and keeps what is known of it now.
func (a *attempts) pick() (*router.Target, caller.Reason) {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	target, reason := a.choose()
	if target != nil {
		a.member = target.Member
		now := time.Now()
		a.loadAge = target.LoadAge(now)
		a.timeout = a.attemptTimeout(now, target)
	}
	return target, reason
}

// choose returns the target of the next attempt; a.d.mu is held.
func (a *attempts) choose() (*router.Target, caller.Reason) {
	if a.call.Token != nil {
		target := a.d.router.Target(a.call.Token.GetTarget())
		if target == nil {
			return nil, caller.ReasonUnreachable
		}
		return target, caller.ReasonTokenTarget
	}
	now := time.Now()
	constraints := router.Constraints{
		Exclude:     a.tried,
		CrossRegion: a.service.CrossRegion != describer.CrossNever,
	}
	if a.call.Body.Size() < 0 {
		// Large bodies stay in their region while it has a target.
		constraints.CrossRegion = false
	}
	target, reason := a.d.router.Choose(now, a.call.Service, constraints)
	if target == nil && len(a.tried) > 0 && a.made < maxAttempts {
		constraints.Exclude = nil
		target, reason = a.d.router.Choose(now, a.call.Service, constraints)
	}
	if target != nil && !a.mayCross(now, target) {
		constraints.CrossRegion = false
		target, reason = a.d.router.Choose(now, a.call.Service, constraints)
	}
	if target == nil && !a.d.router.Known(a.call.Service) && !a.d.config.Settings().Has(a.call.Service) {
		return nil, caller.ReasonUnknownService
	}
	return target, reason
}

// mayCross charges a call that leaves the region to the team's volume.
func (a *attempts) mayCross(now time.Time, target *router.Target) bool {
	if target.Member.GetRegion() == a.d.config.Region {
		return true
	}
	team := a.d.config.Settings().Team(a.call.Service.Team)
	limiter := a.d.limits[team.Name]
	if limiter == nil {
		limiter = &byteLimiter{}
		a.d.limits[team.Name] = limiter
	}
	return limiter.allow(now, team.CrossRegionBytesPerSecond, max(a.call.Body.Size(), 0))
}

// next reports whether another attempt follows, and why.
func (a *attempts) next(ctx context.Context, answer *caller.Answer) (bool, caller.Reason) {
	if ctx.Err() != nil || a.d.config.Switches.NoRetries || a.made >= maxAttempts {
		return false, 0
	}
	if a.call.Token != nil {
		return a.nextBound(answer)
	}
	if answer.Outcome != caller.NotRun {
		a.mayRun = true
	}
	if !a.retryable(answer) {
		return false, 0
	}
	return a.pay(answer.Reason)
}

// retryable reports whether another target may do better.
func (a *attempts) retryable(answer *caller.Answer) bool {
	if !a.call.Body.Replayable() && a.made > 0 {
		return false
	}
	if a.call.MaxTargets > 0 && (answer.Arrived || answer.Outcome != caller.NotRun) {
		if !a.repeats(answer) {
			return false
		}
		a.repeated = true
		return true
	}
	switch answer.Outcome {
	case caller.NotRun:
		if answer.Reason.Overload() {
			return !a.d.overloaded(a.call.Service)
		}
		return answer.Reason == caller.ReasonLeaving || answer.Reason == caller.ReasonUnreachable ||
			answer.Reason == caller.ReasonBackendUnreachable || answer.Reason == caller.ReasonIncarnation
	case caller.Answered:
		if answer.Status != 502 && answer.Status != 503 && answer.Status != 504 {
			return false
		}
		return answer.PathThreshold == 0 && !a.d.overloaded(a.call.Service)
	default:
		return answer.Reason != caller.ReasonBodyBroken && answer.Reason != caller.ReasonTimeout
	}
}

// pay takes one attempt from the allowance and the budget.
func (a *attempts) pay(reason caller.Reason) (bool, caller.Reason) {
	if !a.grant.Spend() {
		a.d.record(a.call, recorder.Refuse, caller.ReasonAllowance, caller.NotRun, "", 0)
		return false, caller.ReasonAllowance
	}
	// A backend server that was not reached is not charged with a retry.
	free := a.call.MaxTargets > 0
	if !free && !a.d.config.Switches.NoRetryBudget && !a.d.budget(a.call.Service).Withdraw() {
		a.d.record(a.call, recorder.Refuse, caller.ReasonRetryBudget, caller.NotRun, "", 0)
		return false, caller.ReasonRetryBudget
	}
	return true, reason
}

// pause waits before the next attempt.
func (a *attempts) pause(ctx context.Context) {
	delay := retrier.Delay(a.made, retryBase, retryLimit)
	if a.resolve > 0 {
		delay = retrier.Delay(uint32(a.resolve), resolveBase, resolveLimit)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
