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

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tracker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

const (
	// A backend server may get at most limitFactor times what its limit allows in any
	// limitWindow, and limitSlack calls more, from limitGrace after it first named the limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitGrace  = 3 * time.Second
)

// limitedBackend answers each call after delay, with the notice in force.
type limitedBackend struct {
	delay time.Duration

	mu       sync.Mutex
	notice   caller.Notice
	arrivals []time.Time
	urgent   int
}

// Do implements caller.Backend.
func (b *limitedBackend) Do(_ context.Context, call *caller.Call) (*caller.Answer, error) {
	b.mu.Lock()
	b.arrivals = append(b.arrivals, time.Now())
	if call.Priority.Criticality() == describer.Critical {
		b.urgent++
	}
	b.mu.Unlock()
	time.Sleep(b.delay)
	b.mu.Lock()
	defer b.mu.Unlock()
	return &caller.Answer{
		Outcome: caller.Answered,
		Status:  200,
		Body:    io.NopCloser(strings.NewReader("x")),
		Notice:  b.notice,
	}, nil
}

func (b *limitedBackend) setLimit(perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notice = caller.Notice{
		RateLimit:    perSecond,
		HasRateLimit: perSecond > 0,
	}
}

// count returns the arrivals from a time on.
func (b *limitedBackend) count(from time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, arrival := range b.arrivals {
		if !arrival.Before(from) {
			count++
		}
	}
	return count
}

// checkLimit reports the first window from a time on with more arrivals than the limit allows.
func (b *limitedBackend) checkLimit(t *testing.T, from time.Time, perSecond float64) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	allowed := int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack
	for i, first := range b.arrivals {
		if first.Before(from) {
			continue
		}
		count := 0
		for _, arrival := range b.arrivals[i:] {
			if arrival.Sub(first) < limitWindow {
				count++
			}
		}
		if count > allowed {
			t.Errorf("limit %v: got %d calls in %s, want at most %d", perSecond, count, limitWindow, allowed)
			return
		}
	}
}

func newLimitedExecutor(b *limitedBackend) *Executor {
	settings := &describer.Settings{}
	e := New(Config{
		ID:        "n-1",
		Slots:     80,
		Registers: true,
		Backend:   b,
		Recorder:  recorder.New(nil, "n-1", 16),
		Inbound:   tracker.NewTable(),
		Settings: func() *describer.Settings {
			return settings
		},
	})
	e.SetBackend("i-1", time.Time{}, 80)
	return e
}

// offer sends calls to the executor for a duration, a fifth of them critical, and returns a
// function that waits for the last one. Each call tells the rate limit that its node knows.
func offer(e *Executor, perSecond int, duration time.Duration, known float64) {
	var calls sync.WaitGroup
	for i := range int(duration.Seconds() * float64(perSecond)) {
		priority := caller.Priority(int(describer.Sheddable) << 8)
		if i%5 == 0 {
			priority = caller.Priority(int(describer.Critical) << 8)
		}
		calls.Go(func() {
			e.Execute(context.Background(), &caller.Call{
				RequestID:    fmt.Sprint("r", i),
				CallID:       fmt.Sprint("c", i, time.Now().UnixNano()),
				Route:        "r",
				Priority:     priority,
				Instance:     "i-1",
				Idempotent:   true,
				Deadline:     time.Now().Add(5 * time.Second),
				MaxQueueWait: 600 * time.Millisecond,
				RateLimit:    known,
			}).Close()
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	calls.Wait()
}

// TestBackendServerGetsMoreThanItsNamedLimit offers three times the limit, which falls, rises and
// ends.
func TestBackendServerGetsMoreThanItsNamedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &limitedBackend{
			delay: 100 * time.Millisecond,
		}
		e := newLimitedExecutor(b)
		offer(e, 60, 2*time.Second, 0)
		for _, limit := range []float64{20, 5, 0.2, 30} {
			b.setLimit(limit)
			named := time.Now()
			offer(e, 60, 12*time.Second, 0)
			b.checkLimit(t, named.Add(limitGrace), limit)
			used := float64(b.count(named)) / 12
			if used < 0.8*limit {
				t.Errorf("limit %v: got %.1f calls a second, want at least 0.8 of the limit", limit, used)
			}
		}
		b.setLimit(0)
		offer(e, 60, time.Second, 0)
		ended := time.Now()
		offer(e, 60, 2*time.Second, 0)
		if got := b.count(ended); got < 118 {
			t.Errorf("after the limit has ended: got %d of 120 calls, want all", got)
		}
	})
}

