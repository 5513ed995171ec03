// Package enroller serves the registry requests of the local backend server, its
// heartbeats and deregistrations, and reports changes of the registration to its
// owner.
//
// # Usage
//
//	e := enroller.New(enroller.Config{Protocol: protocol, OnChange: apply})
//	http.Serve(listener, e.Handler())
//	err := e.Run(ctx)
package enroller

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/process/registrar"
)

// maxBodyBytes limits the body of a heartbeat or deregistration.
const maxBodyBytes = 64 << 10

// recordTimeout limits each call of RecordLeaving. A backend server waits one second for an
// acknowledgement.
const recordTimeout = 500 * time.Millisecond

// Protocol defines the paths and encodings that a backend server uses to register
// at its node.
type Protocol struct {
	// HeartbeatPath and DeregisterPath are path prefixes. The ID of the backend
	// server follows them.
	HeartbeatPath        string
	DeregisterPath       string
	DecodeHeartbeat      func(path string, body []byte) (registrar.Heartbeat, error)
	DecodeDeregistration func(path string, body []byte) (string, time.Time, error)
}

// Config holds the parameters of an Enroller.
type Config struct {
	Protocol Protocol
	// Service and Address identify the local backend server. Interval is the time
	// between two of its heartbeats.
	Service  string
	Address  netip.AddrPort
	Interval time.Duration
	// OnChange is called with each registration whose ID, start time, state, Leaving or
	// slots changed. The call returns before the heartbeat is acknowledged.
	OnChange func(registrar.Registration)
	// RecordLeaving stores outside this process that a start takes no new work, so that
	// MarkLeaving can tell the next process. It is called before a heartbeat or
	// deregistration is acknowledged, and again after it has failed. It may be nil.
	RecordLeaving func(context.Context, registrar.Registration) error
	Log           *logrus.Logger
}

// Enroller keeps the registration of the local backend server. Its methods are
// safe for concurrent use.
type Enroller struct {
	config Config

	// mu also serializes the calls of OnChange.
	mu        sync.Mutex
	registrar *registrar.Registrar
	// reported is the registration at the last check for changes.
	reported registrar.Registration
	leavings *leavings
}

// New returns an Enroller without a registration.
func New(config Config) *Enroller {
	return &Enroller{
		config: config,
		registrar: registrar.New(registrar.Config{
			Service:  config.Service,
			Address:  config.Address,
			Interval: config.Interval,
		}),
		leavings: newLeavings(),
	}
}

// Handler returns the HTTP handler of heartbeats and deregistrations.
func (e *Enroller) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+e.config.Protocol.HeartbeatPath+"{id}", e.handleHeartbeat)
	mux.HandleFunc("POST "+e.config.Protocol.DeregisterPath+"{id}", e.handleDeregister)
	return mux
}

// Run checks once per interval whether the backend server has stopped sending
// heartbeats, until ctx is done.
func (e *Enroller) Run(ctx context.Context) error {
	ticker := time.NewTicker(e.config.Interval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := time.Now()
			e.checkLease(now.Sub(last))
			e.recordLeaving(ctx)
			last = now
		}
	}
}

// checkLease reports whether the lease has expired. sinceLast is the time since the last
// check. If that was more than an interval late, this process stood still, and the silence of
// that time says nothing about the backend server.
func (e *Enroller) checkLease(sinceLast time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if late := sinceLast - e.config.Interval; late > e.config.Interval {
		e.registrar.ExtendLease(late)
	}
	e.reportChange("silence")
}

func (e *Enroller) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	beat, err := e.config.Protocol.DecodeHeartbeat(r.URL.Path, body)
	if err != nil {
		e.config.Log.WithError(err).Warn("cannot decode heartbeat")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	verdict := e.registrar.Heartbeat(time.Now(), beat)
	e.reportChange("heartbeat")
	e.mu.Unlock()
	e.recordLeaving(r.Context())
	if verdict != registrar.Taken {
		e.config.Log.WithFields(logrus.Fields{
			"backend":  beat.ID,
			"born":     beat.Born.UnixMilli(),
			"sequence": beat.Sequence,
			"state":    beat.State,
			"verdict":  verdict,
		}).Info("heartbeat passed over")
	}
	acknowledge(w)
}

func (e *Enroller) handleDeregister(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	id, born, err := e.config.Protocol.DecodeDeregistration(r.URL.Path, body)
	if err != nil {
		e.config.Log.WithError(err).Warn("cannot decode deregistration")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.registrar.Deregister(id, born)
	if !born.IsZero() {
		e.leavings.add(registrar.Registration{
			ID:      id,
			Born:    born,
			Leaving: true,
		})
	}
	e.reportChange("deregistration")
	e.mu.Unlock()
	e.recordLeaving(r.Context())
	acknowledge(w)
}

// MarkDraining records that a backend server takes no new work, as if it had reported so in a
// heartbeat.
func (e *Enroller) MarkDraining(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.registrar.MarkDraining(id)
	e.reportChange("answer")
}

// MarkLeaving records that a start of a backend server takes no new work, as an earlier
// process of this node knew.
func (e *Enroller) MarkLeaving(id string, born time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.registrar.MarkLeaving(id, born)
	e.reportChange("earlier process")
}

// recordLeaving calls RecordLeaving for each start that leaves and is not stored yet. An
// acknowledgement must not wait for a store that is away, so the calls have a timeout together.
func (e *Enroller) recordLeaving(ctx context.Context) {
	if e.config.RecordLeaving == nil || e.leavings.empty() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := e.leavings.store(ctx, e.config.RecordLeaving); err != nil {
		e.config.Log.WithError(err).Warn("cannot store that the backend server leaves; trying again")
	}
}

func sameStart(a, b registrar.Registration) bool {
	return a.ID == b.ID && a.Born.Equal(b.Born)
}

func acknowledge(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, "{}")
}

// reportChange logs the registration and calls OnChange if it has changed. The
// caller must hold e.mu.
func (e *Enroller) reportChange(cause string) {
	current := e.registrar.Current(time.Now())
	reported := e.reported
	e.reported = current
	if current.Leaving {
		e.leavings.add(current)
	}
	if sameStart(current, reported) && current.State == reported.State && current.Leaving == reported.Leaving && current.Slots == reported.Slots {
		return
	}
	e.config.Log.WithFields(logrus.Fields{
		"backend":  current.ID,
		"born":     current.Born.UnixMilli(),
		"cause":    cause,
		"sequence": current.Sequence,
		"slots":    current.Slots,
		"state":    current.State,
	}).Info("backend server registered")
	e.config.OnChange(current)
}
