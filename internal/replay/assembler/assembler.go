// Package assembler builds a fleet of nodes in one process. It replaces the
// transport between nodes: calls between nodes are function calls with the
// latencies of the trace, and no socket is opened. Routing, admission, retries and
// membership are the code of the real node.
//
// # Usage
//
//	fleet := assembler.New(ctx, trace, assembler.Switches{})
//	measurements := driver.Run(ctx, trace, fleet, nil)
package assembler

import (
	"context"
	"io"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/process/gossiper"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/driver"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/responder"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/tracer"
	"github.com/laburnumshelf/laburnumshelf/internal/request/admitter"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/deduplicator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/dispatcher"
	"github.com/laburnumshelf/laburnumshelf/internal/request/executor"
	"github.com/laburnumshelf/laburnumshelf/internal/request/initiator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/router"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tracker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Switches turns off single mechanisms.
type Switches struct {
	Admitter   admitter.Switches
	Router     router.Switches
	Dispatcher dispatcher.Switches
}

// decisionsKept is the number of requests whose decisions each node keeps. It is
// small because nobody reads the decisions of a replay.
const decisionsKept = 16

// Fleet is a fleet whose nodes run in one process.
type Fleet struct {
	ctx        context.Context
	trace      *tracer.Trace
	switches   Switches
	settings   *describer.Settings
	runCounter *responder.RunCounter

	// tablesMu guards the membership tables of all nodes. Lock it before mu.
	tablesMu sync.Mutex

	mu     sync.Mutex
	rng    *rand.Rand
	nodes  []*node
	byID   map[string]*node
	byAddr map[netip.AddrPort]*node
	// retired holds the recorders of stopped nodes.
	retired []*recorder.Recorder
}

var _ driver.Fleet = (*Fleet)(nil)

// node is one node with its simulated backend server.
type node struct {
	fleet      *Fleet
	placement  placement
	service    tracer.Service
	member     *encoder.Member
	server     *responder.Server
	table      *gossiper.Table
	inbound    *tracker.Table
	recorder   *recorder.Recorder
	dispatcher *dispatcher.Dispatcher
	executor   *executor.Executor
	// alive is canceled when the node is killed.
	alive context.Context
	kill  context.CancelFunc
	// thawed is closed when the node is unfrozen. It is nil unless the node is
	// frozen.
	thawed chan struct{}
	// leaving is true once the node drains.
	leaving bool
}

// placement is the region, the zone and the target number of a node.
type placement struct {
	region int
	zone   int
	index  int
}

// New starts a fleet for the trace and runs enough gossip ticks for the members to
// learn of each other. The fleet stops when ctx ends.
func New(ctx context.Context, trace *tracer.Trace, switches Switches) *Fleet {
	f := &Fleet{
		ctx:        ctx,
		trace:      trace,
		switches:   switches,
		settings:   trace.Settings(),
		runCounter: responder.NewRunCounter(),
		rng:        rand.New(rand.NewPCG(trace.Seed, 7)),
		byID:       make(map[string]*node),
		byAddr:     make(map[netip.AddrPort]*node),
	}
	for _, service := range trace.Services {
		for i := range service.Targets {
			region := i % len(trace.Regions)
			f.start(service, placement{
				region: region,
				zone:   i / len(trace.Regions) % len(trace.Regions[region].Zones),
				index:  i,
			}, nil)
		}
	}
	const initialTicks = 100
	for range initialTicks {
		f.gossip()
	}
	go f.gossipLoop()
	return f
}

// start adds a node. It creates a backend server if server is nil.
func (f *Fleet) start(service tracer.Service, at placement, server *responder.Server) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	number := len(f.byAddr) + 1
	region := f.trace.Regions[at.region]
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(number >> 16), byte(number >> 8), byte(number)}), 7946)
	n := &node{
		fleet:     f,
		placement: at,
		service:   service,
		server:    server,
		inbound:   tracker.NewTable(),
		member: &encoder.Member{
			Id:          service.Name.Name + "-" + strconv.Itoa(at.index),
			Incarnation: uint64(time.Now().UnixNano()),
			Region:      region.Name,
			Zone:        region.Zones[at.zone],
			PeerAddress: address.String(),
			Team:        service.Name.Team,
			Service:     service.Name.Name,
			Slots:       uint32(service.Slots),
		},
	}
	if n.server == nil {
		n.server = responder.New(service, f.runCounter, f.rng.Uint64())
	}
	n.alive, n.kill = context.WithCancel(f.ctx)
	n.assemble(f.rng.Uint64())
	for _, other := range f.nodes {
		n.table.AddContacts(other.address())
	}
	f.nodes = append(f.nodes, n)
	f.byID[n.member.GetId()] = n
	f.byAddr[address] = n
	return n
}

// address returns the peer address.
func (n *node) address() netip.AddrPort {
	return netip.MustParseAddrPort(n.member.GetPeerAddress())
}

// settings returns the settings in force.
func (n *node) settings() *describer.Settings {
	return n.fleet.settings
}

