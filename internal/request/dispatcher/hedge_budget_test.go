package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

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
