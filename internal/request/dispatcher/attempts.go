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

// attempts holds the state of one outbound call over all its attempts.
type attempts struct {
	d       *Dispatcher
	call    *caller.Call
	service describer.Service
	parent  *tracker.Inbound
	// pool is the allowance that retries draw on.
	pool *retrier.Pool
	// tokenIssued reports whether this node issued the token of the call, so that no
	// caller holds a copy of it.
	tokenIssued   bool
	tried         []string
	attemptCount  uint32
	mayHaveRun    bool
	resolveCount  int
	pathThreshold caller.Priority
	// repeated reports whether the call was sent to a second backend server after an
	// attempt that reached one.
	repeated bool
	// member and loadAge belong to the target chosen last. timeout is the timeout of
	// the attempt at that target, or 0 for none.
	member  *encoder.Member
	loadAge time.Duration
	timeout time.Duration
}

// prepare refuses calls that must not be attempted, and takes the allowance of the
// others.
func (a *attempts) prepare() *caller.Answer {
	now := time.Now()
	call := a.call
	switch {
	case call.ParentID != "" && a.parent == nil:
		// The parent call has ended, so nobody would receive the result.
		return a.refuse(caller.NotRun, caller.ReasonCanceled)
	case call.Hop > MaxHops:
		return a.refuse(caller.NotRun, caller.ReasonTooDeep)
	case !now.Before(call.Deadline):
		return a.refuse(caller.NotRun, caller.ReasonDeadline)
	}
	if refusal := a.d.throttleRequest(now, call); refusal != nil {
		return refusal
	}
	threshold := a.d.forecast.Threshold(now, call.Service, call.Route)
	if call.Hop == 0 && call.Priority < threshold && !a.d.config.Switches.NoEarlyRefusal && call.Token == nil {
		a.pathThreshold = threshold
		answer := caller.NewFailure(caller.NotRun, caller.ReasonEarlyOverload)
		answer.RetryAfter = retryAfter
		a.d.record(call, recorder.Refuse, caller.ReasonEarlyOverload, caller.NotRun, "", threshold)
		return answer
	}
	return a.takeAllowance(now)
}

func (a *attempts) takeAllowance(now time.Time) *caller.Answer {
	resent := false
	if a.call.MaxTargets > 0 {
		a.pool = retrier.NewPool(maxUnreachedRetries)
		return nil
	}
	if a.parent != nil {
		a.pool = retrier.NewPool(a.parent.Pool.Grant())
	} else {
		a.pool, resent = a.d.poolCache.FindOrCreate(now, a.call.RequestID, a.service.RetryAllowance)
	}
	if a.d.config.Switches.NoRetryAllowance {
		a.pool = retrier.NewPool(maxAttempts)
		return nil
	}
	if (a.call.Charged || resent) && !a.pool.Spend() {
		return a.refuse(caller.NotRun, caller.ReasonAllowance)
	}
	return nil
}

// finish returns the unspent allowance to the parent call and records the result
// there, once the answer has been read.
func (a *attempts) finish(answer *caller.Answer) {
	release := func() {
		if a.parent == nil {
			return
		}
		a.parent.Pool.Return(a.pool.Remaining())
		failed := answer.Outcome != caller.Answered || answer.Status >= 500
		a.parent.RecordChildFinish(time.Now(), failed, a.pathThreshold)
	}
	if answer.Body == nil {
		release()
		return
	}
	answer.Body = &releasingBody{
		ReadCloser: answer.Body,
		release:    release,
	}
}

// releasingBody calls release once, when it is closed.
type releasingBody struct {
	io.ReadCloser
	once    sync.Once
	release func()
}

// Close implements io.Closer.
func (s *releasingBody) Close() error {
	err := s.ReadCloser.Close()
	s.once.Do(s.release)
	return err
}

func (a *attempts) refuse(outcome caller.Outcome, reason caller.Reason) *caller.Answer {
	a.d.record(a.call, recorder.Refuse, reason, outcome, "", 0)
	answer := caller.NewFailure(outcome, reason)
	answer.RetryAfter = retryAfter
	return answer
}

// run makes attempts until one of them ends the call. It bounds them by the deadline
// of the call.
func (a *attempts) run(ctx context.Context) *caller.Answer {
	ctx, cancel := context.WithDeadline(ctx, a.call.Deadline)
	answer := a.loop(ctx)
	if answer.Body == nil {
		cancel()
		return answer
	}
	answer.Body = &releasingBody{
		ReadCloser: answer.Body,
		release:    cancel,
	}
	return answer
}

