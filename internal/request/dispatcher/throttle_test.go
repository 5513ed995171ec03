package dispatcher

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tracker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

var shop = describer.ServiceName{
	Team: "trade",
	Name: "shop",
}

// transport adapts a function to caller.Transport.
type transport func(ctx context.Context, target string, call *caller.Call) (*caller.Answer, error)

func (f transport) Call(ctx context.Context, member *encoder.Member, call *caller.Call) (*caller.Answer, error) {
	return f(ctx, member.GetId(), call)
}

// newTestDispatcher returns a Dispatcher that throttles requests and knows two targets.
func newTestDispatcher(t *testing.T, answer transport) *Dispatcher {
	t.Helper()
	settings := &describer.Settings{}
	d := New(Config{
		NodeID:      "n-0",
		Transport:   answer,
		Recorder:    recorder.New(nil, "n-0", 16),
		Inbound:     tracker.NewTable(),
		IssueTokens: true,
		Throttle:    true,
		Settings: func() *describer.Settings {
			return settings
		},
		Rand: rand.New(rand.NewPCG(1, 2)),
	})
	for _, id := range []string{"n-1", "n-2"} {
		d.Update(&encoder.Member{
			Id:          id,
			Incarnation: 1,
			Team:        shop.Team,
			Service:     shop.Name,
			Slots:       10,
		})
	}
	return d
}

// request returns an idempotent call that may reach two backend servers.
func request(route string) *caller.Call {
	return &caller.Call{
		RequestID:  "r",
		CallID:     "c",
		Service:    shop,
		Route:      route,
		Method:     "GET",
		Idempotent: true,
		Deadline:   time.Now().Add(time.Second),
		Objective:  time.Second,
		MaxTargets: 2,
	}
}

// answered returns the answer of a backend server with free slots, whose own calls have
// the given overload ratio.
func answered(status int, overloadRatio float64) *caller.Answer {
	return &caller.Answer{
		Outcome: caller.Answered,
		Status:  status,
		Body:    io.NopCloser(strings.NewReader("x")),
		Load: caller.Load{
			InFlight:      1,
			Limit:         10,
			OverloadRatio: overloadRatio,
		},
	}
}

// refusedRatio sends 50 requests a second for 10 s and returns the fraction of them
// that was throttled.
func refusedRatio(d *Dispatcher) float64 {
	refused := 0
	const sent = 500
	for range sent {
		time.Sleep(20 * time.Millisecond)
		answer := d.Dispatch(context.Background(), request("r-1"))
		if answer.Reason == caller.ReasonThrottled {
			refused++
		}
		answer.Close()
	}
	return float64(refused) / sent
}

func TestOnlyOverloadThrottlesRequests(t *testing.T) {
	for _, test := range []struct {
		name          string
		overloadRatio float64
		minRefused    float64
		maxRefused    float64
	}{
		{"downstream failures without overload", 0, 0, 0},
		{"downstream overload", 1, 0.5, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			sent := 0
			d := newTestDispatcher(t, func(context.Context, string, *caller.Call) (*caller.Answer, error) {
				sent++
				if sent%3 > 0 {
					return answered(500, test.overloadRatio), nil
				}
				return answered(200, test.overloadRatio), nil
			})
			if got := refusedRatio(d); got < test.minRefused || got > test.maxRefused {
				t.Errorf("%s, with two of three requests failing: got %.2f refused, want %.2f to %.2f", test.name, got, test.minRefused, test.maxRefused)
			}
		})
	}
}
