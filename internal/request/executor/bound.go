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

// keptAnswerBytes bounds the answer body remembered for a token.
const keptAnswerBytes = 64 << 10

// await waits for the end of the same call that another copy started.
func (e *Executor) await(ctx context.Context, call *caller.Call, entry *deduplicator.Entry) *caller.Answer {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	select {
	case <-entry.Done():
		return e.remembered(call, entry)
	case <-ctx.Done():
		return e.refuse(call, caller.Unknown, caller.ReasonTimeout)
	}
}

// remembered answers from the entry of a call that ended.
func (e *Executor) remembered(call *caller.Call, entry *deduplicator.Entry) *caller.Answer {
	if entry.Verdict() == deduplicator.Refused {
		return e.refuseBound(call, entry, caller.ReasonTombstone)
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

// refuseBound refuses the call for good and names the successor token.
func (e *Executor) refuseBound(call *caller.Call, entry *deduplicator.Entry, reason caller.Reason) *caller.Answer {
	if entry != nil {
		e.settleRefusal(entry)
	}
	answer := e.refuse(call, caller.NotRun, reason)
	if reason == caller.ReasonBulkhead {
		// The route's callers should refuse what is no more important.
		answer.PathThreshold = call.Priority + 1
	}
	if entry != nil {
		answer.Successor = entry.Successor()
	}
	return answer
}

func (e *Executor) settleRefusal(entry *deduplicator.Entry) {
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

func (e *Executor) finish(entry *deduplicator.Entry, outcome deduplicator.StoredAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens.Finish(entry, outcome)
}

// keep reads a small answer whole and remembers it for the token; a larger one
// is remembered without its body and passed on as it comes.
func (e *Executor) keep(entry *deduplicator.Entry, answer *caller.Answer) *caller.Answer {
	body, err := io.ReadAll(io.LimitReader(answer.Body, keptAnswerBytes+1))
	if err == nil && len(body) > keptAnswerBytes {
		e.finish(entry, deduplicator.StoredAnswer{
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
		broken := caller.NewRefusal(caller.Ran, caller.ReasonBodyBroken)
		broken.Detail = err.Error()
		broken.ReachedBackend = true
		e.finish(entry, deduplicator.StoredAnswer{
			Answer: *broken,
		})
		return broken
	}
	stored := *answer
	stored.Body = nil
	stored.Unspent = nil
	stored.Header = answer.Header.Clone()
	e.finish(entry, deduplicator.StoredAnswer{
		Answer:     stored,
		Body:       body,
		BodyStored: true,
	})
	answer.Body = io.NopCloser(bytes.NewReader(body))
	return answer
}
