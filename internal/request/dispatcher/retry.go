package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/retrier"
)

// next reports whether another attempt follows, and the reason.
func (o *outboundCall) next(ctx context.Context, answer *caller.Answer) (bool, caller.Reason) {
	o.noAttempt(recorder.NoRetryForReason)
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		o.noAttempt(recorder.NoTimeLeft)
		return false, 0
	case ctx.Err() != nil:
		o.noAttempt(recorder.NoCaller)
		return false, 0
	case o.d.config.Switches.NoRetries:
		o.noAttempt(recorder.NoRetriesAllowed)
		return false, 0
	case o.attemptCount >= maxAttempts:
		o.noAttempt(recorder.NoMoreAttempts)
		return false, 0
	}
	if o.call.Token != nil {
		return o.nextWithToken(answer)
	}
	if answer.Outcome != caller.NotRun {
		o.mayHaveRun = true
	}
	if o.lacksTime() {
		o.noAttempt(recorder.NoTimeLeft)
		return false, 0
	}
	if !o.allowRetry(answer) {
		return false, 0
	}
	return o.spendRetry(answer.Reason)
}

// minTimeRatio is the least time left for another attempt, as a fraction of the typical latency of
// the route. With less, the attempt would only replace the last answer by the end of the time.
const minTimeRatio = 0.5

// lacksTime reports whether too little time is left for another attempt.
func (o *outboundCall) lacksTime() bool {
	o.d.mu.Lock()
	typicalLatency := o.d.router.TypicalLatency(o.call.Service, o.call.Route)
	o.d.mu.Unlock()
	return time.Until(o.call.Deadline) < time.Duration(minTimeRatio*float64(typicalLatency))
}

// allowRetry reports whether the call may be attempted again, given the last answer. If
// the new attempt would be a repeat, it also takes one repeat from the repeat budget.
func (o *outboundCall) allowRetry(answer *caller.Answer) bool {
	if o.isRepeatAfter(answer) {
		return o.spendRepeat(answer)
	}
	switch answer.Outcome {
	case caller.NotRun:
		if answer.Reason.IsOverload() {
			return !o.isOverloaded(answer)
		}
		return answer.Reason == caller.ReasonLeaving || answer.Reason == caller.ReasonUnreachable ||
			answer.Reason == caller.ReasonBackendUnreachable || answer.Reason == caller.ReasonIncarnation
	case caller.Answered:
		if answer.Status != 502 && answer.Status != 503 && answer.Status != 504 {
			return false
		}
		return answer.PathThreshold == 0 && !o.d.overloaded(o.call.Service)
	default:
		return answer.Reason != caller.ReasonBodyBroken && answer.Reason != caller.ReasonTimeout
	}
}

// spendRetry takes one retry from the allowance and the retry budget, and reports
// whether both permit it. If not, it returns the reason for the refusal. It never permits
// a retry if the beginning of the request body is no longer kept.
func (o *outboundCall) spendRetry(reason caller.Reason) (bool, caller.Reason) {
	if !o.call.Body.Replayable() {
		o.noAttempt(recorder.NoRepeatOfCall)
		return false, reason
	}
	if !o.pool.Spend() {
		o.noAttempt(recorder.NoAllowanceLeft)
		o.d.record(o.call, recorder.Refuse, caller.ReasonAllowance, caller.NotRun, "", 0)
		return false, caller.ReasonAllowance
	}
	// Calls with MaxTargets are exempt from the retry budget. Attempts after one that
	// reached a backend server have a budget of their own (see isRepeatAfter), and the
	// others put no load on a backend server.
	exempt := o.call.MaxTargets > 0
	if !exempt && !o.d.config.Switches.NoRetryBudget && !o.d.retryBudget(o.call.Service).Withdraw() {
		o.noAttempt(recorder.NoRetryInBudget)
		o.d.record(o.call, recorder.Refuse, caller.ReasonRetryBudget, caller.NotRun, "", 0)
		return false, caller.ReasonRetryBudget
	}
	return true, reason
}

// backOff waits before the next attempt, for a random time that grows with each
// attempt.
func (o *outboundCall) backOff(ctx context.Context) {
	delay := retrier.Delay(o.attemptCount, baseRetryDelay, maxRetryDelay)
	if o.resolveCount > 0 {
		delay = retrier.Delay(uint32(o.resolveCount), baseResolveDelay, maxResolveDelay)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
