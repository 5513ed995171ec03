package dispatcher

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// TestRetriedUploadSendsTheWholeBody refuses the first attempt of an upload while its body
// is being sent. Every later attempt must send the body from its beginning.
func TestRetriedUploadSendsTheWholeBody(t *testing.T) {
	for _, test := range []struct {
		name string
		size int
		// wantAttempts is 1 for a body that is too large to be sent again.
		wantAttempts int
	}{
		{"kept body", 3 * caller.PrefetchBytes, 2},
		{"body too large to keep", 12 * caller.PrefetchBytes, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			want := bytes.Repeat([]byte("0123456789abcdef"), test.size/16)
			attempts := 0
			d := newTestDispatcher(t, func(_ context.Context, _ string, call *caller.Call) (*caller.Answer, error) {
				attempts++
				if attempts == 1 {
					io.CopyN(io.Discard, call.Body.Reader(), int64(test.size-caller.PrefetchBytes/2))
					return caller.NewFailure(caller.NotRun, caller.ReasonLeaving), nil
				}
				got, err := io.ReadAll(call.Body.Reader())
				if err != nil || !bytes.Equal(got, want) {
					t.Errorf("%s: attempt %d sent %d bytes, error %v, want the body of %d bytes", test.name, attempts, len(got), err, len(want))
				}
				return answered(200, 0), nil
			})
			d.config.IssueTokens = true
			call := request("r-1")
			call.Idempotent = false
			body, err := caller.NewBody(bytes.NewReader(want))
			if err != nil {
				t.Fatal(err)
			}
			call.Body = body
			d.Dispatch(context.Background(), call).Close()
			if attempts != test.wantAttempts {
				t.Errorf("%s: got %d attempts, want %d", test.name, attempts, test.wantAttempts)
			}
		})
	}
}

// TestLargeBodyLeavesRegionWithoutTarget sends a large body while its own region has a
// target, and after that target is gone.
func TestLargeBodyLeavesRegionWithoutTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sentTo string
		d := newTestDispatcher(t, func(_ context.Context, target string, _ *caller.Call) (*caller.Answer, error) {
			sentTo = target
			return answered(200, 0), nil
		})
		for _, id := range []string{"n-1", "n-2"} {
			d.Update(&encoder.Member{
				Id:      id,
				State:   encoder.MemberState_DEAD,
				Team:    shop.Team,
				Service: shop.Name,
			})
		}
		near := &encoder.Member{
			Id:      "near",
			Team:    shop.Team,
			Service: shop.Name,
			Slots:   10,
		}
		d.Update(near)
		d.Update(&encoder.Member{
			Id:      "far",
			Region:  "elsewhere",
			Team:    shop.Team,
			Service: shop.Name,
			Slots:   10,
		})
		send := func() *caller.Answer {
			call := request("r-1")
			call.Body, _ = caller.NewBody(bytes.NewReader(make([]byte, 2*caller.PrefetchBytes)))
			return d.Dispatch(context.Background(), call)
		}
		if send(); sentTo != "near" {
			t.Errorf("with a target nearby: sent to %q, want near", sentTo)
		}
		near.State = encoder.MemberState_DEAD
		d.Update(near)
		if answer := send(); answer.Outcome != caller.Answered || sentTo != "far" {
			t.Errorf("without a target nearby: got outcome %v with reason %v, want an answer of far", answer.Outcome, answer.Reason)
		}
	})
}

// TestResolveQueriesCarryNoBody loses the answer to an upload. The queries for its outcome
// must not send the body again.
func TestResolveQueriesCarryNoBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queries := 0
		d := newTestDispatcher(t, func(_ context.Context, _ string, call *caller.Call) (*caller.Answer, error) {
			if call.ResolveOnly {
				queries++
				if size := call.Body.Size(); size != 0 {
					t.Errorf("got a query with a body of size %d, want none", size)
				}
				return answered(200, 0), nil
			}
			io.Copy(io.Discard, call.Body.Reader())
			return nil, errors.New("connection reset by peer")
		})
		d.config.IssueTokens = true
		call := request("r-1")
		call.Idempotent = false
		call.Body, _ = caller.NewBody(bytes.NewReader(make([]byte, 2*caller.PrefetchBytes)))
		d.Dispatch(context.Background(), call).Close()
		if queries == 0 {
			t.Error("got no query for the outcome")
		}
	})
}
