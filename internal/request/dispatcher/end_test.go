package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
)

// TestLogDoesNotSayWhatEndedACall guards against answers of the node's own whose cause the log and
// the counters do not tell.
func TestLogDoesNotSayWhatEndedACall(t *testing.T) {
	connectionLost := func() error {
		return errors.New("session closed")
	}
	stopping := func() error {
		return errors.Mark(connectionLost(), caller.ErrStopping)
	}
	for _, test := range []struct {
		name       string
		fail       func() error
		giveUp     time.Duration
		cause      recorder.EndCause
		unanswered int
		noAttempt  recorder.NoAttempt
	}{
		{
			name:       "deadline",
			giveUp:     time.Hour,
			cause:      recorder.EndedByDeadline,
			unanswered: 1,
			noAttempt:  recorder.NoTimeLeft,
		},
		{
			name:       "caller",
			giveUp:     300 * time.Millisecond,
			cause:      recorder.EndedByCaller,
			unanswered: 1,
			noAttempt:  recorder.NoCaller,
		},
		{
			name:       "connection",
			fail:       connectionLost,
			giveUp:     time.Hour,
			cause:      recorder.EndedByConnection,
			unanswered: 1,
			noAttempt:  recorder.NoRepeatOfRuns,
		},
		{
			name:       "stop",
			fail:       stopping,
			giveUp:     time.Hour,
			cause:      recorder.EndedByStop,
			unanswered: 1,
			noAttempt:  recorder.NoRepeatOfRuns,
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			d := newTestDispatcher(t, func(ctx context.Context, _ string, _ *caller.Call) (*caller.Answer, error) {
				time.Sleep(200 * time.Millisecond)
				if test.fail != nil {
					return nil, test.fail()
				}
				<-ctx.Done()
				return nil, ctx.Err()
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if test.giveUp < time.Hour {
				time.AfterFunc(test.giveUp, cancel)
			}
			d.Dispatch(ctx, request("r-1")).Close()
			decisions := d.config.Recorder.Find("r")
			got := decisions[len(decisions)-1]
			if got.Action != "finish" || got.EndedBy != test.cause.String() || got.Unanswered != test.unanswered || got.NoAttempt != string(test.noAttempt) {
				t.Errorf("%s: got action %s, ended by %s, %d unanswered, no attempt: %s, want finish, %s, %d, %s",
					test.name, got.Action, got.EndedBy, got.Unanswered, got.NoAttempt, test.cause, test.unanswered, test.noAttempt)
			}
			key := test.cause.String() + ".unanswered"
			if n := d.config.Recorder.Ends()[key]; n != 1 {
				t.Errorf("%s: got %d ends counted as %s, want 1", test.name, n, key)
			}
		})
	}
}
