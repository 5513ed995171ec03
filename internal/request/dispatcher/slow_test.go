package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// slowTargets is a transport whose backend servers take 300 ms for the attempts that isSlow
// selects, and 30 ms for the others. refuse makes it refuse second attempts as hopeless.
type slowTargets struct {
	isSlow func(call *caller.Call) bool
	refuse bool
}

func (s *slowTargets) Call(ctx context.Context, _ string, call *caller.Call) (*caller.Answer, error) {
	if call.Attempt > 0 && s.refuse {
		return caller.NewFailure(caller.NotRun, caller.ReasonHopeless), nil
	}
	work := 30 * time.Millisecond
	if s.isSlow(call) {
		work = 300 * time.Millisecond
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
}

// TestRunningCallsAreAnsweredByTheNode guards against an answer of the node's own, with most of the
// time left, to a call that its backend server still works at.
func TestRunningCallsAreAnsweredByTheNode(t *testing.T) {
	for _, test := range []struct {
		name   string
		refuse bool
		// slowOneIn is how many calls there are to a slow one.
		slowOneIn int
	}{
		{
			name:      "without repeats left in the budget",
			slowOneIn: 2,
		},
		{
			name:      "second attempts refused as hopeless",
			refuse:    true,
			slowOneIn: 50,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				s := &slowTargets{
					refuse: test.refuse,
					isSlow: func(call *caller.Call) bool {
						return call.Attempt == 0 && calls > 100 && calls%test.slowOneIn == 0
					},
				}
				d := newTestDispatcher(t, s.Call)
				failed := 0
				for ; calls < 300; calls++ {
					time.Sleep(10 * time.Millisecond)
					answer := d.Dispatch(context.Background(), request("r-1"))
					if answer.Outcome != caller.Answered || answer.Status != 200 {
						failed++
					}
					answer.Close()
				}
				if failed > 0 {
					t.Errorf("got %d of %d calls answered by the node, want 0", failed, calls)
				}
			})
		})
	}
}
