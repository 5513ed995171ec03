package recorder

import (
	"expvar"
	"sync/atomic"
	"time"
)

// EndCause says what ended the last attempt of a call.
type EndCause uint8

// The causes.
const (
	// EndedByTarget means that the target's node answered.
	EndedByTarget EndCause = iota
	// EndedByDeadline means that the deadline of the call had come.
	EndedByDeadline
	// EndedByConnection means that the connection to the target's node failed.
	EndedByConnection
	// EndedByCaller means that the caller closed its connection.
	EndedByCaller
	// EndedByStop means that the node closed its sessions because it stopped.
	EndedByStop
	endCauseCount
)

var endCauseNames = [endCauseCount]string{"target", "deadline", "connection", "caller", "stop"}

// String returns the name used in logs, counters and JSON.
func (c EndCause) String() string {
	if c < endCauseCount {
		return endCauseNames[c]
	}
	return "unrecognized"
}

// NoAttempt says why no other attempt followed the last one of a call.
type NoAttempt string

// The values of NoAttempt.
const (
	NoTimeLeft        NoAttempt = "noTimeLeft"
	NoCaller          NoAttempt = "noCaller"
	NoRetriesAllowed  NoAttempt = "retriesOff"
	NoMoreAttempts    NoAttempt = "maxAttempts"
	NoRetryForReason  NoAttempt = "reason"        // the last answer is final
	NoRepeatOfCall    NoAttempt = "notRepeatable" // the call may not reach a second backend server, or has
	NoRepeatOfRuns    NoAttempt = "notLeaf"       // the backend server may make calls, or clients make the call
	NoRepeatInBudget  NoAttempt = "repeatBudget"
	NoRoomAtService   NoAttempt = "overloaded"
	NoAllowanceLeft   NoAttempt = "allowance"
	NoRetryInBudget   NoAttempt = "retryBudget"
	NoOtherTarget     NoAttempt = "noTarget"
	NoOutcomeOfTarget NoAttempt = "token" // the target of the token has said all it knows
)

// End describes how a call ended that got an answer of the node's own although it may have run.
type End struct {
	Cause EndCause
	// AttemptTime is how long the last attempt lasted, and TimeLeft the time to the deadline of
	// the call after it.
	AttemptTime time.Duration
	TimeLeft    time.Duration
	// Unanswered is the number of attempts that ended without a word of the target's node, so
	// that a backend server may still be at work.
	Unanswered int
	// NoAttempt says why no other attempt followed, and NoHedge why none was made beside the last
	// one although that was overdue.
	NoAttempt NoAttempt
	NoHedge   NoAttempt
	// Detail is the error that ended the last attempt, or empty.
	Detail string
}

// endCounters counts ends by cause, and among them those with an unanswered attempt.
type endCounters struct {
	all        [endCauseCount]atomic.Int64
	unanswered [endCauseCount]atomic.Int64
}

func (c *endCounters) add(end *End) {
	c.all[end.Cause].Add(1)
	if end.Unanswered > 0 {
		c.unanswered[end.Cause].Add(1)
	}
}

// Ends returns the numbers of ends that are not 0, keyed by the cause. The key of those with an
// unanswered attempt ends in ".unanswered".
func (r *Recorder) Ends() map[string]int64 {
	counts := make(map[string]int64)
	for cause := range endCauseCount {
		if n := r.ends.all[cause].Load(); n > 0 {
			counts[cause.String()] = n
		}
		if n := r.ends.unanswered[cause].Load(); n > 0 {
			counts[cause.String()+".unanswered"] = n
		}
	}
	return counts
}

// EndsVar returns the numbers of ends as an expvar variable.
func (r *Recorder) EndsVar() expvar.Var {
	return expvar.Func(func() any {
		return r.Ends()
	})
}
