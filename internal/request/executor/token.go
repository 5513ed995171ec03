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

// maxStoredBodyBytes bounds the answer body that is stored for a token.
const maxStoredBodyBytes = 64 << 10

// awaitResult waits for the result of another copy of the call that is already
// running.
func (e *Executor) awaitResult(ctx context.Context, call *caller.Call, entry *deduplicator.Entry) *caller.Answer {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	select {
	case <-entry.Done():
		return e.answerFromEntry(call, entry)
	case <-ctx.Done():
		return e.fail(call, caller.Unknown, caller.ReasonTimeout)
	}
}

// answerFromEntry returns the stored answer of a call that ended, or the refusal of
// a call that did not run.
func (e *Executor) answerFromEntry(call *caller.Call, entry *deduplicator.Entry) *caller.Answer {
	if entry.Verdict() == deduplicator.Refused {
		return e.refuseNotRun(call, entry, caller.ReasonTombstone)
	}
	e.mu.Lock()
	stored := entry.StoredAnswer()
	e.mu.Unlock()
	if stored.Answer.Outcome != caller.Answered {
		return e.fail(call, stored.Answer.Outcome, stored.Answer.Reason)
	}
	if !stored.BodyStored {
		return e.fail(call, caller.Ran, caller.ReasonBodyTooLarge)
	}
	e.record(call, recorder.Replay, caller.ReasonReplayed, caller.Answered, 0)
	answer := stored.Answer
	answer.Header = answer.Header.Clone()
	answer.Body = io.NopCloser(bytes.NewReader(stored.Body))
	answer.Received = e.dropAnswer(entry)
	return &answer
}

// refuseNotRun refuses a call that did not run. For a call with a token it also
// records the refusal, so that no later copy runs, and returns the successor token
// with the answer.
func (e *Executor) refuseNotRun(call *caller.Call, entry *deduplicator.Entry, reason caller.Reason) *caller.Answer {
	if entry != nil {
		e.recordRefusal(entry)
	}
	answer := e.fail(call, caller.NotRun, reason)
	if reason == caller.ReasonBulkhead {
		// The path threshold leads the nodes of the callers to refuse calls of the route
		// with the same or a lower priority.
		answer.PathThreshold = call.Priority + 1
	}
	if entry != nil {
		answer.Successor = entry.Successor()
		answer.ReachedBackend = entry.Arrived()
	}
	return answer
}

// markArrived records with the token that the call reached the backend server, which refused
// it, so that a later copy of the call learns it too.
func (e *Executor) markArrived(entry *deduplicator.Entry) {
	if entry == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens.MarkArrived(entry)
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

func (e *Executor) storeAnswer(entry *deduplicator.Entry, stored deduplicator.StoredAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens.Finish(entry, stored)
}

// storeAnswerWithBody reads a small body whole and stores the answer with it for the
// token. An answer with a larger body is streamed to the caller; the stored copy then
// lacks the body's content and can't be replayed. If the body can't be read, the
// failure is stored and returned.
func (e *Executor) storeAnswerWithBody(entry *deduplicator.Entry, answer *caller.Answer) *caller.Answer {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxStoredBodyBytes+1))
	if err == nil && len(body) > maxStoredBodyBytes {
		// The stored outcome must not refer to the answer, which holds the connection to the
		// backend server and the call.
		e.storeAnswer(entry, deduplicator.StoredAnswer{
			Answer: caller.Answer{
				Outcome: caller.Answered,
			},
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
		e.storeAnswer(entry, deduplicator.StoredAnswer{
			Answer: *broken,
		})
		return broken
	}
	stored := *answer
	stored.Body = nil
	stored.Unspent = nil
	stored.RunTime = 0
	stored.Header = answer.Header.Clone()
	e.storeAnswer(entry, deduplicator.StoredAnswer{
		Answer:     stored,
		Body:       body,
		BodyStored: true,
	})
	answer.Body = io.NopCloser(bytes.NewReader(body))
	answer.Received = e.dropAnswer(entry)
	return answer
}

// dropAnswer returns a function that drops the stored answer of a call.
func (e *Executor) dropAnswer(entry *deduplicator.Entry) func() {
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.tokens.DropAnswer(entry)
	}
}
