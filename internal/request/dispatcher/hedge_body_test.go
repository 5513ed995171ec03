package dispatcher

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// boundBody is an answer body that breaks when the context of its attempt ends, as one does that
// arrives over a connection.
type boundBody struct {
	io.Reader
	ctx context.Context
}

// Read implements io.Reader.
func (b *boundBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return b.Reader.Read(p)
}

// Close implements io.Closer.
func (b *boundBody) Close() error {
	return nil
}

// TestAttemptsThatEndTogetherCancelEachOther guards against an answer whose body breaks because the
// other attempt was served at the same moment.
func TestAttemptsThatEndTogetherCancelEachOther(t *testing.T) {
	const calls = 100
	broken := 0
	for range calls {
		synctest.Test(t, func(t *testing.T) {
			p := &plannedTargets{}
			second := false
			d := newTestDispatcher(t, func(ctx context.Context, target string, call *caller.Call) (*caller.Answer, error) {
				answer, err := p.Call(ctx, target, call)
				if second && err == nil {
					answer.Body = &boundBody{
						Reader: answer.Body,
						ctx:    ctx,
					}
				}
				return answer, err
			})
			for range 20 {
				d.Dispatch(context.Background(), request("r-1")).Close()
			}
			p.plan = []attemptPlan{
				{
					after:  250 * time.Millisecond,
					status: 200,
				},
				{
					after:  100 * time.Millisecond,
					status: 200,
				},
			}
			p.attempts, second = 0, true
			answer := d.Dispatch(context.Background(), request("r-1"))
			defer answer.Close()
			synctest.Wait()
			if _, err := io.ReadAll(answer.Body); err != nil {
				broken++
			}
		})
	}
	if broken > 0 {
		t.Errorf("got %d broken answers of %d calls, want 0", broken, calls)
	}
}

// TestFailureIsCutAtTheDeadline guards against an answer of a backend server whose body breaks because
// it waited for the other attempt until the deadline.
func TestFailureIsCutAtTheDeadline(t *testing.T) {
	lost := attemptPlan{
		after: time.Hour,
	}
	failed := attemptPlan{
		after:  400 * time.Millisecond,
		status: 500,
	}
	for _, test := range []struct {
		name string
		plan []attemptPlan
	}{
		{"first attempt fails", []attemptPlan{failed, lost}},
		{"second attempt fails", []attemptPlan{lost, failed}},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := &plannedTargets{}
			d := startPlan(t, p, test.plan...)
			d.config.Transport = transport(func(ctx context.Context, target string, call *caller.Call) (*caller.Answer, error) {
				answer, err := p.Call(ctx, target, call)
				if err == nil {
					answer.Body = &boundBody{
						Reader: answer.Body,
						ctx:    ctx,
					}
				}
				return answer, err
			})
			answer := d.Dispatch(context.Background(), request("r-1"))
			defer answer.Close()
			if content, err := io.ReadAll(answer.Body); answer.Status != 500 || string(content) != "400ms" || err != nil {
				t.Errorf("%s: got status %d with the body %q (%v), want 500 with 400ms", test.name, answer.Status, content, err)
			}
		})
	}
}
