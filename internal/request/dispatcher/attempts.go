package dispatcher

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/estimator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/rationer"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/retrier"
	"github.com/laburnumshelf/laburnumshelf/internal/request/router"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tracker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// outboundCall holds the state of one outbound call across all its attempts.
type outboundCall struct {
	d        *Dispatcher
	call     *caller.Call
	settings describer.Service
	parent   *tracker.Inbound
	// pool is the allowance that retries draw on.
	pool *retrier.Pool
	// tokenIssued reports whether this node issued the first token of the call. Then
	// no caller holds a copy of that token or of its successors during the call.
	tokenIssued  bool
	tried        []string
	attemptCount uint32
	mayHaveRun   bool
	// reachedBackend reports whether an attempt has reached a backend server, or may have.
	reachedBackend bool
	resolveCount   int
	// pathThreshold is the highest admission threshold seen at the call's targets and
	// on its path. It becomes part of the parent call's path threshold.
	pathThreshold caller.Priority
	// repeated reports whether the repeat budget has granted the call a repeat.
	repeated bool
	// member and loadAge belong to the target chosen last. delay is the time after which
	// another attempt is made beside the one at that target, or 0 for none.
	member  *encoder.Member
	loadAge time.Duration
	// expected is what is expected of the target chosen last.
	expected caller.Expectation
	delay    time.Duration
	// rateLimit is the rate limit of the target chosen last, or 0.
	rateLimit float64
	// ticket is that of the request's admission where the rationer decides.
	ticket rationer.Ticket
	// end describes the last attempt, in case no other follows.
	end recorder.End
}

// prepare refuses calls that must not be attempted, and sets the retry pool of the
// others.
func (o *outboundCall) prepare() *caller.Answer {
	now := time.Now()
	call := o.call
	switch {
	case call.ParentID != "" && o.parent == nil:
		// The parent call has ended, so nobody would receive the result.
		return o.refuse(caller.NotRun, caller.ReasonCanceled)
	case call.Hop > MaxHops:
		return o.refuse(caller.NotRun, caller.ReasonTooDeep)
	case !now.Before(call.Deadline):
		return o.refuse(caller.NotRun, caller.ReasonDeadline)
	}
	if refusal := o.throttleRequest(now); refusal != nil {
		return refusal
	}
	threshold := o.d.forecast.Threshold(now, call.Service, call.Route)
	// Only calls at the entry of the call graph that carry no token are refused early.
	if call.Hop == 0 && call.Priority < threshold && !o.d.config.Switches.NoEarlyRefusal && call.Token == nil {
		o.pathThreshold = threshold
		answer := caller.NewFailure(caller.NotRun, caller.ReasonEarlyOverload)
		answer.RetryAfter = defaultRetryAfter
		o.d.record(call, recorder.Refuse, caller.ReasonEarlyOverload, caller.NotRun, "", threshold)
		return answer
	}
	return o.initPool(now)
}

