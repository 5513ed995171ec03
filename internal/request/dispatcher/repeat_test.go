package dispatcher

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// fakeTargets is a transport whose targets answer after 30 ms. While loseAnswers is set,
// the answers of n-1 are lost. While refuseCalls is set, n-1 refuses all calls. internal
// and leaf are reported with each answer: whether the route is internal, and whether the
// backend server is a leaf service.
type fakeTargets struct {
	loseAnswers  bool
	refuseCalls  bool
	internal     bool
	leaf         bool
	attemptCount atomic.Int64
}

func (f *fakeTargets) Call(ctx context.Context, target string, call *caller.Call) (*caller.Answer, error) {
	f.attemptCount.Add(1)
	if f.loseAnswers && target == "n-1" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if f.refuseCalls && target == "n-1" {
		answer := caller.NewFailure(caller.NotRun, caller.ReasonRefusedByBackend)
		answer.ReachedBackend = true
		answer.Load = answered(200, 0).Load
		return answer, nil
	}
	time.Sleep(30 * time.Millisecond)
	answer := answered(200, 0)
	answer.InternalRoute = f.internal
	answer.Load.IsLeaf = f.leaf
	return answer, nil
}

// send makes calls one after another, 25 a second while each call is answered at the first
// attempt, and returns how many were served.
func (f *fakeTargets) send(d *Dispatcher, calls int) (served int) {
	f.attemptCount.Store(0)
	for range calls {
		time.Sleep(10 * time.Millisecond)
		answer := d.Dispatch(context.Background(), request("r-1"))
		if answer.Outcome == caller.Answered && answer.Status == 200 {
			served++
		}
		answer.Close()
	}
	return served
}

func TestLostCallsToLeafServicesAreRepeated(t *testing.T) {
	for _, test := range []struct {
		name        string
		fakeTargets *fakeTargets
		repeat      bool
	}{
		{"calls to a leaf service", &fakeTargets{internal: true, leaf: true}, true},
		{"calls to a backend server that makes calls", &fakeTargets{internal: true}, false},
		{"requests of clients", &fakeTargets{leaf: true}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := test.fakeTargets
			d := newTestDispatcher(t, f.Call)
			f.send(d, 300)
			f.loseAnswers = true
			before := time.Now()
			served := f.send(d, 4)
			took := time.Since(before)
			repeats := f.attemptCount.Load() - 4
			if test.repeat && (served != 4 || took > 4*250*time.Millisecond) {
				t.Errorf("%s: got %d of 4 served in %v, want all without waiting for the deadline", test.name, served, took)
			}
			if !test.repeat && repeats != 0 {
				t.Errorf("%s: got %d repeats, want none", test.name, repeats)
			}
		})
	}
}

func TestRepeatsStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTargets{
			internal: true,
			leaf:     true,
		}
		d := newTestDispatcher(t, f.Call)
		f.send(d, 500)
		f.loseAnswers = true
		const calls = 500
		f.send(d, calls)
		// The platform that this program is deployed on permits repeats of at most 0.2 of
		// the first attempts.
		if repeats := f.attemptCount.Load() - calls; repeats > calls/5 {
			t.Errorf("with half of the answers lost: got %d repeats of %d calls, want at most %d", repeats, calls, calls/5)
		}
	})
}

func TestRefusedClientRequestsGoToAnotherBackendServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTargets{}
		d := newTestDispatcher(t, f.Call)
		f.send(d, 300)
		f.refuseCalls = true
		if got := f.send(d, 6); got != 6 {
			t.Errorf("with one of two backend servers refusing all calls: got %d of 6 served, want 6", got)
		}
	})
}
