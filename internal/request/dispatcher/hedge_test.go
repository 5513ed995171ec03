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

// TestLostCallIsNotRepeatedLater guards against a lost attempt that nobody repeats because
// the budget was empty at one moment.
func TestLostCallIsNotRepeatedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &plannedTargets{}
		d := startPlan(t, p, attemptPlan{
			after: time.Hour,
		}, attemptPlan{
			after:  30 * time.Millisecond,
			status: 200,
		})
		budget := d.repeatBudget(request("r-1"))
		for budget.Withdraw(time.Now()) {
		}
		time.AfterFunc(200*time.Millisecond, func() {
			for range 20 {
				budget.RecordAttempt(time.Now())
			}
		})
		answer := d.Dispatch(context.Background(), request("r-1"))
		defer answer.Close()
		if answer.Status != 200 || p.attempts != 2 {
			t.Errorf("got status %d (%s) after %d attempts, want 200 after 2", answer.Status, answer.Reason, p.attempts)
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

// boundBody is an answer body that breaks when the context of its attempt ends, as one does that
// arrives over a connection.
type boundBody struct {
	io.Reader
	ctx context.Context
}

// Read implements io.Reader.
func (b *boundBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return b.Reader.Read(p)
}

// Close implements io.Closer.
func (b *boundBody) Close() error {
	return nil
}

// TestAttemptsThatEndTogetherCancelEachOther guards against an answer whose body breaks because the
// other attempt was served at the same moment.
func TestAttemptsThatEndTogetherCancelEachOther(t *testing.T) {
	const calls = 100
	broken := 0
	for range calls {
		synctest.Test(t, func(t *testing.T) {
			p := &plannedTargets{}
			second := false
			d := newTestDispatcher(t, func(ctx context.Context, target string, call *caller.Call) (*caller.Answer, error) {
				answer, err := p.Call(ctx, target, call)
				if second && err == nil {
					answer.Body = &boundBody{
						Reader: answer.Body,
						ctx:    ctx,
					}
				}
				return answer, err
			})
			for range 20 {
				d.Dispatch(context.Background(), request("r-1")).Close()
			}
			p.plan = []attemptPlan{
				{
					after:  250 * time.Millisecond,
					status: 200,
				},
				{
					after:  100 * time.Millisecond,
					status: 200,
				},
			}
			p.attempts, second = 0, true
			answer := d.Dispatch(context.Background(), request("r-1"))
			defer answer.Close()
			synctest.Wait()
			if _, err := io.ReadAll(answer.Body); err != nil {
				broken++
			}
		})
	}
	if broken > 0 {
		t.Errorf("got %d broken answers of %d calls, want 0", broken, calls)
	}
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

// TestDeniedHedgesUseUpTheBudget guards against a call without an allowance that takes a repeat from
// the budget after each delay and makes no attempt with it.
func TestDeniedHedgesUseUpTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &plannedTargets{}
		refused := attemptPlan{
			refusal: caller.ReasonLeaving,
		}
		// The refusal takes the allowance of the call along.
		d := startPlan(t, p, refused, attemptPlan{
			after:  900 * time.Millisecond,
			status: 200,
		})
		budget := d.repeatBudget(request("r-1"))
		for budget.Withdraw(time.Now()) {
		}
		for range 100 {
			budget.RecordAttempt(time.Now())
		}
		d.Dispatch(context.Background(), request("r-1")).Close()
		left := 0
		for budget.Withdraw(time.Now()) {
			left++
		}
		// At a half-life of 2 s, 10 of the 14 repeats are left after 0.9 s.
		if want := 10; p.attempts != 2 || left < want {
			t.Errorf("got %d repeats left after %d attempts, want at least %d after 2", left, p.attempts, want)
		}
	})
}

// TestSilentTargetIsNoLeaf guards against a lost attempt that nobody repeats because the last load
// report of its silent target has expired.
func TestSilentTargetIsNoLeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &plannedTargets{}
		d := startPlan(t, p, attemptPlan{
			after: time.Hour,
		}, attemptPlan{
			after:  30 * time.Millisecond,
			status: 200,
		})
		budget := d.repeatBudget(request("r-1"))
		for budget.Withdraw(time.Now()) {
		}
		time.AfterFunc(1200*time.Millisecond, func() {
			for range 20 {
				budget.RecordAttempt(time.Now())
			}
		})
		call := request("r-1")
		call.Deadline = time.Now().Add(3 * time.Second)
		answer := d.Dispatch(context.Background(), call)
		defer answer.Close()
		if answer.Status != 200 || p.attempts != 2 {
			t.Errorf("got status %d (%s) after %d attempts, want 200 after 2", answer.Status, answer.Reason, p.attempts)
		}
	})
}

// TestFailureIsCutAtTheDeadline guards against an answer of a backend server whose body breaks because
// it waited for the other attempt until the deadline.
func TestFailureIsCutAtTheDeadline(t *testing.T) {
	lost := attemptPlan{
		after: time.Hour,
	}
	failed := attemptPlan{
		after:  400 * time.Millisecond,
		status: 500,
	}
	for _, test := range []struct {
		name string
		plan []attemptPlan
	}{
		{"first attempt fails", []attemptPlan{failed, lost}},
		{"second attempt fails", []attemptPlan{lost, failed}},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := &plannedTargets{}
			d := startPlan(t, p, test.plan...)
			d.config.Transport = transport(func(ctx context.Context, target string, call *caller.Call) (*caller.Answer, error) {
				answer, err := p.Call(ctx, target, call)
				if err == nil {
					answer.Body = &boundBody{
						Reader: answer.Body,
						ctx:    ctx,
					}
				}
				return answer, err
			})
			answer := d.Dispatch(context.Background(), request("r-1"))
			defer answer.Close()
			if content, err := io.ReadAll(answer.Body); answer.Status != 500 || string(content) != "400ms" || err != nil {
				t.Errorf("%s: got status %d with the body %q (%v), want 500 with 400ms", test.name, answer.Status, content, err)
			}
		})
	}
}

// TestSteadilySlowTargetGetsItsShare guards against a target that gets as many calls as the others
// although each of them is overdue there, and the budget permits no second attempts.
func TestSteadilySlowTargetGetsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 400
		slow := false
		atSlow := 0
		d := newTestDispatcher(t, func(ctx context.Context, target string, call *caller.Call) (*caller.Answer, error) {
			work := 30 * time.Millisecond
			if slow && target == "n-1" {
				work = 400 * time.Millisecond
				if call.Attempt == 0 {
					atSlow++
				}
			}
			select {
			case <-time.After(work):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			answer := answered(200, 0)
			answer.InternalRoute = true
			answer.Load.IsLeaf = true
			return answer, nil
		})
		for range 100 {
			d.Dispatch(context.Background(), request("r-1")).Close()
		}
		slow = true
		for range calls {
			time.Sleep(10 * time.Millisecond)
			for budget := d.repeatBudget(request("r-1")); budget.Withdraw(time.Now()); {
			}
			d.Dispatch(context.Background(), request("r-1")).Close()
		}
		if atSlow > calls/5 {
			t.Errorf("got %d of %d calls at the slow one of two targets, want at most a fifth", atSlow, calls)
		}
	})
}
