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
	"github.com/laburnumshelf/laburnumshelf/internal/platform/logclient"
	"github.com/laburnumshelf/laburnumshelf/internal/process/enroller"
	"github.com/laburnumshelf/laburnumshelf/internal/process/registrar"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/executor"
	"github.com/laburnumshelf/laburnumshelf/internal/request/router"
	"github.com/laburnumshelf/laburnumshelf/internal/version/watcher"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
	"github.com/laburnumshelf/laburnumshelf/platform"
)

// readAheadBytes is the size up to which an answer is read whole before it is
// passed on; nearly all answers on the platform are smaller.
const readAheadBytes = 64 << 10

// leavingRetryAfter is what a caller is told to wait that reaches a node at its
// end; other nodes serve at once.
const leavingRetryAfter = 100 * time.Millisecond

// cancelGrace is half of the time after which a backend server must not work for
// a client that has left.
const cancelGrace = 250 * time.Millisecond

// The utilizations from which a target's zone and its region are left. Bytes
// between regions cost five times those between zones; a call between regions
// costs about a tenth of the least request that depends on it.
const (
	platformSpill       = 0.75
	platformRegionSpill = 2.0
)

// settingsLog returns the log with the product's own settings stream. On the
// users' platform the operator's table takes its place.
func (n *Node) settingsLog(store logclient.Store) logclient.Log {
	if n.config.Platform != nil || store == nil {
		return nil
	}
	return store
}

// contacts returns the tables of the store, or nil without one.
func contacts(store logclient.Store) logclient.Table {
	if store == nil {
		return nil
	}
	return store
}

// backendConfig returns how the local backend server is reached.
func (n *Node) backendConfig() forwarder.Config {
	config := forwarder.Config{
		Address:     n.config.BackendAddress,
		Connections: n.config.Connections,
		Dial:        forwarder.Dial(dialTimeout),
		Dialect:     labeler.Own(),
	}
	if n.config.Platform != nil {
		config.Dialect = platform.Headers()
		config.ReadAhead = readAheadBytes
		config.CancelGrace = cancelGrace
	}
	return config
}

// transport returns how calls reach the nodes beside their targets.
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

// routing returns how targets are chosen.
func (n *Node) routing() router.Limits {
	if n.config.Platform == nil {
		return router.DefaultLimits()
	}
	return router.Limits{
		ZoneSpillover:   platformSpill,
		RegionSpillover: platformRegionSpill,
	}
}

// assemblePlatform builds the parts that only the users' platform needs.
func (n *Node) assemblePlatform(store logclient.Store) {
	calls := receiver.New(receiver.Config{
		Calls:    n,
		Dialect:  platform.Headers(),
		Settings: n.settings,
		Recorder: n.recorder,
		Service:  n.config.Service,
	})
	n.callHandler = n.counted(calls)
	n.watcher = watcher.New(watcher.Config{
		Source: platform.NewConfigSource(store, n.config.Service.Team),
		Adopt:  n.follower.Adopt,
		Version: func() int64 {
			return n.follower.State().Version
		},
		OnVersion: n.sync.ReportVersion,
		Patient:   n.hasReader,
		Log:       n.log,
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
		Log:      n.log,
	})
}

// below returns what is known of the calls of the backend server. On the users'
// platform they do not name the call that they are made for.
func (n *Node) below() executor.DownstreamMonitor {
	if n.config.Platform == nil {
		return nil
	}
	return n.dispatcher
}

// hasReader reports whether another node of the zone waits briefly for changes
// of the operator's settings; its version is heard of by gossip.
func (n *Node) hasReader() bool {
	return n.sync.ZoneRank() > 0
}

// addPlatform adds what runs only on the users' platform.
func (n *Node) addPlatform(ctx context.Context, cancel context.CancelFunc, group *run.Group) {
	n.addServer(group, n.listeners.readiness, http.HandlerFunc(n.answerReadiness))
	n.addServer(group, n.listeners.registry, n.enroller.Handler())
	for _, runnable := range []func(context.Context) error{n.watcher.Run, n.enroller.Run} {
		group.Add(func() error {
			return runnable(ctx)
		}, func(error) {
			cancel()
		})
	}
}

// setBackend puts a registration in force: first at this node, which alone can
// reach the backend server, then by the members' announcements.
func (n *Node) setBackend(registration registrar.Registration) {
	instance := ""
	state := encoder.BackendState_BACKEND_GONE
	switch registration.State {
	case registrar.Ready:
		instance = registration.ID
		state = encoder.BackendState_BACKEND_READY
	case registrar.Draining:
		state = encoder.BackendState_BACKEND_DRAINING
	}
	n.executor.SetBackend(instance, registration.Slots)
	n.announcer.SetBackend(&encoder.Backend{
		Id:            registration.ID,
		BornUnixMilli: registration.Born.UnixMilli(),
		Sequence:      registration.Sequence,
		State:         state,
		WarmUnixMilli: registration.WarmAt.UnixMilli(),
	}, uint32(registration.Slots))
}

// answerReadiness tells the platform whether the node can route requests.
func (n *Node) answerReadiness(w http.ResponseWriter, r *http.Request) {
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

// ready reports whether the node knows settings and a target, and does not leave.
func (n *Node) ready() bool {
	select {
	case <-n.draining:
		return false
	default:
	}
	return n.settings().Version > 0 && n.dispatcher.TargetCount() > 0
}
