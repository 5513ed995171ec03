package deduplicator

import (
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Step is what the holder of a token does after an attempt.
type Step struct {
	// Finish ends the call with the attempt's answer.
	Finish bool
	// Resolve asks the same incarnation what became of the call.
	Resolve bool
	// Follow makes the next attempt with another token.
	Follow *encoder.Token
}

// NextStep decides after one attempt or one question about a bound call. Only a
// refusal by the bound incarnation frees the call to follow the successor that
// the refusal names; silence and every other answer never do.
func NextStep(answer *caller.Answer, mayFollow, mayResolve bool) Step {
	switch {
	case answer.Outcome == caller.NotRun && mayFollow && answer.Successor != nil:
		return Step{
			Follow: answer.Successor,
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

// resolvable reports whether asking again can bring more than was answered.
func resolvable(reason caller.Reason) bool {
	switch reason {
	case caller.ReasonTokenExpired, caller.ReasonIncarnation, caller.ReasonTokenTableFull:
		return false
	default:
		return true
	}
}
