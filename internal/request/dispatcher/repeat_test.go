package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// fleet is a transport that answers after 30 ms. While silent is set, the answers of
// n-1 are lost. While reject is set, n-1 rejects all calls.
type fleet struct {
	silent   bool
	reject   bool
	internal bool
	leaf     bool
	arrivals int
}

func (f *fleet) Call(ctx context.Context, target string, call *caller.Call) (*caller.Answer, error) {
	f.arrivals++
	if f.silent && target == "n-1" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if f.reject && target == "n-1" {
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

// send makes calls at a rate of 25 a second and returns how many were served.
func (f *fleet) send(d *Dispatcher, calls int) (served int) {
	f.arrivals = 0
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
		name   string
		fleet  fleet
		repeat bool
	}{
		{"calls to a leaf service", fleet{internal: true, leaf: true}, true},
		{"calls to a backend server that makes calls", fleet{internal: true}, false},
		{"requests of clients", fleet{leaf: true}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := &test.fleet
			d := newThrottled(t, f.Call)
			f.send(d, 300)
			f.silent = true
			before := time.Now()
			served := f.send(d, 4)
			took := time.Since(before)
			repeats := f.arrivals - 4
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
		f := &fleet{
			internal: true,
			leaf:     true,
		}
		d := newThrottled(t, f.Call)
		f.send(d, 500)
		f.silent = true
		const calls = 500
		f.send(d, calls)
		// The users' platform allows 0.2 of the requests.
		if repeats := f.arrivals - calls; repeats > calls/5 {
			t.Errorf("with half of the answers lost: got %d repeats of %d calls, want at most %d", repeats, calls, calls/5)
		}
	})
}

func TestRejectedClientRequestsGoToAnotherBackendServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{}
		d := newThrottled(t, f.Call)
		f.send(d, 300)
		f.reject = true
		if got := f.send(d, 6); got != 6 {
			t.Errorf("with one of two backend servers rejecting all calls: got %d of 6 served, want 6", got)
		}
	})
}