// TestUrgentCallsComeFirstUnderALimit offers 60 calls a second, 12 of them critical, at a limit of
// 20.
func TestUrgentCallsComeFirstUnderALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &limitedBackend{
			delay: 100 * time.Millisecond,
		}
		e := newLimitedExecutor(b)
		b.setLimit(20)
		offer(e, 60, 10*time.Second, 0)
		if got := b.urgent; got < 119 {
			t.Errorf("got %d of 120 critical calls, want all", got)
		}
	})
}

// TestRestartedNodeForgetsTheNamedLimit starts a node beside a backend server that named a limit
// before. The callers' nodes still know it.
func TestRestartedNodeForgetsTheNamedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &limitedBackend{
			delay: time.Second,
		}
		b.setLimit(4)
		offer(newLimitedExecutor(b), 100, 4*time.Second, 4)
		b.checkLimit(t, b.arrivals[0], 4)
	})
}

// TestAnswerWithoutLimitOvertakesOneWithIt lets a single answer lack the limit.
func TestAnswerWithoutLimitOvertakesOneWithIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLimitedExecutor(&limitedBackend{})
		call := &caller.Call{
			Instance: "i-1",
		}
		named := caller.Notice{
			RateLimit:    3,
			HasRateLimit: true,
		}
		for _, step := range []struct {
			wait   time.Duration
			notice caller.Notice
			want   float64
		}{
			{0, named, 3},
			{10 * time.Millisecond, caller.Notice{}, 3},
			{10 * time.Millisecond, caller.Notice{RateLimitInvalid: true}, 3},
			{2 * rateLimitHold, caller.Notice{RateLimitInvalid: true}, 3},
			{10 * time.Millisecond, caller.Notice{}, 0},
			{0, named, 3},
		} {
			time.Sleep(step.wait)
			e.observeNotice(call, 1, step.notice)
			if got := e.Load().RateLimit; got != step.want {
				t.Errorf("after %+v: got limit %v, want %v", step.notice, got, step.want)
			}
		}
		e.SetBackend("i-2", time.Time{}, 80)
		if got := e.Load().RateLimit; got != 0 {
			t.Errorf("next instance: got limit %v, want none", got)
		}
		e.observeNotice(call, 1, named)
		if got := e.Load().RateLimit; got != 0 {
			t.Errorf("late answer of the instance before: got limit %v, want none", got)
		}
	})
}

// TestLeavingBackendServerGetsNewCalls lets a backend server with a rate limit say that it leaves
// while calls wait for their turn.
func TestLeavingBackendServerGetsNewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &limitedBackend{
			delay: 100 * time.Millisecond,
		}
		e := newLimitedExecutor(b)
		b.setLimit(4)
		offer(e, 10, time.Second, 0)
		b.mu.Lock()
		b.notice.Leaving = true
		b.mu.Unlock()
		offer(e, 50, time.Second, 0)
		left := time.Now()
		offer(e, 50, time.Second, 0)
		if got := b.count(left); got != 0 {
			t.Errorf("got %d calls after the backend server left, want none", got)
		}
		answer := execute(e, "late", time.Second)
		if answer.Outcome != caller.NotRun || answer.Reason != caller.ReasonLeaving || !answer.Load.BackendLeaving {
			t.Errorf("got %v with reason %v, leaving %t, want notRun with reason leaving", answer.Outcome, answer.Reason, answer.Load.BackendLeaving)
		}
		e.SetBackend("i-2", time.Time{}, 80)
		if e.Load().BackendLeaving {
			t.Error("next instance: got leaving, want not")
		}
	})
}

