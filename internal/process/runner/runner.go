// Package runner builds a node from its parts, runs them together and stops them in
// order.
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
	"runtime/debug"
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
	"github.com/laburnumshelf/laburnumshelf/internal/connection/screener"
	"github.com/laburnumshelf/laburnumshelf/internal/process/administrator"
	"github.com/laburnumshelf/laburnumshelf/internal/process/announcer"
	"github.com/laburnumshelf/laburnumshelf/internal/process/configurer"
	"github.com/laburnumshelf/laburnumshelf/internal/process/enroller"
	"github.com/laburnumshelf/laburnumshelf/internal/process/gatekeeper"
	"github.com/laburnumshelf/laburnumshelf/internal/process/quotalimiter"
	"github.com/laburnumshelf/laburnumshelf/internal/process/reclaimer"
	"github.com/laburnumshelf/laburnumshelf/internal/process/synchronizer"
	"github.com/laburnumshelf/laburnumshelf/internal/request/authenticator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/dispatcher"
	"github.com/laburnumshelf/laburnumshelf/internal/request/executor"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/router"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tallier"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tracker"
	"github.com/laburnumshelf/laburnumshelf/internal/request/weigher"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/follower"
	"github.com/laburnumshelf/laburnumshelf/internal/version/verifier"
	"github.com/laburnumshelf/laburnumshelf/internal/version/watcher"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
	"github.com/laburnumshelf/laburnumshelf/platform"
)

// Process parameters.
const (
	dialTimeout = time.Second
	// lingerTime is how long a draining node stays reachable, so that its
	// announcement reaches all other nodes.
	lingerTime = 3 * time.Second
)

// Node is the process that runs beside one backend server.
type Node struct {
	config configurer.Config
	log    *logrus.Logger
	self   *encoder.Member

	dispatcher   *dispatcher.Dispatcher
	executor     *executor.Executor
	recorder     *recorder.Recorder
	dialer       *dialer.Dialer
	acceptor     *acceptor.Acceptor
	forwarder    *forwarder.Forwarder
	follower     *follower.Follower
	announcer    *announcer.Announcer
	synchronizer *synchronizer.Synchronizer
	reclaimer    *reclaimer.Reclaimer
	// organisations holds the organisations of the settings in force by their keys.
	organisations *authenticator.Directory
	tally         *tallier.Tally
	// verifier tells whether the settings in force decide about keys.
	verifier *verifier.Verifier
	quotas   *quotalimiter.Limiter

	// store is nil without a store.
	store *platform.Store
	// watcher and enroller are nil outside the users' platform.
	watcher  *watcher.Watcher
	enroller *enroller.Enroller

	listeners listeners
	shares    shares
	// budget bounds the memory of the requests of all connections.
	budget      *weigher.Budget
	callHandler http.Handler
	// gate decides which requests of callers are passed on.
	gate *gatekeeper.Gatekeeper
	// stopTimeout is the longest duration of a graceful stop (the drain and the
	// shutdown of the servers), in nanoseconds.
	stopTimeout atomic.Int64
	// stopDeadline is the time by which a graceful stop must end, in nanoseconds
	// since 1970. It is 0 before the drain.
	stopDeadline atomic.Int64
	drainOnce    sync.Once
	// draining is closed when the drain starts.
	draining chan struct{}
}

