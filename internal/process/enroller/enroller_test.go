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

// TestAcknowledgedDeregistrationOfUnknownStartIsLost guards against a deregistration that is
// acknowledged before the first heartbeat of its start and forgotten by the next process, or that
// members do not learn of.
func TestAcknowledgedDeregistrationOfUnknownStartIsLost(t *testing.T) {
	born := time.Unix(9, 0)
	for name, known := range map[string]bool{"first message": false, "next start of a known server": true} {
		var stored, announced []registrar.Registration
		ready := func() registrar.State { return registrar.Ready }
		change := func(config *Config) {
			config.OnChange = func(registration registrar.Registration) {
				announced = append(announced, registration)
			}
			config.RecordLeaving = func(_ context.Context, registration registrar.Registration) error {
				stored = append(stored, registration)
				return nil
			}
			config.Protocol.DecodeDeregistration = func(string, []byte) (string, time.Time, error) {
				return "a", born, nil
			}
		}
		e := newEnroller(ready, change)
		if known {
			e.registrar.Heartbeat(time.Now(), registrar.Heartbeat{
				ID:       "a",
				Address:  e.config.Address,
				Service:  e.config.Service,
				State:    registrar.Ready,
				Born:     born.Add(-time.Minute),
				Sequence: 1,
			})
		}
		post(e, "/gone/a")
		if len(stored) != 1 || stored[0].ID != "a" || !stored[0].Born.Equal(born) {
			t.Errorf("%s: got %v stored at the acknowledgement, want the start", name, stored)
		}
		if n := len(announced); n == 0 || !announced[n-1].Leaving || announced[n-1].State == registrar.Ready {
			t.Errorf("%s: got %v announced, want that the start leaves", name, announced)
		}
		post(e, "/beat/a")
		next := newEnroller(ready, change)
		for _, start := range stored {
			next.MarkLeaving(start.ID, start.Born)
		}
		post(next, "/beat/a")
		for process, enroller := range map[string]*Enroller{"same": e, "next": next} {
			if got := enroller.registrar.Current(time.Now()).State; got == registrar.Ready {
				t.Errorf("%s: %s process after a late heartbeat: got ready, want gone or draining", name, process)
			}
		}
	}
}

// TestOnlyLatestLeavingIsStored guards against a second server that leaves and hides the first, while
// the store is away.
func TestOnlyLatestLeavingIsStored(t *testing.T) {
	stored := make(map[string]bool)
	away := true
	id := "a"
	ready := func() registrar.State { return registrar.Ready }
	e := newEnroller(ready, func(config *Config) {
		config.RecordLeaving = func(_ context.Context, registration registrar.Registration) error {
			if away {
				return context.DeadlineExceeded
			}
			stored[registration.ID] = true
			return nil
		}
		config.Protocol.DecodeDeregistration = func(string, []byte) (string, time.Time, error) {
			return id, time.Unix(9, 0), nil
		}
	})
	post(e, "/gone/a")
	id = "b"
	post(e, "/gone/b")
	away = false
	e.recordLeaving(t.Context())
	if !stored["a"] || !stored["b"] {
		t.Errorf("got %v stored, want a and b", stored)
	}
}
