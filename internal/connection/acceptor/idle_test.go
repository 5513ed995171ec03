package acceptor

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// TestIdleSessionsAreClosed checks that a session without calls is closed, that one with an
// open call is not, and that the next call opens a new session.
func TestIdleSessionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const idle = 11 * time.Second
		release := make(chan struct{})
		p := newPair(t, func(_ context.Context, call *caller.Call) *caller.Answer {
			if call.CallID == "long" {
				<-release
			}
			return answerWith(strings.NewReader("x"))
		})
		finish := func(id string) error {
			answer, err := p.call(t.Context(), id, nil)
			if err != nil {
				return err
			}
			defer answer.Close()
			_, err = io.Copy(io.Discard, answer.Body)
			return err
		}
		ended := make(chan error, 1)
		go func() {
			ended <- finish("long")
		}()
		time.Sleep(idle)
		if got := p.dialer.SessionCount(); got != 1 {
			t.Errorf("with an open call: got %d sessions, want 1", got)
		}
		close(release)
		if err := <-ended; err != nil {
			t.Errorf("long call: %v", err)
		}
		time.Sleep(idle)
		if got := p.dialer.SessionCount(); got != 0 {
			t.Errorf("without calls: got %d sessions, want 0", got)
		}
		if err := finish("next"); err != nil {
			t.Errorf("next call: %v", err)
		}
		if got := p.dials.Load(); got != 2 {
			t.Errorf("got %d sessions opened, want 2", got)
		}
	})
}
