package dispatcher

import (
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/deduplicator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/estimator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
)

// ensureToken makes sure that a non-idempotent call carries a token. It issues one if
// Config.IssueTokens is set or if the parent call carries a token and so runs at most
// once. Otherwise it refuses the call with ReasonTokenNeeded and returns a new token in
// Successor, with which the caller can send the call again. The caller must provide the
// token then, because only the caller knows whether two calls are the same.
func (o *outboundCall) ensureToken() *caller.Answer {
	if o.call.Idempotent || o.call.Token != nil {
		return nil
	}
	token := o.d.newToken(o.call.Service, "", estimator.KeyOf(o.call))
	if token == nil {
		return o.refuse(caller.NotRun, caller.ReasonNoTarget)
	}
	if !o.d.config.IssueTokens && (o.parent == nil || o.parent.Call.Token == nil) {
		answer := o.refuse(caller.NotRun, caller.ReasonTokenNeeded)
		answer.Successor = token
		return answer
	}
	o.call.Token = token
	o.tokenIssued = true
	return nil
}

// hasExclusiveToken reports whether no caller holds a copy of the call's token and at
// most one attempt has carried it.
func (o *outboundCall) hasExclusiveToken() bool {
	return o.tokenIssued && o.resolveCount == 0
}

// nextWithToken reports whether another attempt follows for a call that carries a
// token, and the reason.
func (o *outboundCall) nextWithToken(answer *caller.Answer) (bool, caller.Reason) {
	if o.hasExclusiveToken() && answer.Outcome == caller.NotRun && answer.Successor == nil && !answer.Reason.IsOverload() {
		if o.isRepeatAfter(answer) && !o.spendRepeat(answer) {
			return false, 0
		}
		return o.replaceToken(answer)
	}
	if answer.ReachedBackend && answer.Outcome == caller.Unknown {
		// The target's node has already reported all it knows about the call.
		o.noAttempt(recorder.NoOutcomeOfTarget)
		return false, 0
	}
	overloaded := answer.Reason.IsOverload() && o.isOverloaded(answer)
	step := deduplicator.NextStep(answer, !overloaded, o.resolveCount < maxResolves)
	switch {
	case step.Resolve:
		o.resolveCount++
		return true, answer.Reason
	case step.Successor != nil:
		if o.isRepeatAfter(answer) && !o.spendRepeat(answer) {
			return false, 0
		}
		permitted, reason := o.spendRetry(answer.Reason)
		if permitted {
			o.call.Token = step.Successor
			o.resolveCount = 0
		}
		return permitted, reason
	default:
		return false, 0
	}
}

// replaceToken issues a new token, bound to another target, for a call that has not
// run. This is safe because this node issued the old token and only one attempt
// carried it.
func (o *outboundCall) replaceToken(answer *caller.Answer) (bool, caller.Reason) {
	permitted, reason := o.spendRetry(answer.Reason)
	if !permitted {
		return false, reason
	}
	token := o.d.newToken(o.call.Service, o.call.Token.GetTarget(), estimator.KeyOf(o.call))
	if token == nil {
		return false, reason
	}
	o.call.Token = token
	return true, reason
}