// New opens the node's sockets and returns a node that does not run yet.
func New(config configurer.Config, log *logrus.Logger) (*Node, error) {
	opened, err := listen(config)
	if err != nil {
		return nil, errors.Wrap(err, "open sockets; is another process using the address?")
	}
	n := &Node{
		config:        config,
		log:           log,
		listeners:     opened,
		draining:      make(chan struct{}),
		gate:          gatekeeper.New(),
		reclaimer:     reclaimer.New(debug.FreeOSMemory),
		organisations: authenticator.NewDirectory(),
		tally:         tallier.New(),
		verifier:      verifier.New(time.Now()),
		shares:        newShares(descriptorLimit(), config.CallConnections),
		budget:        weigher.NewBudget(weigher.BudgetOf(config.MemoryMB)),
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

// assemble builds the parts of the node and connects them.
func (n *Node) assemble() {
	config := n.config
	store := n.openStore()
	seed := rand.NewPCG(n.self.GetIncarnation(), uint64(len(config.ID)))
	inbound := tracker.NewTable()
	n.follower = follower.New(n.settingsLog(store))
	n.recorder = recorder.New(n.log, config.ID, config.DecisionsKept)
	n.dialer = dialer.New(dialer.Config{
		Dial: dialer.NewTCPDialFunc(dialTimeout),
	})
	n.forwarder = forwarder.New(n.backendConfig())
	n.quotas = quotalimiter.New(quotalimiter.Config{
		Self: n.self,
		Send: func(to netip.AddrPort, packet *encoder.Packet) {
			n.announcer.SendQuota(to, packet)
		},
		Contacts: func() int {
			return n.announcer.ContactCount()
		},
		Settings: n.settings,
	})
	n.dispatcher = dispatcher.New(dispatcher.Config{
		NodeID:       config.ID,
		Zone:         config.Zone,
		Region:       config.Region,
		Transport:    n.transport(),
		IssueTokens:  config.Platform != nil,
		Throttle:     config.Platform != nil,
		Quota:        n.quotas,
		RouterLimits: n.routerLimits(),
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
		Budget:      n.budget,
		NewSuccessor: func() *encoder.Token {
			return n.dispatcher.NewToken(config.Service, config.ID)
		},
		Downstream: n.downstreamMonitor(),
		OnNotice:   n.applyNotice,
		BalancesByWork: func() bool {
			return n.dispatcher.SpeedsReported(time.Now()) || n.hasOrganisations(config.Service.Team)
		},
	})
	n.acceptor = acceptor.New(acceptor.Config{
		Executor: n.executor,
		Settings: n.follower.State,
		Budget:   n.budget,
	})
	n.announcer = announcer.New(announcer.Config{
		Self:     n.self,
		Conn:     n.listeners.udp,
		Store:    contactStore(store),
		Contacts: config.Contacts,
		OnChange: n.updateMember,
		OnVersion: func(version int64, member *encoder.Member) {
			n.synchronizer.ObserveVersion(version, member)
		},
		OnConfirmation: func(version int64, age time.Duration, member *encoder.Member) {
			n.synchronizer.ObserveConfirmation(version, age, member)
			n.confirmSettings(version, age)
		},
		OnFormerBackend: n.markFormerBackend,
		OnQuota:         n.quotas.Receive,
		StoreEra:        n.storeEra,
		OnEra:           n.reportEra,
		OnRestored:      n.reportRestoration,
		Rand:            rand.New(rand.NewPCG(n.self.GetIncarnation(), 1)),
	})
	n.synchronizer = synchronizer.New(synchronizer.Config{
		Self:      n.self,
		Follower:  n.follower,
		Fetch:     n.fetchSettings,
		Members:   n.announcer.Members,
		OnVersion: n.applyVersion,
		Confirm:   n.announcer.ConfirmVersion,
		Log:       n.log,
	})
	n.initCallHandler(inbound)
	if config.Platform != nil {
		n.assemblePlatform(store)
	}
}

// initCallHandler builds the handler of callers' requests and publishes the node's
// metrics.
func (n *Node) initCallHandler(inbound *tracker.Table) {
	expvarOnce.Do(func() {
		expvar.Publish("decisions", n.recorder.Var())
		expvar.Publish("callEnds", n.recorder.EndsVar())
		expvar.Publish("admission", n.dispatcher.AdmissionVar())
		expvar.Publish("callMicros", n.recorder.CallLatency.Var())
		expvar.Publish("runMicros", n.recorder.RunLatency.Var())
		expvar.Publish("quotas", expvar.Func(func() any {
			return n.quotas.Usages()
		}))
		expvar.Publish("badRecords", expvar.Func(func() any {
			return n.follower.BadRecords()
		}))
		expvar.Publish("organisations", expvar.Func(func() any {
			return n.organisationStatus()
		}))
		expvar.Publish("routeCosts", expvar.Func(func() any {
			return n.executor.RouteCosts()
		}))
	})
	calls := gateway.New(gateway.Config{
		Dispatcher: n,
		Inbound:    inbound,
		Settings:   n.settings,
	})
	n.callHandler = n.behindGate(calls)
}

// passedKey is the key of the request context whose value is a *bool, which Dispatch sets once
// the request has entered the gate.
type passedKey struct{}

// behindGate returns handler behind the gate. A request that was passed on leaves the gate when
// its answer is written.
func (n *Node) behindGate(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		passed := false
		defer func() {
			if passed {
				n.gate.Leave()
			}
		}()
		if n.gate.RefusesClients() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), passedKey{}, &passed)))
	})
}

