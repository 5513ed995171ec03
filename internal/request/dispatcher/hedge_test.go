package dispatcher

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// attemptPlan says how an attempt ends: after a time, with an answer of a status, a refusal or, with
// status 0 and no refusal, an error.
type attemptPlan struct {
	after   time.Duration
	status  int
	refusal caller.Reason
}

// plannedTargets is a transport whose attempts of a call end as planned. Before a plan is set, it
// answers after 30 ms.
type plannedTargets struct {
	mu       sync.Mutex
	plan     []attemptPlan
	attempts int
	canceled int
	openBody int
}

func (p *plannedTargets) next() attemptPlan {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts++
	if len(p.plan) == 0 {
		return attemptPlan{
			after:  30 * time.Millisecond,
			status: 200,
		}
	}
	return p.plan[min(p.attempts, len(p.plan))-1]
}

func (p *plannedTargets) Call(ctx context.Context, _ string, _ *caller.Call) (*caller.Answer, error) {
	plan := p.next()
	select {
	case <-time.After(plan.after):
	case <-ctx.Done():
		p.mu.Lock()
		defer p.mu.Unlock()
		p.canceled++
		return nil, ctx.Err()
	}
	switch {
	case plan.refusal != 0:
		return caller.NewFailure(caller.NotRun, plan.refusal), nil
	case plan.status == 0:
		return nil, errors.New("session closed")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openBody++
	answer := answered(plan.status, 0)
	answer.InternalRoute = true
	answer.Load.IsLeaf = true
	answer.Body = &releasingBody{
		ReadCloser: io.NopCloser(strings.NewReader(plan.after.String())),
		release: func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.openBody--
		},
	}
	return answer, nil
}

// startPlan makes calls until the route's latency and its budget of repeats are known, and then sets
// the plan for the attempts of the next call.
func startPlan(t *testing.T, p *plannedTargets, plan ...attemptPlan) *Dispatcher {
	t.Helper()
	d := newTestDispatcher(t, p.Call)
	for range 100 {
		d.Dispatch(context.Background(), request("r-1")).Close()
	}
	p.plan, p.attempts = plan, 0
	return d
}

// TestSlowAttemptIsEndedBeforeTheOtherIsServed guards against a second attempt that ends the first one before
// either is served, and against attempts and answers that stay open after one was served.
func TestSlowAttemptIsEndedBeforeTheOtherIsServed(t *testing.T) {
	const slow, slower = 400 * time.Millisecond, 600 * time.Millisecond
	lost := attemptPlan{
		after: time.Hour,
	}
	for _, test := range []struct {
		name     string
		plan     []attemptPlan
		want     string
		status   int
		took     time.Duration
		canceled int
	}{
		{
			name: "second attempt is faster",
			plan: []attemptPlan{
				lost,
				{
					after:  30 * time.Millisecond,
					status: 200,
				},
			},
			want:     "30ms",
			status:   200,
			took:     180 * time.Millisecond,
			canceled: 1,
		},
		{
			name: "first attempt is faster",
			plan: []attemptPlan{
				{
					after:  slow,
					status: 200,
				},
				lost,
			},
			want:     "400ms",
			status:   200,
			took:     slow,
			canceled: 1,
		},
		{
			name: "second attempt is refused",
			plan: []attemptPlan{
				{
					after:  slow,
					status: 200,
				},
				{
					refusal: caller.ReasonHopeless,
				},
			},
			want:   "400ms",
			status: 200,
			took:   slow,
		},
		{
			name: "second attempt loses its session",
			plan: []attemptPlan{
				{
					after:  slow,
					status: 200,
				},
				{
					after: 20 * time.Millisecond,
				},
			},
			want:   "400ms",
			status: 200,
			took:   slow,
		},
		{
			name: "first attempt loses its session",
			plan: []attemptPlan{
				{
					after: slow,
				},
				{
					after:  slow,
					status: 200,
				},
			},
			want:   "400ms",
			status: 200,
			took:   550 * time.Millisecond,
		},
		{
			name: "first attempt fails at its backend server",
			plan: []attemptPlan{
				{
					after:  slow,
					status: 500,
				},
				{
					after:  slow,
					status: 200,
				},
			},
			want:   "400ms",
			status: 200,
			took:   550 * time.Millisecond,
		},
		{
			name: "both fail, one at its backend server",
			plan: []attemptPlan{
				{
					after: slower,
				},
				{
					after:  slow,
					status: 500,
				},
			},
			want:   "400ms",
			status: 500,
			took:   slower,
		},
		{
			name: "both take too long",
			plan: []attemptPlan{
				lost,
				lost,
			},
			took:     time.Second,
			canceled: 2,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &plannedTargets{}
				d := startPlan(t, p, test.plan...)
				started := time.Now()
				answer := d.Dispatch(context.Background(), request("r-1"))
				took := time.Since(started)
				got := ""
				if answer.Body != nil {
					content, _ := io.ReadAll(answer.Body)
					got = string(content)
				}
				answer.Close()
				synctest.Wait()
				if got != test.want || answer.Status != test.status {
					t.Errorf("got the answer %q with status %d (%s), want %q with %d", got, answer.Status, answer.Reason, test.want, test.status)
				}
				if (took - test.took).Abs() > 20*time.Millisecond {
					t.Errorf("got the answer after %s, want about %s", took, test.took)
				}
				if p.canceled != test.canceled || p.openBody != 0 {
					t.Errorf("got %d canceled attempts and %d open answers, want %d and 0", p.canceled, p.openBody, test.canceled)
				}
			})
		})
	}
}

