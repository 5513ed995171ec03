package executor

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tracker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// backend fails each run.
type backend struct {
	err error
}

// Do implements caller.Backend.
func (b backend) Do(context.Context, *caller.Call) (*caller.Answer, error) {
	return nil, b.err
}

func TestFailedRunTellsWhy(t *testing.T) {
	settings := &describer.Settings{}
	for _, test := range []struct {
		name string
		err  error
		want caller.Reason
	}{
		{"connection reset", errors.New("connection reset by peer"), caller.ReasonBackendFailed},
		{"request not sent", caller.NotSent(errors.New("connection refused")), caller.ReasonBackendUnreachable},
		{"broken body", errors.Mark(errors.New("unexpected end"), caller.ErrBadBody), caller.ReasonBodyBroken},
	} {
		e := New(Config{
			ID:       "n-1",
			Slots:    4,
			Backend:  backend{err: test.err},
			Recorder: recorder.New(nil, "n-1", 16),
			Inbound:  tracker.NewTable(),
			Settings: func() *describer.Settings {
				return settings
			},
		})
		answer := e.Execute(context.Background(), &caller.Call{
			CallID:     "c",
			Idempotent: true,
			Deadline:   time.Now().Add(time.Second),
		})
		if answer.Reason != test.want {
			t.Errorf("%s: got reason %v, want %v", test.name, answer.Reason, test.want)
		}
	}
}
