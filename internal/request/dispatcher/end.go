package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
)

// endOf returns what ended an attempt with an error. ctx is the context of the attempt.
func endOf(ctx context.Context, err error) recorder.EndCause {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return recorder.EndedByDeadline
	case ctx.Err() != nil:
		return recorder.EndedByCaller
	case errors.Is(err, caller.ErrStopping):
		return recorder.EndedByStop
	default:
		return recorder.EndedByConnection
	}
}

// recordEnd records the end of a call that may have run and gets an answer of the node's own.
func (o *outboundCall) recordEnd(answer *caller.Answer) {
	if o.attemptCount == 0 || answer.Outcome == caller.Answered || answer.Outcome == caller.NotRun {
		return
	}
	decision := o.d.decision(o.call, recorder.Finish, answer.Reason, answer.Outcome)
	if o.member != nil {
		decision.Target = o.member.GetId()
	}
	decision.Attempt = o.attemptCount - 1
	end := o.end
	end.TimeLeft = time.Until(o.call.Deadline)
	decision.End = &end
	o.d.config.Recorder.Record(decision)
}

// noAttempt notes why no other attempt follows.
func (o *outboundCall) noAttempt(why recorder.NoAttempt) {
	o.end.NoAttempt = why
}
