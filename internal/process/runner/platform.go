package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/oklog/run"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/dialer"
	"github.com/laburnumshelf/laburnumshelf/internal/connection/forwarder"
	"github.com/laburnumshelf/laburnumshelf/internal/connection/labeler"
	"github.com/laburnumshelf/laburnumshelf/internal/connection/receiver"
	"github.com/laburnumshelf/laburnumshelf/internal/process/enroller"
	"github.com/laburnumshelf/laburnumshelf/internal/process/registrar"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/executor"
	"github.com/laburnumshelf/laburnumshelf/internal/request/router"
	"github.com/laburnumshelf/laburnumshelf/internal/version/watcher"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/logclient"
	"github.com/laburnumshelf/laburnumshelf/platform"
)

// maxBufferedBytes is the largest answer body that is read completely before it is
// forwarded. Nearly all answers on the platform are smaller.
const maxBufferedBytes = 64 << 10

// leavingRetryAfter is the retry delay sent to a caller whose request a draining node
// refuses on the users' platform. It is short because other nodes serve the request at
// once.
const leavingRetryAfter = 100 * time.Millisecond

// cancelGrace is how long a node still waits for the answer to a canceled call. It
// is half of the time after which a backend server must no longer work for a client
// that has disconnected.
const cancelGrace = 250 * time.Millisecond

// The utilizations from which calls spill over to targets in other zones and in
// other regions. A byte sent between regions costs five times as much as one sent
// between zones, but a region is left before the entry refuses requests because its
// targets are full (see throttler.Policy).
const (
	platformZoneSpillover   = 0.75
	platformRegionSpillover = 1.0
)

// settingsLog returns the log that holds the settings stream, or nil if there is none.
// On the users' platform, settings come from the operator's table instead.
func (n *Node) settingsLog(store logclient.Store) logclient.Log {
	if n.config.Platform != nil || store == nil {
		return nil
	}
	return store
}

// contactStore returns the store as a logclient.Table for the announcer. It returns a
// nil interface without a store.
func contactStore(store logclient.Store) logclient.Tables {
	if store == nil {
		return nil
	}
	return store
}

// backendConfig returns the parameters of calls to the local backend server.
func (n *Node) backendConfig() forwarder.Config {
	config := forwarder.Config{
		Address:        n.config.BackendAddress,
		MaxConnections: n.config.Connections,
		Dial:           forwarder.NewDialFunc(dialTimeout),
		Dialect:        labeler.NativeDialect(),
	}
	if n.config.Platform != nil {
		config.Dialect = platform.Dialect()
		config.MaxBufferedBytes = maxBufferedBytes
		config.CancelGrace = cancelGrace
		config.HasOrganisations = n.hasOrganisations
	}
	return config
}

// transport returns the transport that carries calls to the nodes of their targets.
// On the users' platform, a call to this node itself needs no session.
func (n *Node) transport() caller.Transport {
	if n.config.Platform == nil {
		return n.dialer
	}
	return &dialer.Local{
		ID: n.config.ID,
		Executor: func() dialer.Executor {
			return n.executor
		},
		Remote: n.dialer,
	}
}

// routerLimits returns the utilizations from which the router tries targets farther
// away.
func (n *Node) routerLimits() router.Limits {
	if n.config.Platform == nil {
		return router.DefaultLimits()
	}
	return router.Limits{
		ZoneSpillover:   platformZoneSpillover,
		RegionSpillover: platformRegionSpillover,
	}
}

