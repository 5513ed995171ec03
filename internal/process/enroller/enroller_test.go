package enroller

import (
	"context"
	"io"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/process/registrar"
)

const interval = time.Second

// newEnroller returns an enroller whose backend server sends heartbeats with the state that
// state returns, to /beat/a, and deregisters at /gone/a. change may change the configuration.
func newEnroller(state func() registrar.State, change func(*Config)) *Enroller {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	log := logrus.New()
	log.SetOutput(io.Discard)
	sequence := uint64(0)
	config := Config{
		Protocol: Protocol{
			HeartbeatPath:  "/beat/",
			DeregisterPath: "/gone/",
			DecodeHeartbeat: func(string, []byte) (registrar.Heartbeat, error) {
				sequence++
				return registrar.Heartbeat{
					ID:       "a",
					Address:  address,
					Service:  "allot",
					Slots:    10,
					Born:     time.Unix(9, 0),
					State:    state(),
					Sequence: sequence,
				}, nil
			},
			DecodeDeregistration: func(string, []byte) (string, time.Time, error) {
				return "a", time.Time{}, nil
			},
		},
		Service:  "allot",
		Address:  address,
		Interval: interval,
		OnChange: func(registrar.Registration) {},
		Log:      log,
	}
	change(&config)
	return New(config)
}

// post sends a request to the enroller and returns how long the answer took.
func post(e *Enroller, path string) time.Duration {
	started := time.Now()
	e.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", path, strings.NewReader("{}")))
	return time.Since(started)
}

// TestPausedNodeDoesNotDropItsBackendServer lets a node stand still for longer than the
// lease. The backend server must stay registered until it is silent for a lease in which the
// node ran.
func TestPausedNodeDoesNotDropItsBackendServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var state registrar.State
		ready := func() registrar.State { return registrar.Ready }
		e := newEnroller(ready, func(config *Config) {
			config.OnChange = func(registration registrar.Registration) {
				state = registration.State
			}
		})
		post(e, "/beat/a")
		const pause = 20 * time.Second
		time.Sleep(pause)
		e.checkLease(pause)
		if state != registrar.Ready {
			t.Errorf("after the node stood still: got %s, want ready", state)
		}
		for range 10 {
			time.Sleep(interval)
			e.checkLease(interval)
		}
		if state != registrar.Gone {
			t.Errorf("after silence while the node ran: got %s, want gone", state)
		}
	})
}

// TestAcknowledgedLeavingIsNotStored guards against an acknowledged leaving that ends with this
// process, and against an acknowledgement that a silent store delays.
func TestAcknowledgedLeavingIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := registrar.Ready
		var storeAway atomic.Bool
		storeAway.Store(true)
		stored := make(chan registrar.Registration, 10)
		current := func() registrar.State { return state }
		e := newEnroller(current, func(config *Config) {
			config.RecordLeaving = func(ctx context.Context, registration registrar.Registration) error {
				if storeAway.Load() {
					<-ctx.Done()
					return ctx.Err()
				}
				stored <- registration
				return nil
			}
		})
		post(e, "/beat/a")
		state = registrar.Draining
		time.Sleep(interval)
		if got := post(e, "/beat/a"); got > recordTimeout {
			t.Errorf("store away: got the acknowledgement after %s, want at most %s", got, recordTimeout)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go e.Run(ctx)
		time.Sleep(2 * interval)
		storeAway.Store(false)
		time.Sleep(2 * interval)
		cancel()
		post(e, "/gone/a")
		if len(stored) != 1 {
			t.Fatalf("after the store is back: got %d stored, want one", len(stored))
		}
		if got := <-stored; got.ID != "a" || !got.Born.Equal(time.Unix(9, 0)) {
			t.Errorf("got %s born %s stored, want a", got.ID, got.Born)
		}
	})
}