func (a *attempts) loop(ctx context.Context) *caller.Answer {
	if refusal := a.ensureToken(); refusal != nil {
		return refusal
	}
	if a.call.MaxTargets > 0 {
		a.d.repeatBudget(a.call).RecordAttempt(time.Now())
	} else {
		a.d.retryBudget(a.call.Service).RecordAttempt()
	}
	for {
		answer := a.attempt(ctx)
		a.pathThreshold = max(a.pathThreshold, answer.PathThreshold, answer.Load.Threshold)
		if answer.Reason.IsOverload() {
			// A path threshold above 0 keeps callers further up from retrying the
			// failure that this refusal causes there.
			a.pathThreshold = max(a.pathThreshold, 1)
		}
		next, reason := a.next(ctx, answer)
		if !next {
			if a.mayHaveRun && answer.Outcome == caller.NotRun {
				// An earlier attempt may have run.
				answer.Outcome = caller.Unknown
			}
			return answer
		}
		a.d.record(a.call, recorder.Retry, reason, answer.Outcome, "", 0)
		answer.Close()
		a.backOff(ctx)
	}
}

// attempt makes one attempt, or asks the target of the token what became of the call.
func (a *attempts) attempt(ctx context.Context) *caller.Answer {
	target, reason := a.pickTarget()
	if target == nil {
		outcome := caller.NotRun
		if a.call.Token != nil && !a.hasExclusiveToken() || a.mayHaveRun {
			outcome = caller.Unknown
		}
		return a.refuse(outcome, reason)
	}
	call := *a.call
	call.Attempt = a.attemptCount
	call.Charged = a.call.Charged || a.mayHaveRun
	call.Zone = a.d.config.Zone
	call.ResolveOnly = a.resolveCount > 0
	call.Instance = a.member.GetBackend().GetId()
	call.LoadAge = a.loadAge
	call.Allowance = a.lendAllowance()
	action := recorder.Route
	if call.ResolveOnly {
		action = recorder.Resolve
	}
	id := a.member.GetId()
	a.tried = append(a.tried, id)
	a.d.record(&call, action, reason, caller.Answered, id, 0)
	ctx, answer, err := a.sendWithTimeout(ctx, target, &call)
	a.attemptCount++
	if err != nil {
		return a.answerForError(ctx, &call, id, err)
	}
	a.reclaimAllowance(answer)
	if answer.Reason == caller.ReasonIncarnation && a.hasExclusiveToken() {
		// The only copy of the token reached an incarnation that never runs the call.
		answer.Outcome = caller.NotRun
	}
	a.d.record(&call, recorder.Answer, answer.Reason, answer.Outcome, id, answer.PathThreshold)
	return answer
}

// lendAllowance takes all but one of the remaining allowance for the subtree of an
// attempt. The remaining one pays for a retry if the attempt is lost together with
// the allowance lent to it.
func (a *attempts) lendAllowance() uint32 {
	lent := uint32(0)
	for a.pool.Remaining() > 1 && a.pool.Spend() {
		lent++
	}
	return lent
}

// reclaimAllowance takes back the allowance that an attempt left unspent: at once
// after a refusal, and at the end of the body otherwise.
func (a *attempts) reclaimAllowance(answer *caller.Answer) {
	if answer.Body == nil {
		a.pool.Return(answer.UnspentAllowance())
		return
	}
	answer.Body = &releasingBody{
		ReadCloser: answer.Body,
		release: func() {
			a.pool.Return(answer.UnspentAllowance())
		},
	}
}

// answerForError returns the answer for an attempt that failed with a transport error.
func (a *attempts) answerForError(ctx context.Context, call *caller.Call, target string, err error) *caller.Answer {
	answer := caller.NewFailure(caller.Unknown, caller.ReasonConnectionLost)
	answer.Detail = err.Error()
	switch {
	case errors.Is(err, caller.ErrNotSent):
		answer.Reason = caller.ReasonUnreachable
		a.pool.Return(call.Allowance)
		if call.Token == nil || a.hasExclusiveToken() {
			answer.Outcome = caller.NotRun
		}
	case errors.Is(err, caller.ErrRequestBody):
		answer.Reason = caller.ReasonBodyBroken
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(context.Cause(ctx), errAttemptTimeout):
		answer.Reason = caller.ReasonTimeout
	case ctx.Err() != nil:
		answer.Reason = caller.ReasonCanceled
	}
	a.d.record(call, recorder.Answer, answer.Reason, answer.Outcome, target, 0)
	return answer
}