// enterGate reports whether a caller's call may be passed on. It refuses those of clients while
// the node refuses them; on the users' platform they are told from calls of the backend server
// by the route.
func (n *Node) enterGate(ctx context.Context, call *caller.Call) bool {
	internal := n.config.Platform == nil || n.dispatcher.IsInternal(call.Route)
	if !n.gate.Enter(call.Deadline, internal) {
		return false
	}
	if passed, ok := ctx.Value(passedKey{}).(*bool); ok {
		*passed = true
	}
	return true
}

// expvarOnce publishes only the metrics of the first node in a process. Their names
// are process-wide, and tests run several nodes.
var expvarOnce sync.Once

// settings returns the settings in force.
func (n *Node) settings() *describer.Settings {
	return n.follower.State().Settings()
}

// updateMember passes the new announcement of a member to the dispatcher and logs it.
func (n *Node) updateMember(member *encoder.Member) {
	n.dispatcher.Update(member)
	n.quotas.Update(member)
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

// applyNotice logs a change in what the backend server says of itself, and announces a backend
// server that leaves.
func (n *Node) applyNotice(change executor.NoticeChange) {
	if change.Leaving {
		n.log.WithFields(logrus.Fields{
			"backend": change.Instance,
			"request": change.RequestID,
		}).Info("backend server says that it leaves")
		n.enroller.MarkDraining(change.Instance)
		return
	}
	n.log.WithFields(logrus.Fields{
		"backend":   change.Instance,
		"rateLimit": change.RateLimit,
		"request":   change.RequestID,
		"source":    change.Source,
	}).Info("backend server changed its rate limit")
}

// largeSettingsBytes is the size of settings whose decoding takes memory that is worth
// returning to the operating system.
const largeSettingsBytes = 64 << 10

// applyVersion announces a new settings version and applies it at the executor.
func (n *Node) applyVersion(version int64) {
	n.organisations.Apply(n.settings())
	n.announcer.SetVersion(version)
	n.quotas.ApplySettings()
	n.executor.Reconfigure()
	if n.follower.State().Size() >= largeSettingsBytes {
		n.reclaimer.Schedule()
	}
}

// fetchSettings requests the settings that changed since version from a member.
func (n *Node) fetchSettings(ctx context.Context, member *encoder.Member, version int64) (*encoder.Snapshot, error) {
	address, err := netip.ParseAddrPort(member.GetPeerAddress())
	if err != nil {
		return nil, errors.Wrapf(err, "parse peer address of member %s", member.GetId())
	}
	stream, err := n.dialer.OpenStream(ctx, address)
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
		return nil, errors.Wrap(err, "request settings")
	}
	snapshot := &encoder.Snapshot{}
	return snapshot, errors.Wrap(encoder.ReadFrame(stream, snapshot), "receive settings")
}

// Dispatch makes a caller's call. A draining node refuses new requests of clients, but
// still makes the calls of its backend server, because requests that run there depend
// on them. On the users' platform, it refuses clients' requests only after the linger time, and
// those that may outlive the stop a little earlier.
func (n *Node) Dispatch(ctx context.Context, call *caller.Call) *caller.Answer {
	select {
	case <-n.draining:
		if call.Hop == 0 && call.ParentID == "" && n.config.Platform == nil {
			return caller.NewFailure(caller.NotRun, caller.ReasonLeaving)
		}
	default:
	}
	if !n.enterGate(ctx, call) {
		answer := caller.NewFailure(caller.NotRun, caller.ReasonLeaving)
		answer.RetryAfter = leavingRetryAfter
		return answer
	}
	return n.dispatcher.Dispatch(ctx, call)
}

// Run serves until ctx is done or the node has drained. If ctx is done first, open
// calls are cut off.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	n.addServer(&group, n.listeners.calls, n.callHandler, n.callScreen())
	n.addServer(&group, n.listeners.admin, administrator.New(n), n.localScreen(adminServeTimeout))
	peers := screener.NewForSessions(n.listeners.peers, n.shares.peers)
	group.Add(func() error {
		return n.acceptor.Serve(peers)
	}, func(error) {
		peers.Close()
		ctx, cancel := context.WithDeadline(ctx, n.shutdownDeadline())
		defer cancel()
		n.acceptor.Shutdown(ctx)
	})
	group.Add(func() error {
		return n.announcer.Run(ctx)
	}, func(error) {
		cancel()
		n.listeners.udp.Close()
	})
	group.Add(func() error {
		return n.quotas.Run(ctx)
	}, func(error) {
		cancel()
	})
	if n.config.Platform != nil {
		n.addPlatformActors(ctx, cancel, &group)
	}
	group.Add(func() error {
		return n.synchronizer.Run(ctx)
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
