package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/deduplicator"
)

// maxArrivalRatio is the part of the requests for a service that may reach its backend servers
// a second time.
const maxArrivalRatio = 0.2

// shedder is a transport whose backend servers shed three of four calls.
type shedder struct {
	d *Dispatcher
	// reason is the reason of the refusals.
	reason caller.Reason
	// lost reports whether the first answer to each call with a token is lost, so that the
	// refusal is the answer to a resolve query.
	lost bool
	// noSuccessor leaves out the successor of a refused token.
	noSuccessor bool

	arrivals int
	// first counts the calls that arrived, and again their arrivals beyond the first.
	first, again int
}

// send makes calls one after another, 100 a second.
func (s *shedder) send(calls int, newCall func() *caller.Call) {
	for range calls {
		time.Sleep(10 * time.Millisecond)
		before := s.arrivals
		s.d.Dispatch(context.Background(), newCall()).Close()
		if arrived := s.arrivals - before; arrived > 0 {
			s.first++
			s.again += arrived - 1
		}
	}
}

// call implements transport.
func (s *shedder) call(_ context.Context, target string, call *caller.Call) (*caller.Answer, error) {
	if !call.ResolveOnly {
		s.arrivals++
		if s.arrivals%4 == 0 {
			return answered(200, 0), nil
		}
		if s.lost && call.Token != nil {
			return nil, errors.New("connection reset by peer")
		}
	}
	answer := caller.NewFailure(caller.NotRun, s.reason)
	answer.ReachedBackend = true
	answer.Load = answered(200, 0).Load
	if call.Token != nil && !s.noSuccessor {
		answer.Successor = deduplicator.NewToken(time.Now(), target, 1, time.Minute)
	}
	return answer, nil
}

// TestRefusedCallsReachServersBeyondTheBudget guards against servers that get more load than the
// budget allows at the moment at which they shed it, whichever way leads to the second arrival.
func TestRefusedCallsReachServersBeyondTheBudget(t *testing.T) {
	for _, test := range []struct {
		name    string
		token   bool
		shedder shedder
	}{
		{"safe", false, shedder{reason: caller.ReasonRefusedByBackend}},
		{"safe, other server at the address", false, shedder{reason: caller.ReasonIncarnation}},
		{"successor of a token", true, shedder{reason: caller.ReasonRefusedByBackend}},
		{"successor after a lost refusal", true, shedder{reason: caller.ReasonTombstone, lost: true}},
		{"replaced token", true, shedder{reason: caller.ReasonIncarnation, noSuccessor: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &test.shedder
				s.d = newTestDispatcher(t, s.call)
				s.send(1000, func() *caller.Call {
					call := request("r-1")
					call.Idempotent = !test.token
					return call
				})
				if float64(s.again) > maxArrivalRatio*float64(s.first) {
					t.Errorf("got %d second arrivals of %d calls, want at most %v of them", s.again, s.first, maxArrivalRatio)
				}
				if s.again == 0 {
					t.Errorf("got no second arrival of %d calls, want some within the budget", s.first)
				}
			})
		})
	}
}

// TestCallsOfRepeatedRunsAreRepeatedBeyondTheBudget guards against a service that gets the repeats
// of its callers and, beside them, as many of its own.
func TestCallsOfRepeatedRunsAreRepeatedBeyondTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			calls = 1000
			// inherited is the part of the local server's runs that are repeats.
			inherited = 0.1
		)
		s := &shedder{
			reason: caller.ReasonRefusedByBackend,
		}
		charged := 0
		s.d = newTestDispatcher(t, func(ctx context.Context, target string, call *caller.Call) (*caller.Answer, error) {
			if call.Charged {
				charged++
			}
			answer, err := s.call(ctx, target, call)
			answer.InternalRoute = true
			return answer, err
		})
		runs := 0
		s.send(calls, func() *caller.Call {
			runs++
			s.d.RecordRun(time.Now(), runs%int(1/inherited) == 0)
			return request("r-1")
		})
		again := s.again
		if float64(charged) > maxArrivalRatio*calls {
			t.Errorf("got %d repeats (%d of them sent again here) of %d calls, want at most %v", charged, again, calls, maxArrivalRatio)
		}
		if charged < inherited*calls/2 || again <= 0 {
			t.Errorf("got %d repeats (%d of them sent again here), want those that were inherited and some of its own", charged, again)
		}
	})
}

// TestRepeatBudgetsGrowWithoutBound guards against memory that grows with the routes seen.
func TestRepeatBudgetsGrowWithoutBound(t *testing.T) {
	d := newTestDispatcher(t, nil)
	for i := range maxRepeatBudgets + 100 {
		call := request(caller.NewID())
		d.repeatBudget(call).RecordAttempt(time.Unix(int64(i), 0))
	}
	if got := len(d.repeatBudgets); got > maxRepeatBudgets {
		t.Errorf("got %d budgets, want at most %d", got, maxRepeatBudgets)
	}
}
