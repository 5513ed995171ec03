package dispatcher

import (
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/deduplicator"
)

// bind makes sure that a non-idempotent call carries a token. The node mints
// one only for a call whose parent runs at most once; any other caller has to
// bring a token, because only the caller knows that two calls are the same.
func (a *attempts) bind() *caller.Answer {
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
	a.minted = true
	return nil
}

// exclusive reports whether the call's token was minted for this node and no
// other attempt carried it.
func (a *attempts) exclusive() bool {
	return a.minted && a.resolve == 0
}

// nextBound decides after an attempt of a call that carries a token.
func (a *attempts) nextBound(answer *caller.Answer) (bool, caller.Reason) {
	if a.exclusive() && answer.Outcome == caller.NotRun && answer.Successor == nil && !answer.Reason.Overload() {
		return a.rebind(answer)
	}
	if answer.Arrived && answer.Outcome == caller.Unknown {
		// The target's node has told all that it knows.
		return false, 0
	}
	overloaded := answer.Reason.Overload() && a.d.overloaded(a.call.Service)
	step := deduplicator.NextStep(answer, !overloaded, a.resolve < maxResolves)
	switch {
	case step.Resolve:
		a.resolve++
		return true, answer.Reason
	case step.Follow != nil:
		paid, reason := a.pay(answer.Reason)
		if paid {
			a.call.Token = step.Follow
			a.resolve = 0
		}
		return paid, reason
	default:
		return false, 0
	}
}

// rebind gives a call that never left this node a new token.
func (a *attempts) rebind(answer *caller.Answer) (bool, caller.Reason) {
	paid, reason := a.pay(answer.Reason)
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
