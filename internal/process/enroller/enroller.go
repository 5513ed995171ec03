// Package enroller serves the heartbeats of the local backend server and tells
// its owner when the backend server in force changes.
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

// maxBodyBytes bounds a heartbeat.
const maxBodyBytes = 64 << 10

// Protocol is how backend servers speak to their node.
type Protocol struct {
	// HeartbeatPath and DeregisterPath are prefixes of paths that end with the
	// backend server's ID.
	HeartbeatPath        string
	DeregisterPath       string
	DecodeHeartbeat      func(path string, body []byte) (registrar.Heartbeat, error)
	DecodeDeregistration func(path string, body []byte) (string, time.Time, error)
}

// Config is what an Enroller needs.
type Config struct {
	Protocol Protocol
	// Service, Address and Interval are the local backend server's.
	Service  string
	Address  netip.AddrPort
	Interval time.Duration
	// OnChange is called with each registration that differs in more than its
	// sequence number, before its heartbeat is acknowledged.
	OnChange func(registrar.Registration)
	Log      *logrus.Logger
}

// Enroller keeps the registration of the local backend server. Its methods are
// safe for concurrent use.
type Enroller struct {
	config Config

	// mu also orders the calls of OnChange.
	mu        sync.Mutex
	registrar *registrar.Registrar
	told      registrar.Registration
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
	}
}

// Handler returns the handler of heartbeats.
func (e *Enroller) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+e.config.Protocol.HeartbeatPath+"{id}", e.heartbeat)
	mux.HandleFunc("POST "+e.config.Protocol.DeregisterPath+"{id}", e.deregister)
	return mux
}

// Run notices a backend server that falls silent, until ctx ends.
func (e *Enroller) Run(ctx context.Context) error {
	ticker := time.NewTicker(e.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.mu.Lock()
			e.tell("silence")
			e.mu.Unlock()
		}
	}
}

func (e *Enroller) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	beat, err := e.config.Protocol.DecodeHeartbeat(r.URL.Path, body)
	if err != nil {
		e.config.Log.WithError(err).Warn("heartbeat not read")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	verdict := e.registrar.Heartbeat(time.Now(), beat)
	e.tell("heartbeat")
	e.mu.Unlock()
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

func (e *Enroller) deregister(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	id, born, err := e.config.Protocol.DecodeDeregistration(r.URL.Path, body)
	if err != nil {
		e.config.Log.WithError(err).Warn("deregistration not read")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.registrar.Deregister(id, born)
	e.tell("deregistration")
	e.mu.Unlock()
	acknowledge(w)
}

func acknowledge(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, "{}")
}

// tell passes the registration on when it changed; e.mu is held.
func (e *Enroller) tell(cause string) {
	current := e.registrar.Current(time.Now())
	told := e.told
	e.told = current
	if current.ID == told.ID && current.Born.Equal(told.Born) && current.State == told.State && current.Slots == told.Slots {
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