// assemble creates the components of the node.
func (n *node) assemble(seed uint64) {
	f := n.fleet
	n.recorder = recorder.New(nil, n.member.GetId(), decisionsKept)
	n.table = gossiper.New(gossiper.Config{
		Self: n.member,
		Rand: rand.New(rand.NewPCG(seed, 1)),
	})
	n.dispatcher = dispatcher.New(dispatcher.Config{
		NodeID: n.member.GetId(),
		Zone:   n.member.GetZone(),
		Region: n.member.GetRegion(),
		Transport: transport{
			from: n,
		},
		Recorder:       n.recorder,
		Inbound:        n.inbound,
		Settings:       n.settings,
		RouterSwitches: f.switches.Router,
		Switches:       f.switches.Dispatcher,
		Rand:           rand.New(rand.NewPCG(seed, 2)),
	})
	n.executor = executor.New(executor.Config{
		ID:          n.member.GetId(),
		Incarnation: n.member.GetIncarnation(),
		Service:     n.service.Name,
		Slots:       n.service.Slots,
		Backend:     backend{node: n},
		Recorder:    n.recorder,
		Inbound:     n.inbound,
		Settings:    n.settings,
		NewSuccessor: func() *encoder.Token {
			return n.dispatcher.NewToken(n.service.Name, n.member.GetId())
		},
		Switches: f.switches.Admitter,
	})
}

// RunCounter implements driver.Fleet.
func (f *Fleet) RunCounter() *responder.RunCounter {
	return f.runCounter
}

// recorders returns the recorders of all nodes, including stopped ones.
func (f *Fleet) recorders() []*recorder.Recorder {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := append([]*recorder.Recorder(nil), f.retired...)
	for _, n := range f.nodes {
		list = append(list, n.recorder)
	}
	return list
}

// Counters implements driver.Fleet.
func (f *Fleet) Counters() map[string]int64 {
	sum := make(map[string]int64)
	for _, r := range f.recorders() {
		for name, count := range r.Counters() {
			sum[name] += count
		}
	}
	return sum
}

// Do implements driver.Fleet. The client sends its request to a random node of its
// region.
func (f *Fleet) Do(ctx context.Context, request driver.Request) driver.Result {
	n := f.chooseEntryNode(request.Region)
	if n == nil || !responder.Sleep(ctx, f.trace.Latency.Client) {
		return driver.Result{}
	}
	call, err := initiator.New(f.settings, n.inbound, initiator.Params{
		Service:   request.Service,
		Method:    request.Method,
		Path:      request.Path,
		URI:       request.Path,
		RequestID: request.ID,
		Timeout:   (request.Timeout - 2*f.trace.Latency.Client).String(),
		Token:     request.Token,
	}, time.Now())
	if err != nil {
		return driver.Result{
			Status: 400,
		}
	}
	result := n.dispatch(ctx, call)
	if !responder.Sleep(ctx, f.trace.Latency.Client) {
		return driver.Result{}
	}
	return result
}

// chooseEntryNode returns a random node of a region that accepts requests of
// clients, or nil if there is none.
func (f *Fleet) chooseEntryNode(region int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var serving []*node
	for _, n := range f.nodes {
		if n.placement.region == region && n.alive.Err() == nil && n.thawed == nil && !n.leaving {
			serving = append(serving, n)
		}
	}
	if len(serving) == 0 {
		return nil
	}
	return serving[f.rng.IntN(len(serving))]
}

// dispatch makes a call for a client or for the local backend server and reads the
// answer.
func (n *node) dispatch(ctx context.Context, call *caller.Call) driver.Result {
	answer := n.dispatcher.Dispatch(ctx, call)
	defer answer.Close()
	result := driver.Result{
		NotRun:      answer.Outcome == caller.NotRun,
		TokenNeeded: answer.Reason == caller.ReasonTokenNeeded,
	}
	if answer.Successor != nil {
		result.Token = deduplicator.FormatToken(answer.Successor)
	} else if call.Token != nil {
		result.Token = deduplicator.FormatToken(call.Token)
	}
	if answer.Outcome != caller.Answered {
		result.Status = refusalStatus(answer)
		return result
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		result.Status = 502
		return result
	}
	result.Status = answer.Status
	result.Body = body
	return result
}

// refusalStatus returns 503 if the reason is overload and 502 otherwise.
func refusalStatus(answer *caller.Answer) int {
	if answer.Reason.IsOverload() {
		return 503
	}
	return 502
}

// gossipLoop runs a gossip round at every tick interval.
func (f *Fleet) gossipLoop() {
	ticker := time.NewTicker(gossiper.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
			f.gossip()
		}
	}
}

// gossip runs one tick of the membership of every node, delivers all packets that
// follow from it, and passes the changes to the dispatchers.
func (f *Fleet) gossip() {
	f.tablesMu.Lock()
	defer f.tablesMu.Unlock()
	f.mu.Lock()
	nodes := append([]*node(nil), f.nodes...)
	f.mu.Unlock()
	now := time.Now()
	var queue []gossiper.Outgoing
	for _, n := range nodes {
		if n.reachable() {
			queue = append(queue, n.table.Tick(now)...)
		}
	}
	for len(queue) > 0 {
		out := queue[0]
		queue = queue[1:]
		f.mu.Lock()
		to := f.byAddr[out.To]
		f.mu.Unlock()
		if to != nil && to.reachable() {
			queue = append(queue, to.table.Receive(now, out.Packet)...)
		}
	}
	for _, n := range nodes {
		for _, member := range n.table.TakeChanges() {
			n.dispatcher.Update(member)
		}
	}
}

// reachable reports whether the node sends and receives packets.
func (n *node) reachable() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.alive.Err() == nil && n.thawed == nil
}