// pickTarget chooses the target of the next attempt, and stores its member, the age of
// its load report and the timeout of the attempt.
func (a *attempts) pickTarget() (*router.Target, caller.Reason) {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	target, reason := a.chooseTarget()
	if target != nil {
		a.member = target.Member
		now := time.Now()
		a.loadAge = target.LoadAge(now)
		a.timeout = a.attemptTimeout(now, target)
	}
	return target, reason
}

// chooseTarget returns the target of the next attempt. The caller must hold a.d.mu.
func (a *attempts) chooseTarget() (*router.Target, caller.Reason) {
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
	if target == nil && len(a.tried) > 0 && a.attemptCount < maxAttempts {
		constraints.Exclude = nil
		target, reason = a.d.router.Choose(now, a.call.Service, constraints)
	}
	if target != nil && !a.chargeCrossRegion(now, target) {
		constraints.CrossRegion = false
		target, reason = a.d.router.Choose(now, a.call.Service, constraints)
	}
	if target == nil && !a.d.router.KnowsService(a.call.Service) && !a.d.config.Settings().HasService(a.call.Service) {
		return nil, caller.ReasonUnknownService
	}
	return target, reason
}

// chargeCrossRegion reports whether the call may be sent to the target. For a target
// in another region, it charges the size of the body to the rate limit of the team.
func (a *attempts) chargeCrossRegion(now time.Time, target *router.Target) bool {
	if target.Member.GetRegion() == a.d.config.Region {
		return true
	}
	team := a.d.config.Settings().Team(a.call.Service.Team)
	limiter := a.d.crossRegionLimiters[team.Name]
	if limiter == nil {
		limiter = &byteLimiter{}
		a.d.crossRegionLimiters[team.Name] = limiter
	}
	return limiter.allow(now, team.CrossRegionBytesPerSecond, max(a.call.Body.Size(), 0))
}

// next reports whether another attempt follows, and the reason.
func (a *attempts) next(ctx context.Context, answer *caller.Answer) (bool, caller.Reason) {
	if ctx.Err() != nil || a.d.config.Switches.NoRetries || a.attemptCount >= maxAttempts {
		return false, 0
	}
	if a.call.Token != nil {
		return a.nextWithToken(answer)
	}
	if answer.Outcome != caller.NotRun {
		a.mayHaveRun = true
	}
	if !a.retryable(answer) {
		return false, 0
	}
	return a.spendRetry(answer.Reason)
}

// retryable reports whether another target may give a better answer.
func (a *attempts) retryable(answer *caller.Answer) bool {
	if !a.call.Body.Replayable() && a.attemptCount > 0 {
		return false
	}
	if a.call.MaxTargets > 0 && (answer.ReachedBackend || answer.Outcome != caller.NotRun) {
		if !a.shouldRepeat(answer) {
			return false
		}
		a.repeated = true
		return true
	}
	switch answer.Outcome {
	case caller.NotRun:
		if answer.Reason.IsOverload() {
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

// spendRetry takes one retry from the allowance and the retry budget, and reports
// whether both permit it. If not, the returned reason is the one of the refusal.
func (a *attempts) spendRetry(reason caller.Reason) (bool, caller.Reason) {
	if !a.pool.Spend() {
		a.d.record(a.call, recorder.Refuse, caller.ReasonAllowance, caller.NotRun, "", 0)
		return false, caller.ReasonAllowance
	}
	// Calls with MaxTargets do not use the retry budget. Their repeats have a budget
	// of their own, and their other retries follow attempts that reached no backend
	// server and so put no load on one.
	free := a.call.MaxTargets > 0
	if !free && !a.d.config.Switches.NoRetryBudget && !a.d.retryBudget(a.call.Service).Withdraw() {
		a.d.record(a.call, recorder.Refuse, caller.ReasonRetryBudget, caller.NotRun, "", 0)
		return false, caller.ReasonRetryBudget
	}
	return true, reason
}

// backOff waits before the next attempt, for a random time that grows with each
// attempt.
func (a *attempts) backOff(ctx context.Context) {
	delay := retrier.Delay(a.attemptCount, baseRetryDelay, maxRetryDelay)
	if a.resolveCount > 0 {
		delay = retrier.Delay(uint32(a.resolveCount), baseResolveDelay, maxResolveDelay)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