// assemblePlatform builds the parts that only the users' platform needs. It replaces
// the call handler by one that reads the platform's headers.
func (n *Node) assemblePlatform(store logclient.Store) {
	calls := receiver.New(receiver.Config{
		Dispatcher: n,
		Dialect:    platform.Dialect(),
		Settings:   n.settings,
		Recorder:   n.recorder,
		Service:    n.config.Service,
		Directory:  n.organisations,
		Tally:      n.tally,
		Reliable: func() bool {
			return n.verifier.Reliable(time.Now())
		},
	})
	n.callHandler = n.behindGate(calls)
	n.watcher = watcher.New(watcher.Config{
		Source:        platform.NewConfigSource(store, n.config.Service.Team),
		ApplyDocument: n.follower.ApplyDocument,
		Version: func() int64 {
			return n.follower.State().Version
		},
		Position: func() int64 {
			return n.follower.State().Position()
		},
		OnAvailability: func(available bool) {
			n.announcer.SetStoreLost(!available)
		},
		OnVersion: n.synchronizer.ReportVersion,
		OnLeftOut: n.follower.LeaveOut,
		OnRead: func(asOf time.Time) {
			n.synchronizer.ReportRead(asOf)
			n.verifier.Confirm(asOf)
		},
		OnFailure:  n.verifier.RecordFailure,
		ReadReason: n.synchronizer.ReadReason,
		Log:        n.log,
	})
	n.enroller = enroller.New(enroller.Config{
		Protocol: enroller.Protocol{
			HeartbeatPath:        platform.HeartbeatPath,
			DeregisterPath:       platform.DeregisterPath,
			DecodeHeartbeat:      platform.DecodeHeartbeat,
			DecodeDeregistration: platform.DecodeDeregistration,
		},
		Service:  n.config.Service.Name,
		Address:  n.config.BackendAddress,
		Interval: n.config.Platform.HeartbeatInterval,
		OnChange: n.setBackend,
		RecordLeaving: func(ctx context.Context, registration registrar.Registration) error {
			return n.announcer.RecordLeaving(ctx, backendOf(registration))
		},
		Log: n.log,
	})
}

// downstreamMonitor returns what observes the calls that the backend server makes.
// It returns nil outside the users' platform, where each of these calls names the
// call that it is made for.
func (n *Node) downstreamMonitor() executor.DownstreamMonitor {
	if n.config.Platform == nil {
		return nil
	}
	return n.dispatcher
}

// addPlatformActors adds the servers and loops that run only on the users' platform.
func (n *Node) addPlatformActors(ctx context.Context, cancel context.CancelFunc, group *run.Group) {
	n.addServer(group, n.listeners.readiness, http.HandlerFunc(n.handleReadiness), n.localScreen(localServeTimeout))
	n.addServer(group, n.listeners.registry, n.enroller.Handler(), n.localScreen(localServeTimeout))
	for _, loop := range []func(context.Context) error{n.watcher.Run, n.enroller.Run, n.runVerifier} {
		group.Add(func() error {
			return loop(ctx)
		}, func(error) {
			cancel()
		})
	}
}

// setBackend puts a registration in force at this node and then announces it to the
// other members. The node itself comes first, because calls reach the backend server
// only through it.
func (n *Node) setBackend(registration registrar.Registration) {
	instance := ""
	if registration.State == registrar.Ready {
		instance = registration.ID
	}
	n.executor.SetBackend(instance, registration.Born, registration.Slots)
	n.announcer.SetBackend(backendOf(registration), uint32(registration.Slots))
}

// backendOf returns what a node announces of a registration.
func backendOf(registration registrar.Registration) *encoder.Backend {
	state := encoder.BackendState_BACKEND_GONE
	switch registration.State {
	case registrar.Ready:
		state = encoder.BackendState_BACKEND_READY
	case registrar.Draining:
		state = encoder.BackendState_BACKEND_DRAINING
	}
	return &encoder.Backend{
		Id:            registration.ID,
		BornUnixMilli: registration.Born.UnixMilli(),
		Sequence:      registration.Sequence,
		State:         state,
		WarmUnixMilli: registration.WarmAt.UnixMilli(),
		Leaving:       registration.Leaving,
	}
}

// markFormerBackend applies what the store or another member tells of a backend server that
// left while an earlier process of this node ran.
func (n *Node) markFormerBackend(backend *encoder.Backend) {
	if n.enroller == nil {
		return
	}
	n.enroller.MarkLeaving(backend.GetId(), time.UnixMilli(backend.GetBornUnixMilli()))
}

// handleReadiness answers the platform's readiness probe: 200 if the node can route
// requests, 503 if not.
func (n *Node) handleReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadinessPath {
		http.NotFound(w, r)
		return
	}
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether the node has settings, knows a target and is not draining.
func (n *Node) ready() bool {
	select {
	case <-n.draining:
		return false
	default:
	}
	return n.settings().Version > 0 && n.dispatcher.TargetCount() > 0
}
