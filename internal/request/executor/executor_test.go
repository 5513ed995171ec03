package executor

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/deduplicator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tracker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// backend waits and then answers each run, or fails it with err.
type backend struct {
	delay time.Duration
	err   error
}

// Do implements caller.Backend.
func (b *backend) Do(context.Context, *caller.Call) (*caller.Answer, error) {
	time.Sleep(b.delay)
	if b.err != nil {
		return nil, b.err
	}
	return &caller.Answer{
		Outcome: caller.Answered,
		Status:  200,
		Body:    io.NopCloser(strings.NewReader("x")),
	}, nil
}

func newExecutor(b *backend) *Executor {
	settings := &describer.Settings{}
	return New(Config{
		ID:       "n-1",
		Slots:    40,
		Backend:  b,
		Recorder: recorder.New(nil, "n-1", 16),
		Inbound:  tracker.NewTable(),
		Settings: func() *describer.Settings {
			return settings
		},
	})
}

func execute(e *Executor, id string, timeout time.Duration) *caller.Answer {
	answer := e.Execute(context.Background(), &caller.Call{
		CallID:     id,
		Route:      "r",
		Idempotent: true,
		Deadline:   time.Now().Add(timeout),
	})
	answer.Close()
	return answer
}

func TestLongRunsOfFrozenNodeDoNotCauseRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &backend{
			delay: 30 * time.Millisecond,
		}
		e := newExecutor(b)
		for i := range 20 {
			execute(e, fmt.Sprint("a", i), time.Second)
		}
		// Thirty runs are open while the node is frozen for 8 s. Their long run times must
		// not raise the minimum run time so far that later calls are refused as hopeless.
		b.delay = 8 * time.Second
		var runs sync.WaitGroup
		for i := range 30 {
			runs.Go(func() {
				execute(e, fmt.Sprint("b", i), 10*time.Second)
			})
		}
		runs.Wait()
		b.delay = 30 * time.Millisecond
		if got := execute(e, "c", 700*time.Millisecond); got.Outcome != caller.Answered {
			t.Errorf("call with 700 ms left after the freeze: got %v with reason %v, want answered", got.Outcome, got.Reason)
		}
	})
}

func TestFailedRunReportsReason(t *testing.T) {
	for _, test := range []struct {
		name string
		err  error
		want caller.Reason
	}{
		{"connection reset", errors.New("connection reset by peer"), caller.ReasonBackendFailed},
		{"request not sent", caller.MarkNotSent(errors.New("connection refused")), caller.ReasonBackendUnreachable},
		{"broken body", errors.Mark(errors.New("unexpected end"), caller.ErrRequestBody), caller.ReasonBodyBroken},
	} {
		e := newExecutor(&backend{err: test.err})
		answer := e.Execute(context.Background(), &caller.Call{
			CallID:     "c",
			Idempotent: true,
			Deadline:   time.Now().Add(time.Second),
		})
		if answer.Reason != test.want {
			t.Errorf("%s: got reason %v, want %v", test.name, answer.Reason, test.want)
		}
	}
}

// TestBrokenRequestBodiesDoNotLowerTheLimit runs calls whose callers break their request
// bodies off. The backend server is not overloaded by that, so its limit must stay.
func TestBrokenRequestBodiesDoNotLowerTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &backend{
			delay: 10 * time.Millisecond,
		}
		e := newExecutor(b)
		want := e.Load().Limit
		b.err = errors.Mark(errors.New("body ended early"), caller.ErrRequestBody)
		for i := range 50 {
			execute(e, fmt.Sprint("a", i), time.Second)
		}
		if got := e.Load().Limit; got != want {
			t.Errorf("got limit %d after broken request bodies, want %d", got, want)
		}
	})
}

// refusingBackend refuses every call.
type refusingBackend struct{}

// Do implements caller.Backend.
func (refusingBackend) Do(context.Context, *caller.Call) (*caller.Answer, error) {
	answer := caller.NewFailure(caller.NotRun, caller.ReasonRefusedByBackend)
	answer.ReachedBackend = true
	return answer, nil
}

// TestLostRefusalLooksLikeACallThatNeverArrived guards against a second arrival that no budget
// counts, because the answer to a resolve query does not say that the call had arrived.
func TestLostRefusalLooksLikeACallThatNeverArrived(t *testing.T) {
	e := newExecutor(&backend{})
	e.config.Backend = refusingBackend{}
	refused := func(token *encoder.Token, resolveOnly bool) *caller.Answer {
		return e.Execute(context.Background(), &caller.Call{
			CallID:      "c",
			Route:       "r",
			Token:       token,
			ResolveOnly: resolveOnly,
			Deadline:    time.Now().Add(time.Second),
		})
	}
	token := func() *encoder.Token {
		return deduplicator.NewToken(time.Now(), "n-1", 0, time.Minute)
	}
	sent := token()
	refused(sent, false)
	if got := refused(sent, true); got.Outcome != caller.NotRun || !got.ReachedBackend {
		t.Errorf("query after a refusal: got outcome %v, reached the backend server %t, want notRun, true", got.Outcome, got.ReachedBackend)
	}
	if got := refused(token(), true); got.Outcome != caller.NotRun || got.ReachedBackend {
		t.Errorf("query without a call: got outcome %v, reached the backend server %t, want notRun, false", got.Outcome, got.ReachedBackend)
	}
}