// finish returns what is left of the call's pool to that of the parent call, and
// records the result there: immediately if the answer has no body, otherwise when the
// body is closed.
func (o *outboundCall) finish(answer *caller.Answer) {
	release := func() {
		if o.parent == nil {
			return
		}
		o.parent.Pool.Return(o.pool.Remaining())
		failed := answer.Outcome != caller.Answered || answer.Status >= 500
		o.parent.RecordChildFinish(time.Now(), failed, o.pathThreshold)
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
func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}

// receivedBody calls received when it is closed after it was read to its end.
type receivedBody struct {
	io.ReadCloser
	received func()
	complete bool
}

// Read implements io.Reader.
func (b *receivedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *receivedBody) Close() error {
	if b.complete {
		b.complete = false
		b.received()
	}
	return b.ReadCloser.Close()
}

func (o *outboundCall) refuse(outcome caller.Outcome, reason caller.Reason) *caller.Answer {
	o.d.record(o.call, recorder.Refuse, reason, outcome, "", 0)
	answer := caller.NewFailure(outcome, reason)
	answer.RetryAfter = defaultRetryAfter
	return answer
}

// makeAttempts makes attempts until one of them ends the call, at the latest at the
// deadline of the call.
func (o *outboundCall) makeAttempts(ctx context.Context) *caller.Answer {
	ctx, cancel := context.WithDeadline(ctx, o.call.Deadline)
	answer := o.attemptUntilDone(ctx)
	if answer.Body == nil {
		cancel()
		return answer
	}
	if o.tokenIssued && answer.Received != nil {
		answer.Body = &receivedBody{
			ReadCloser: answer.Body,
			received:   answer.Received,
		}
	}
	answer.Body = &releasingBody{
		ReadCloser: answer.Body,
		release:    cancel,
	}
	return answer
}

// attemptUntilDone makes sure that the call carries a token if it needs one, and makes
// attempts until no other attempt follows.
func (o *outboundCall) attemptUntilDone(ctx context.Context) *caller.Answer {
	if refusal := o.ensureToken(); refusal != nil {
		return refusal
	}
	if o.call.MaxTargets > 0 {
		o.recordFirstAttempt(time.Now())
	} else {
		o.d.retryBudget(o.call.Service).RecordAttempt()
	}
	return o.repeatUntilDone(ctx)
}

// repeatUntilDone makes attempts until no other attempt follows.
func (o *outboundCall) repeatUntilDone(ctx context.Context) *caller.Answer {
	for {
		answer := o.attempt(ctx)
		o.reachedBackend = o.reachedBackend || answer.ReachedBackend || answer.Outcome != caller.NotRun
		o.pathThreshold = max(o.pathThreshold, answer.PathThreshold, answer.Load.Threshold)
		if answer.Reason.IsOverload() {
			// A path threshold above 0 tells upstream callers not to retry a failure
			// caused by this refusal.
			o.pathThreshold = max(o.pathThreshold, 1)
		}
		next, reason := o.next(ctx, answer)
		if !next {
			if o.mayHaveRun && answer.Outcome == caller.NotRun {
				// The last attempt did not run, but an earlier one may have.
				answer.Outcome = caller.Unknown
			}
			return answer
		}
		o.d.record(o.call, recorder.Retry, reason, answer.Outcome, "", 0)
		answer.Close()
		o.backOff(ctx)
	}
}

// attempt makes one attempt and those beside it, or sends a resolve query, which asks the
// token's target for the outcome of the call.
func (o *outboundCall) attempt(ctx context.Context) *caller.Answer {
	target, reason := o.chooseTarget()
	if target == nil {
		o.noAttempt(recorder.NoOtherTarget)
		outcome := caller.NotRun
		if o.call.Token != nil && !o.hasExclusiveToken() || o.mayHaveRun {
			outcome = caller.Unknown
		}
		return o.refuse(outcome, reason)
	}
	call := o.prepareAttempt(reason)
	if o.delay > 0 {
		return o.attemptHedged(ctx, target, call, o.delay)
	}
	started := time.Now()
	answer, err := o.d.send(ctx, target, o.member, call, nil)
	return o.finishAttempt(ctx, call, started, answer, err)
}

// prepareAttempt returns the call to send to the target chosen last, for the given reason, and
// records it.
func (o *outboundCall) prepareAttempt(reason caller.Reason) *caller.Call {
	call := *o.call
	call.Attempt = o.attemptCount
	call.Charged = o.call.Charged || o.mayHaveRun || o.repeated
	call.Zone = o.d.config.Zone
	if o.resolveCount > 0 {
		call.ResolveOnly = true
		call.Body = nil
	}
	call.Instance = o.member.GetBackend().GetId()
	call.LoadAge = o.loadAge
	call.Expected = o.expected
	call.RateLimit = o.rateLimit
	o.shortenWait(&call)
	call.Allowance = o.lendAllowance()
	action := recorder.Route
	if call.ResolveOnly {
		action = recorder.Resolve
	}
	id := o.member.GetId()
	o.tried = append(o.tried, id)
	// The outcome is not known yet. Answered is the zero value.
	o.d.record(&call, action, reason, caller.Answered, id, 0)
	return &call
}

// finishAttempt records the end of an attempt at the target chosen last, and returns its answer.
// ctx is the context of the attempt.
func (o *outboundCall) finishAttempt(ctx context.Context, call *caller.Call, started time.Time, answer *caller.Answer, err error) *caller.Answer {
	o.attemptCount++
	o.end.AttemptTime = time.Since(started)
	id := o.member.GetId()
	if err != nil {
		return o.answerForError(ctx, call, id, err)
	}
	o.end.Cause, o.end.Detail = recorder.EndedByTarget, answer.Detail
	o.reclaimAllowance(answer)
	if (answer.Reason == caller.ReasonIncarnation || answer.Reason == caller.ReasonTokenTableFull) && o.hasExclusiveToken() {
		// The only copy of the token reached an incarnation that did not run the call.
		answer.Outcome = caller.NotRun
	}
	o.d.record(call, recorder.Answer, answer.Reason, answer.Outcome, id, answer.PathThreshold)
	return answer
}

// answerForError returns the answer for an attempt that failed with a transport error.
func (o *outboundCall) answerForError(ctx context.Context, call *caller.Call, target string, err error) *caller.Answer {
	answer := caller.NewFailure(caller.Unknown, caller.ReasonConnectionLost)
	answer.Detail = err.Error()
	o.end.Cause, o.end.Detail = endOf(ctx, err), answer.Detail
	if !errors.Is(err, caller.ErrNotSent) {
		o.end.Unanswered++
	}
	switch {
	case errors.Is(err, caller.ErrNotSent):
		answer.Reason = caller.ReasonUnreachable
		o.pool.Return(call.Allowance)
		if call.Token == nil || o.hasExclusiveToken() {
			answer.Outcome = caller.NotRun
		}
	case errors.Is(err, caller.ErrRequestBody):
		answer.Reason = caller.ReasonBodyBroken
	case errors.Is(context.Cause(ctx), errSuperseded):
		answer.Reason = caller.ReasonSuperseded
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		answer.Reason = caller.ReasonTimeout
	case ctx.Err() != nil:
		answer.Reason = caller.ReasonCanceled
	}
	o.d.record(call, recorder.Answer, answer.Reason, answer.Outcome, target, 0)
	return answer
}

// chooseTarget chooses the target of the next attempt. It stores the target's member, the
// age of its load report and the delay of another attempt.
func (o *outboundCall) chooseTarget() (*router.Target, caller.Reason) {
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	target, reason := o.chooseTargetLocked()
	if target != nil {
		o.member = target.Member
		now := time.Now()
		o.loadAge = target.LoadAge(now)
		o.expected = o.d.router.Expect(now, target, estimator.KeyOf(o.call))
		o.rateLimit = o.d.router.RateLimit(now, target)
		o.delay = o.hedgeDelay(now, target)
	}
	return target, reason
}

// chooseTargetLocked returns the target of the next attempt. The caller must hold o.d.mu.
func (o *outboundCall) chooseTargetLocked() (*router.Target, caller.Reason) {
	if o.call.Token != nil {
		target := o.d.router.Target(o.call.Token.GetTarget())
		if target == nil {
			return nil, caller.ReasonUnreachable
		}
		if o.hasExclusiveToken() && o.d.router.IsLeaving(target) {
			return nil, caller.ReasonLeaving
		}
		return target, caller.ReasonTokenTarget
	}
	now := time.Now()
	constraints := router.Constraints{
		Exclude:     o.tried,
		CrossRegion: o.settings.CrossRegion != describer.CrossNever,
		Cost:        estimator.KeyOf(o.call),
		Cautious:    !o.call.Idempotent,
	}
	target, reason := o.chooseForBody(now, constraints)
	if target == nil && len(o.tried) > 0 && o.attemptCount < maxAttempts {
		constraints.Exclude = nil
		target, reason = o.d.router.Choose(now, o.call.Service, constraints)
	}
	if target != nil && !o.allowCrossRegion(now, target) {
		constraints.CrossRegion = false
		target, reason = o.d.router.Choose(now, o.call.Service, constraints)
	}
	if target == nil && !o.d.router.KnowsService(o.call.Service) && !o.d.config.Settings().HasService(o.call.Service) {
		return nil, caller.ReasonUnknownService
	}
	return target, reason
}

// chooseForBody returns a target within the constraints. A large body stays in its own
// region as long as that has a target. The caller must hold o.d.mu.
func (o *outboundCall) chooseForBody(now time.Time, constraints router.Constraints) (*router.Target, caller.Reason) {
	if o.call.Body.Size() < 0 {
		nearby := constraints
		nearby.CrossRegion = false
		if target, reason := o.d.router.Choose(now, o.call.Service, nearby); target != nil {
			return target, reason
		}
	}
	return o.d.router.Choose(now, o.call.Service, constraints)
}

// allowCrossRegion reports whether the call may be sent to the target. For a target
// in another region, it charges the size of the body to the rate limit of the team.
// The caller must hold o.d.mu.
func (o *outboundCall) allowCrossRegion(now time.Time, target *router.Target) bool {
	if target.Member.GetRegion() == o.d.config.Region {
		return true
	}
	team := o.d.config.Settings().Team(o.call.Service.Team)
	limiter := o.d.crossRegionLimiters[team.Name]
	if limiter == nil {
		limiter = &byteLimiter{}
		o.d.crossRegionLimiters[team.Name] = limiter
	}
	return limiter.allow(now, team.CrossRegionBytesPerSecond, max(o.call.Body.Size(), 0))
}
