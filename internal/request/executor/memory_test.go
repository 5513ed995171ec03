package executor

import (
	"bytes"
	"context"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/deduplicator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tracker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// sizedBackend answers each run with a new body of size bytes.
type sizedBackend struct {
	size int
}

// Do implements caller.Backend.
func (b *sizedBackend) Do(context.Context, *caller.Call) (*caller.Answer, error) {
	return &caller.Answer{
		Outcome: caller.Answered,
		Status:  200,
		Body:    io.NopCloser(bytes.NewReader(make([]byte, b.size))),
	}, nil
}

func newSizedExecutor(size int) *Executor {
	settings := &describer.Settings{}
	return New(Config{
		ID:       "n-1",
		Slots:    40,
		Backend:  &sizedBackend{size: size},
		Recorder: recorder.New(nil, "n-1", 16),
		Inbound:  tracker.NewTable(),
		Settings: func() *describer.Settings {
			return settings
		},
	})
}

// runOnce runs a call with a new token, reads its answer and returns both.
func runOnce(t *testing.T, e *Executor) (*caller.Call, *caller.Answer) {
	t.Helper()
	call := &caller.Call{
		CallID:   "c",
		Route:    "r",
		Deadline: time.Now().Add(time.Second),
		Token:    deduplicator.NewToken(time.Now(), "n-1", 0, time.Minute),
		Header:   map[string][]string{"X-Large": {string(make([]byte, 8<<10))}},
	}
	answer := e.Execute(context.Background(), call)
	if answer.Outcome != caller.Answered {
		t.Fatalf("got outcome %v with reason %v, want answered", answer.Outcome, answer.Reason)
	}
	io.Copy(io.Discard, answer.Body)
	answer.Close()
	return call, answer
}

// TestFinishedCallsDoNotFillTheMemory guards against a node that exceeds its memory because the
// answers to calls that run at most once, or references to their calls, are kept until their tokens
// expire.
func TestFinishedCallsDoNotFillTheMemory(t *testing.T) {
	const calls, limit = 2000, 24 << 20
	for name, size := range map[string]int{"stored bodies": 36_000, "bodies too large to store": 80_000} {
		e := newSizedExecutor(size)
		before := liveHeapBytes()
		for range calls {
			runOnce(t, e)
		}
		if got := liveHeapBytes() - before; got > limit {
			t.Errorf("%s: %d finished calls hold %d bytes, want at most %d", name, calls, got, limit)
		}
		runtime.KeepAlive(e)
	}
}

func liveHeapBytes() int64 {
	runtime.GC()
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestReceivedAnswerIsDroppedButNotItsToken guards against a second run of a call whose stored
// answer was dropped because its holder has received it.
func TestReceivedAnswerIsDroppedButNotItsToken(t *testing.T) {
	e := newSizedExecutor(36_000)
	call, answer := runOnce(t, e)
	if replayed := e.Execute(context.Background(), call); replayed.Reason != caller.ReasonNone || replayed.Status != 200 {
		t.Errorf("before the confirmation: got status %d with reason %v, want the stored answer", replayed.Status, replayed.Reason)
	}
	answer.Received()
	if got := e.tokens.AnswerBytes(); got != 0 {
		t.Errorf("after the confirmation: got %d bytes of stored answers, want 0", got)
	}
	if got := e.Execute(context.Background(), call); got.Outcome != caller.Ran {
		t.Errorf("another copy after the confirmation: got outcome %v, want ran", got.Outcome)
	}
}