// TestNoticeIsDroppedAfterTheDeregistration guards against callers' nodes that never learn that a
// backend server leaves, because it deregistered before its answer said so.
func TestNoticeIsDroppedAfterTheDeregistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &limitedBackend{
			delay:  time.Second,
			notice: caller.Notice{Leaving: true},
		}
		e := newLimitedExecutor(b)
		time.AfterFunc(500*time.Millisecond, func() {
			e.SetBackend("", time.Time{}, 0)
		})
		if answer := execute(e, "before", 3*time.Second); !answer.Load.BackendLeaving {
			t.Error("answer after the deregistration: got a load report of a server that does not leave")
		}
	})
}

// TestNextStartIsTakenForTheOneThatLeft guards against a late answer of one start of a backend
// server that ends the next start under the same ID.
func TestNextStartIsTakenForTheOneThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &limitedBackend{
			delay:  time.Second,
			notice: caller.Notice{Leaving: true, RateLimit: 5, HasRateLimit: true},
		}
		e := newLimitedExecutor(b)
		time.AfterFunc(500*time.Millisecond, func() {
			e.SetBackend("i-1", time.Unix(2, 0), 80)
		})
		execute(e, "before", 3*time.Second)
		if load := e.Load(); load.BackendLeaving || load.RateLimit != 0 {
			t.Errorf("next start: got leaving %t, rate limit %v, want neither", load.BackendLeaving, load.RateLimit)
		}
		b.mu.Lock()
		b.notice = caller.Notice{}
		b.mu.Unlock()
		if answer := execute(e, "after", 3*time.Second); answer.Outcome != caller.Answered {
			t.Errorf("next start: got %v with reason %v, want an answer", answer.Outcome, answer.Reason)
		}
	})
}

// TestNewNodeKnowsNoRateLimit guards against a node that reports that there is no rate limit although
// the backend server has not answered it yet.
func TestNewNodeKnowsNoRateLimit(t *testing.T) {
	e := newExecutor(&backend{})
	if e.Load().RateLimitKnown {
		t.Error("before an answer: got a known rate limit, want an unknown one")
	}
	execute(e, "c", time.Second)
	if !e.Load().RateLimitKnown {
		t.Error("after an answer without a limit: got an unknown rate limit, want a known one")
	}
	e.SetBackend("i-2", time.Unix(9, 0), 10)
	if e.Load().RateLimitKnown {
		t.Error("next start: got a known rate limit, want an unknown one")
	}
}

// waitingBackend waits like a backend without a free connection, and then sends the call if it may.
type waitingBackend struct {
	wait chan struct{}
	sent int
}

// Do implements caller.Backend.
func (w *waitingBackend) Do(_ context.Context, call *caller.Call) (*caller.Answer, error) {
	<-w.wait
	if err := call.BeforeSend(); err != nil {
		return nil, caller.MarkNotSent(err)
	}
	w.sent++
	return &caller.Answer{Status: 200, Body: io.NopCloser(strings.NewReader("x"))}, nil
}

// TestServerThatLeftGetsAnAdmittedCall guards against calls that got a slot, wait for a connection and
// reach the backend server long after it has left, or its next start.
func TestServerThatLeftGetsAnAdmittedCall(t *testing.T) {
	for name, leave := range map[string]func(*Executor){
		"left":       func(e *Executor) { e.SetBackend("", time.Unix(9, 0), 10) },
		"next start": func(e *Executor) { e.SetBackend("i-1", time.Unix(10, 0), 10) },
	} {
		b := &waitingBackend{wait: make(chan struct{})}
		e := newSizedExecutor(0)
		e.config.Backend, e.config.Registers = b, true
		e.SetBackend("i-1", time.Unix(9, 0), 10)
		done := make(chan *caller.Answer, 1)
		go func() {
			done <- e.Execute(context.Background(), &caller.Call{CallID: "c", Instance: "i-1", Idempotent: true, Deadline: time.Now().Add(10 * time.Second)})
		}()
		for e.Load().InFlight == 0 {
			time.Sleep(time.Millisecond)
		}
		leave(e)
		close(b.wait)
		if got := <-done; got.Outcome != caller.NotRun || got.Reason != caller.ReasonLeaving || b.sent > 0 {
			t.Errorf("%s: got outcome %v with reason %v, %d calls sent, want not run, leaving", name, got.Outcome, got.Reason, b.sent)
		}
	}
}
