package enroller

import (
	"io"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/process/registrar"
)

// TestPausedNodeDoesNotDropItsBackendServer lets a node stand still for longer than the
// lease. The backend server must stay registered until it is silent for a lease in which the
// node ran.
func TestPausedNodeDoesNotDropItsBackendServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval = time.Second
		address := netip.MustParseAddrPort("10.0.0.1:80")
		log := logrus.New()
		log.SetOutput(io.Discard)
		var state registrar.State
		e := New(Config{
			Protocol: Protocol{
				HeartbeatPath:  "/beat/",
				DeregisterPath: "/gone/",
				DecodeHeartbeat: func(string, []byte) (registrar.Heartbeat, error) {
					return registrar.Heartbeat{
						ID:       "a",
						Address:  address,
						Service:  "allot",
						Slots:    10,
						State:    registrar.Ready,
						Sequence: 1,
					}, nil
				},
			},
			Service:  "allot",
			Address:  address,
			Interval: interval,
			OnChange: func(registration registrar.Registration) {
				state = registration.State
			},
			Log: log,
		})
		e.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/beat/a", strings.NewReader("{}")))
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
