package executor

import (
	"bytes"
	"context"
	"io"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/deduplicator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// maxKeptAnswerBytes bounds the answer body that is kept for a token.
const maxKeptAnswerBytes = 64 << 10

// awaitResult waits for the result of another copy of the call that is already
// running.
func (e *Executor) awaitResult(ctx context.Context, call *caller.Call, entry *deduplicator.Entry) *caller.Answer {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	select {
	case <-entry.Done():
		return e.answerFromEntry(call, entry)
	case <-ctx.Done():
		return e.refuse(call, caller.Unknown, caller.ReasonTimeout)
	}
}

// answerFromEntry returns the recorded result of a call that ended.
func (e *Executor) answerFromEntry(call *caller.Call, entry *deduplicator.Entry) *caller.Answer {
	if entry.Verdict() == deduplicator.Refused {
		return e.refuseNotRun(call, entry, caller.ReasonTombstone)
	}
	outcome := entry.StoredAnswer()
	if outcome.Answer.Outcome != caller.Answered {
		return e.refuse(call, outcome.Answer.Outcome, outcome.Answer.Reason)
	}
	if !outcome.BodyStored {
		return e.refuse(call, caller.Ran, caller.ReasonBodyTooLarge)
	}
	e.record(call, recorder.Replay, caller.ReasonReplayed, caller.Answered, 0)
	answer := outcome.Answer
	answer.Header = answer.Header.Clone()
	answer.Body = io.NopCloser(bytes.NewReader(outcome.Body))
	return &answer
}

// refuseNotRun refuses a call that did not run. For a call with a token it also
// records the refusal, so that no later copy runs, and names the successor token.
func (e *Executor) refuseNotRun(call *caller.Call, entry *deduplicator.Entry, reason caller.Reason) *caller.Answer {
	if entry != nil {
		e.recordRefusal(entry)
	}
	answer := e.refuse(call, caller.NotRun, reason)
	if reason == caller.ReasonBulkhead {
		// Callers of the route should refuse calls of the same or lower priority.
		answer.PathThreshold = call.Priority + 1
	}
	if entry != nil {
		answer.Successor = entry.Successor()
	}
	return answer
}

func (e *Executor) recordRefusal(entry *deduplicator.Entry) {
	e.mu.Lock()
	missing := entry.Successor() == nil
	e.mu.Unlock()
	var successor *encoder.Token
	if missing && e.config.NewSuccessor != nil {
		successor = e.config.NewSuccessor()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens.Refuse(entry, successor)
}

func (e *Executor) recordOutcome(entry *deduplicator.Entry, outcome deduplicator.StoredAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens.Finish(entry, outcome)
}

// rememberAnswer keeps a small answer for the token after reading its whole body. A
// larger answer is recorded without its body and streamed to the caller.
func (e *Executor) rememberAnswer(entry *deduplicator.Entry, answer *caller.Answer) *caller.Answer {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxKeptAnswerBytes+1))
	if err == nil && len(body) > maxKeptAnswerBytes {
		e.recordOutcome(entry, deduplicator.StoredAnswer{
			Answer: *answer,
		})
		answer.Body = &prefixedBody{
			Reader: io.MultiReader(bytes.NewReader(body), answer.Body),
			closer: answer.Body,
		}
		return answer
	}
	answer.Body.Close()
	if err != nil {
		broken := caller.NewFailure(caller.Ran, caller.ReasonBodyBroken)
		broken.Detail = err.Error()
		broken.ReachedBackend = true
		e.recordOutcome(entry, deduplicator.StoredAnswer{
			Answer: *broken,
		})
		return broken
	}
	stored := *answer
	stored.Body = nil
	stored.Unspent = nil
	stored.Header = answer.Header.Clone()
	e.recordOutcome(entry, deduplicator.StoredAnswer{
		Answer:     stored,
		Body:       body,
		BodyStored: true,
	})
	answer.Body = io.NopCloser(bytes.NewReader(body))
	return answer
}
