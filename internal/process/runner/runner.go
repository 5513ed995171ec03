// Package runner assembles a node from its parts, runs them together and stops
// them in order.
//
// # Usage
//
//	node, err := runner.New(config, logger)
//	err = node.Run(ctx)
//	node.Drain()
package runner

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/acceptor"
	"github.com/laburnumshelf/laburnumshelf/internal/connection/dialer"
	"github.com/laburnumshelf/laburnumshelf/internal/connection/forwarder"
	"github.com/laburnumshelf/laburnumshelf/internal/connection/gateway"
	"github.com/laburnumshelf/laburnumshelf/internal/platform/logclient"
	"github.com/laburnumshelf/laburnumshelf/internal/process/administrator"
	"github.com/laburnumshelf/laburnumshelf/internal/process/announcer"
	"github.com/laburnumshelf/laburnumshelf/internal/process/configurer"
	"github.com/laburnumshelf/laburnumshelf/internal/process/enroller"
	"github.com/laburnumshelf/laburnumshelf/internal/process/synchronizer"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/dispatcher"
	"github.com/laburnumshelf/laburnumshelf/internal/request/executor"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/router"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tracker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/follower"
	"github.com/laburnumshelf/laburnumshelf/internal/version/watcher"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
	"github.com/laburnumshelf/laburnumshelf/platform"
)

// Process parameters.
const (
	dialTimeout = time.Second
	// leaveTime is the time for which a leaving node stays reachable, so that
	// its announcement arrives everywhere.
	leaveTime = 3 * time.Second
)

// Node is one process beside a backend server.
type Node struct {
	config configurer.Config
	log    *logrus.Logger
	self   *encoder.Member

	dispatcher *dispatcher.Dispatcher
	executor   *executor.Executor
	recorder   *recorder.Recorder
	dialer     *dialer.Dialer
	acceptor   *acceptor.Acceptor
	forwarder  *forwarder.Forwarder
	follower   *follower.Follower
	announcer  *announcer.Announcer
	sync       *synchronizer.Synchronizer

	// watcher and enroller run on the users' platform only.
	watcher  *watcher.Watcher
	enroller *enroller.Enroller

	listeners   listeners
	callHandler http.Handler
	// openCalls counts the callers' requests that are not answered in full.
	openCalls atomic.Int64
	// stopTimeout bounds a drain, in nanoseconds.
	stopTimeout atomic.Int64
	// stopBy is when a drain has to have ended, in nanoseconds since 1970; 0
	// before the drain.
	stopBy    atomic.Int64
	drainOnce sync.Once
	// callServer serves callers, and closing tells that it takes no new requests
	// any more.
	callServer *http.Server
	closing    atomic.Bool
	draining   chan struct{}
}

// New returns a node whose sockets are open.
func New(config configurer.Config, log *logrus.Logger) (*Node, error) {
	opened, err := listen(config)
	if err != nil {
		return nil, errors.Wrap(err, "open sockets; is another process using the address?")
	}
	n := &Node{
		config:    config,
		log:       log,
		listeners: opened,
		draining:  make(chan struct{}),
		self: &encoder.Member{
			Id:          config.ID,
			Incarnation: uint64(time.Now().UnixNano()),
			Region:      config.Region,
			Zone:        config.Zone,
			PeerAddress: config.PeerAddress.String(),
			HttpAddress: config.AdminAddress.String(),
			Team:        config.Service.Team,
			Service:     config.Service.Name,
			Slots:       uint32(config.Slots),
			Registers:   config.Platform != nil,
		},
	}
	n.stopTimeout.Store(int64(config.StopTimeout))
	n.assemble()
	return n, nil
}

// assemble builds the parts from the request to the process.
func (n *Node) assemble() {
	config := n.config
	var store logclient.Store
	if config.LogURL != "" {
		store = platform.NewStore(config.LogURL)
	}
	seed := rand.NewPCG(n.self.GetIncarnation(), uint64(len(config.ID)))
	inbound := tracker.NewTable()
	n.follower = follower.New(n.settingsLog(store))
	n.recorder = recorder.New(n.log, config.ID, config.DecisionsKept)
	n.dialer = dialer.New(dialer.Config{
		Dial: dialer.TCP(dialTimeout),
	})
	n.forwarder = forwarder.New(n.backendConfig())
	n.dispatcher = dispatcher.New(dispatcher.Config{
		NodeID:       config.ID,
		Zone:         config.Zone,
		Region:       config.Region,
		Transport:    n.transport(),
		IssueTokens:  config.Platform != nil,
		Throttle:     config.Platform != nil,
		RouterLimits: n.routing(),
		Recorder:     n.recorder,
		Inbound:      inbound,
		Settings:     n.settings,
		Rand:         rand.New(seed),
	})
	n.executor = executor.New(executor.Config{
		ID:          config.ID,
		Incarnation: n.self.GetIncarnation(),
		Service:     config.Service,
		Slots:       config.Slots,
		Registers:   config.Platform != nil,
		Backend:     n.forwarder,
		Recorder:    n.recorder,
		Inbound:     inbound,
		Settings:    n.settings,
		NewSuccessor: func() *encoder.Token {
			return n.dispatcher.NewToken(config.Service, config.ID)
		},
		Downstream: n.below(),
	})
	n.acceptor = acceptor.New(acceptor.Config{
		Calls:    n.executor,
		Settings: n.follower.State,
	})
	n.announcer = announcer.New(announcer.Config{
		Self:     n.self,
		Conn:     n.listeners.udp,
		Store:    contacts(store),
		Contacts: config.Contacts,
		OnChange: n.place,
		OnVersion: func(version int64, member *encoder.Member) {
			n.sync.ObserveVersion(version, member)
		},
		Rand: rand.New(rand.NewPCG(n.self.GetIncarnation(), 1)),
	})
	n.sync = synchronizer.New(synchronizer.Config{
		Self:      n.self,
		Follower:  n.follower,
		Fetch:     n.fetch,
		Members:   n.announcer.Members,
		OnVersion: n.versionRose,
		Log:       n.log,
	})
	n.handleCalls(inbound)
	if config.Platform != nil {
		n.assemblePlatform(store)
	}
}

