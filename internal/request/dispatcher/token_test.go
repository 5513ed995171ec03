package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

func TestCallToTargetThatDiesHasUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d *Dispatcher
		d = newTestDispatcher(t, func(_ context.Context, target string, _ *caller.Call) (*caller.Answer, error) {
			// The node dies while its backend server runs the call. The member is
			// removed before the dispatcher can ask for the outcome.
			d.Update(&encoder.Member{
				Id:          target,
				Incarnation: 1,
				Team:        shop.Team,
				Service:     shop.Name,
				State:       encoder.MemberState_DEAD,
			})
			return nil, errors.New("connection reset by peer")
		})
		call := request("r-1")
		call.Idempotent = false
		answer := d.Dispatch(context.Background(), call)
		if answer.Outcome != caller.Unknown {
			t.Errorf("got outcome %v with reason %v, want unknown: the call may have run", answer.Outcome, answer.Reason)
		}
	})
}