// TestAttemptsGoOnWithoutTheirCaller guards against attempts that stay open after their caller left.
func TestAttemptsGoOnWithoutTheirCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &plannedTargets{}
		d := startPlan(t, p, attemptPlan{
			after: time.Hour,
		})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(300*time.Millisecond, cancel)
		started := time.Now()
		d.Dispatch(ctx, request("r-1")).Close()
		synctest.Wait()
		if took := time.Since(started); p.attempts != 2 || p.canceled != 2 || took > 310*time.Millisecond {
			t.Errorf("got %d attempts, %d canceled after %s, want 2 of 2 after 300ms", p.attempts, p.canceled, took)
		}
	})
}

// TestLateAnswerIsReplacedByTheNodes guards against an answer of a backend server, just before the
// deadline, that another attempt replaces by an answer of the node's own.
func TestLateAnswerIsReplacedByTheNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &plannedTargets{}
		d := startPlan(t, p, attemptPlan{
			after:  100 * time.Millisecond,
			status: 504,
		}, attemptPlan{
			after: time.Hour,
		})
		call := request("r-1")
		call.Deadline = time.Now().Add(101 * time.Millisecond)
		answer := d.Dispatch(context.Background(), call)
		defer answer.Close()
		if answer.Outcome != caller.Answered || answer.Status != 504 || p.attempts != 1 {
			t.Errorf("got %s with status %d after %d attempts, want the backend server's 504 after 1", answer.Outcome, answer.Status, p.attempts)
		}
	})
}

// TestRefusedFirstAttemptHidesTheSecond guards against a call that is said not to have run although
// its second attempt may have.
func TestRefusedFirstAttemptHidesTheSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &plannedTargets{}
		d := startPlan(t, p, attemptPlan{
			after:   900 * time.Millisecond,
			refusal: caller.ReasonQueueTimeout,
		}, attemptPlan{
			after: time.Hour,
		})
		answer := d.Dispatch(context.Background(), request("r-1"))
		defer answer.Close()
		if p.attempts != 2 || answer.Outcome != caller.Unknown {
			t.Errorf("got the outcome %s after %d attempts, want unknown after 2", answer.Outcome, p.attempts)
		}
	})
}
