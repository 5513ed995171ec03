package dispatcher

import (
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/deduplicator"
)

// ensureToken makes sure that a non-idempotent call carries a token. Unless
// Config.IssueTokens is set, the node issues one only for a call whose parent runs at
// most once. Any other caller must provide the token, because only the caller knows
// whether two calls are the same.
func (a *attempts) ensureToken() *caller.Answer {
	if a.call.Idempotent || a.call.Token != nil {
		return nil
	}
	token := a.d.NewToken(a.call.Service, "")
	if token == nil {
		return a.refuse(caller.NotRun, caller.ReasonNoTarget)
	}
	if !a.d.config.IssueTokens && (a.parent == nil || a.parent.Call.Token == nil) {
		answer := a.refuse(caller.NotRun, caller.ReasonTokenNeeded)
		answer.Successor = token
		return answer
	}
	a.call.Token = token
	a.tokenIssued = true
	return nil
}

// hasExclusiveToken reports whether this node issued the token of the call and no
// other attempt has carried it.
func (a *attempts) hasExclusiveToken() bool {
	return a.tokenIssued && a.resolveCount == 0
}

// nextWithToken reports whether another attempt follows for a call that carries a
// token, and the reason.
func (a *attempts) nextWithToken(answer *caller.Answer) (bool, caller.Reason) {
	if a.hasExclusiveToken() && answer.Outcome == caller.NotRun && answer.Successor == nil && !answer.Reason.IsOverload() {
		return a.replaceToken(answer)
	}
	if answer.ReachedBackend && answer.Outcome == caller.Unknown {
		// The target's node has already reported all it knows about the call.
		return false, 0
	}
	overloaded := answer.Reason.IsOverload() && a.d.overloaded(a.call.Service)
	step := deduplicator.NextStep(answer, !overloaded, a.resolveCount < maxResolves)
	switch {
	case step.Resolve:
		a.resolveCount++
		return true, answer.Reason
	case step.Successor != nil:
		paid, reason := a.spendRetry(answer.Reason)
		if paid {
			a.call.Token = step.Successor
			a.resolveCount = 0
		}
		return paid, reason
	default:
		return false, 0
	}
}

// replaceToken issues a new token, bound to another target, for a call that has not
// run. This is safe because this node issued the old token and only one attempt
// carried it.
func (a *attempts) replaceToken(answer *caller.Answer) (bool, caller.Reason) {
	paid, reason := a.spendRetry(answer.Reason)
	if !paid {
		return false, reason
	}
	token := a.d.NewToken(a.call.Service, a.call.Token.GetTarget())
	if token == nil {
		return false, reason
	}
	a.call.Token = token
	return true, reason
}
