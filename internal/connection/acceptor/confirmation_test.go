package acceptor

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// TestConfirmationReachesTheTarget guards against stored answers that stay although the caller's
// node has confirmed them, and against answers that are dropped without a confirmation.
func TestConfirmationReachesTheTarget(t *testing.T) {
	for name, confirmed := range map[string]bool{"confirmed": true, "closed": false} {
		t.Run(name, func(t *testing.T) {
			received, ended := make(chan struct{}), make(chan struct{})
			p := newPatientPair(t, func(ctx context.Context, _ *caller.Call) *caller.Answer {
				context.AfterFunc(ctx, func() { close(ended) })
				answer := answerWith(strings.NewReader("x"))
				answer.Received = func() { close(received) }
				return answer
			})
			body, _ := caller.NewBody(strings.NewReader("request"))
			answer, err := p.dialer.Call(t.Context(), peer, &caller.Call{
				Method:   "POST",
				Path:     "/",
				Deadline: time.Now().Add(10 * time.Second),
				Token:    &encoder.Token{Id: "1"},
				Body:     body,
			})
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, answer.Body)
			if confirmed {
				answer.Received()
			}
			answer.Close()
			<-ended
			if !confirmed {
				select {
				case <-received:
					t.Error("got a confirmation, want none")
				default:
				}
				return
			}
			select {
			case <-received:
			case <-time.After(5 * time.Second):
				t.Error("got no confirmation within 5 s")
			}
		})
	}
}

// slowReader blocks each Read until the channel has an element.
type slowReader struct {
	source io.Reader
	next   chan struct{}
}

func (s *slowReader) Read(p []byte) (int, error) {
	<-s.next
	return s.source.Read(p)
}

// TestStalledBodyTakesMemoryFromTheBudget guards against request bodies that fill the memory
// because the backend server reads them slowly.
func TestStalledBodyTakesMemoryFromTheBudget(t *testing.T) {
	next := make(chan struct{})
	p := newPatientPair(t, func(ctx context.Context, call *caller.Call) *caller.Answer {
		io.Copy(io.Discard, &slowReader{call.Body.Reader(), next})
		return answerWith(strings.NewReader("x"))
	})
	done := make(chan error, 1)
	go func() {
		_, err := p.call(t.Context(), "x", strings.NewReader(strings.Repeat("b", 1<<20)))
		done <- err
	}()
	waitFor(t, "the charge of a stalled body", func() bool {
		return p.budget.Used() > 256<<10
	})
	close(next)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the return of the charge", func() bool {
		return p.budget.Used() == 0
	})
}

// waitFor waits until done reports true.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for start := time.Now(); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatalf("waited 10 s for %s", what)
		}
	}
}

// TestCallerThatLeavesDuringItsUploadIsNoticed guards against a backend server that works on for a
// caller that has left, because the node reads the request body only as fast as the server takes it.
func TestCallerThatLeavesDuringItsUploadIsNoticed(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	p := newPatientPair(t, func(ctx context.Context, call *caller.Call) *caller.Answer {
		call.Body.Reader().Read(make([]byte, 1))
		close(began)
		select {
		case <-ctx.Done():
			close(ended)
		case <-time.After(10 * time.Second):
		}
		return caller.NewFailure(caller.Unknown, caller.ReasonCanceled)
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan error, 1)
	go func() {
		_, err := p.call(ctx, "x", strings.NewReader(strings.Repeat("b", 2<<20)))
		done <- err
	}()
	<-began
	time.Sleep(50 * time.Millisecond)
	cancel()
	if err := <-done; err == nil {
		t.Error("got an answer, want the error of the canceled call")
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the call still runs 5s after its caller has left")
	}
}
