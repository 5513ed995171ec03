package deduplicator

import (
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Step is the next action of the holder of a token. Exactly one field is set.
type Step struct {
	// Finish means that the attempt's answer is the answer to the call.
	Finish bool
	// Resolve means that the holder asks the same incarnation for the outcome of
	// the call.
	Resolve bool
	// Successor is the token for the next attempt.
	Successor *encoder.Token
}

// NextStep returns the next action after the answer to an attempt or to a resolve
// query. The holder may follow a successor token only after the bound incarnation
// refused the call and returned that successor. A missing answer, or any other
// answer, does not allow it, because the call may have run.
func NextStep(answer *caller.Answer, mayFollow, mayResolve bool) Step {
	switch {
	case answer.Outcome == caller.NotRun && mayFollow && answer.Successor != nil:
		return Step{
			Successor: answer.Successor,
		}
	case answer.Outcome == caller.Unknown && mayResolve && resolvable(answer.Reason):
		return Step{
			Resolve: true,
		}
	default:
		return Step{
			Finish: true,
		}
	}
}

// resolvable reports whether another resolve query could return a different
// answer.
func resolvable(reason caller.Reason) bool {
	switch reason {
	case caller.ReasonTokenExpired, caller.ReasonIncarnation, caller.ReasonTokenTableFull:
		return false
	default:
		return true
	}
}