func (n *Node) handleCalls(inbound *tracker.Table) {
	expvarOnce.Do(func() {
		expvar.Publish("decisions", n.recorder.Var())
		expvar.Publish("callMicros", n.recorder.CallLatency.Var())
		expvar.Publish("runMicros", n.recorder.RunLatency.Var())
		expvar.Publish("badRecords", expvar.Func(func() any {
			return n.follower.BadRecords()
		}))
	})
	calls := gateway.New(gateway.Config{
		Calls:    n,
		Inbound:  inbound,
		Settings: n.settings,
	})
	n.callHandler = n.counted(calls)
}

// counted counts the open requests of a handler.
func (n *Node) counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.openCalls.Add(1)
		defer n.openCalls.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

// expvarOnce guards the process-wide name when tests run several nodes.
var expvarOnce sync.Once

func (n *Node) settings() *describer.Settings {
	return n.follower.State().Settings()
}

// place takes a member's change into routing and logs it.
func (n *Node) place(member *encoder.Member) {
	n.dispatcher.Update(member)
	n.log.WithFields(logrus.Fields{
		"action":      recorder.Place.String(),
		"incarnation": member.GetIncarnation(),
		"member":      member.GetId(),
		"revision":    member.GetRevision(),
		"service":     router.ServiceOf(member).String(),
		"state":       member.GetState().String(),
		"zone":        member.GetZone(),
	}).Info("decision")
}

func (n *Node) versionRose(version int64) {
	n.announcer.SetVersion(version)
	n.executor.Reconfigure()
}

// fetch asks a member for the settings that changed since version.
func (n *Node) fetch(ctx context.Context, member *encoder.Member, version int64) (*encoder.Snapshot, error) {
	address, err := netip.ParseAddrPort(member.GetPeerAddress())
	if err != nil {
		return nil, errors.Wrapf(err, "address of member %s", member.GetId())
	}
	stream, err := n.dialer.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	if deadline, ok := ctx.Deadline(); ok {
		stream.SetDeadline(deadline)
	}
	head := &encoder.StreamHead{
		Kind: &encoder.StreamHead_Settings{
			Settings: &encoder.SettingsRequest{
				Version: version,
			},
		},
	}
	if err := encoder.WriteFrame(stream, head); err != nil {
		return nil, errors.Wrap(err, "ask for settings")
	}
	snapshot := &encoder.Snapshot{}
	return snapshot, errors.Wrap(encoder.ReadFrame(stream, snapshot), "receive settings")
}

// Dispatch makes a caller's call. A leaving node takes no requests from outside,
// but the calls of the requests that still run at its backend server.
func (n *Node) Dispatch(ctx context.Context, call *caller.Call) *caller.Answer {
	select {
	case <-n.draining:
		if call.Hop == 0 && call.ParentID == "" && n.config.Platform == nil {
			return caller.NewRefusal(caller.NotRun, caller.ReasonLeaving)
		}
	default:
	}
	if n.closing.Load() && !n.dispatcher.IsInternal(call.Route) {
		answer := caller.NewRefusal(caller.NotRun, caller.ReasonLeaving)
		answer.RetryAfter = leavingRetryAfter
		return answer
	}
	return n.dispatcher.Dispatch(ctx, call)
}

// Run serves until the context ends or the node has drained. When the context
// ends first, open calls are cut.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	n.callServer = n.addServer(&group, n.listeners.calls, n.callHandler)
	n.addServer(&group, n.listeners.admin, administrator.New(n))
	group.Add(func() error {
		return n.acceptor.Serve(n.listeners.peers)
	}, func(error) {
		n.acceptor.Close()
		n.listeners.peers.Close()
	})
	group.Add(func() error {
		return n.announcer.Run(ctx)
	}, func(error) {
		cancel()
		n.listeners.udp.Close()
	})
	if n.config.Platform != nil {
		n.addPlatform(ctx, cancel, &group)
	}
	group.Add(func() error {
		return n.sync.Run(ctx)
	}, func(error) {
		cancel()
	})
	group.Add(func() error {
		return n.awaitDrain(ctx)
	}, func(error) {
		cancel()
	})
	n.log.WithFields(logrus.Fields{
		"calls": n.config.CallAddress,
		"admin": n.config.AdminAddress,
		"peers": n.config.PeerAddress,
		"node":  n.config.ID,
	}).Info("node started")
	err := group.Run()
	n.dialer.Close()
	n.forwarder.Close()
	return err
}
