// Package gossiper keeps the list of members without a server for it: members
// announce themselves, probe each other at random and pass changes on.
//
// The package does no I/O. Its owner calls Tick every TickInterval, hands in
// the packets that arrive and sends the ones that come out.
//
// # Usage
//
//	table := gossiper.New(gossiper.Config{Self: member, Rand: rng})
//	for _, out := range table.Tick(now) { send(out.To, out.Packet) }
//	for _, out := range table.Receive(now, packet) { send(out.To, out.Packet) }
//	for _, member := range table.Changes() { ... }
package gossiper

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Protocol parameters.
const (
	// TickInterval is the time between two calls of Tick.
	TickInterval = 100 * time.Millisecond
	// probePeriod is the time between two probes of a node.
	probePeriod = time.Second
	// directTimeout is the time after which a probe is repeated through others.
	directTimeout = 300 * time.Millisecond
	// probeTimeout is the time after which a silent member is suspected.
	probeTimeout = time.Second
	// suspectTime is the time a suspected member has to refute.
	suspectTime = 3 * time.Second
	// deadMemory is how long a dead member is remembered and looked for.
	deadMemory = time.Hour
	// deadProbePeriod is the time between two probes of dead members.
	deadProbePeriod = 5 * time.Second
	// syncPeriod is the time between two comparisons of digests.
	syncPeriod = 10 * time.Second
	joinPeriod = time.Second
	// fanOut is the number of members that get the pending changes in a tick.
	fanOut = 3
	// helpers is the number of members asked to repeat a probe.
	helpers = 3
	// sendFactor times the logarithm of the fleet bounds the transmissions of
	// one change by one node.
	sendFactor = 1.5
	minSends   = 4
	// packetBytes bounds the updates in one packet.
	packetBytes = 1100
	// syncPackets bounds the packets sent to a peer in one tick.
	syncPackets = 16
	buckets     = 64
	// maxContacts bounds the contacts kept, and maxContactTries the packets
	// sent to one while other members are known.
	maxContacts     = 512
	maxContactTries = 5
)

// Config is what a Table needs.
type Config struct {
	// Self is this node's own announcement.
	Self *encoder.Member
	Rand *rand.Rand
}

// Outgoing is one packet to send.
type Outgoing struct {
	To     netip.AddrPort
	Packet *encoder.Packet
}

// entry is what is known of one member.
type entry struct {
	member  *encoder.Member
	address netip.AddrPort
	size    int
	// since is when the member got its state.
	since time.Time
	// sends is the number of transmissions left for the last change.
	sends int
}

// contact is an address through which to join.
type contact struct {
	address netip.AddrPort
	tries   int
}

// probe is one probe that waits for its answer.
type probe struct {
	subject  string
	started  time.Time
	indirect bool
	// relayFor is the member that asked for the probe, with its sequence.
	relayFor      netip.AddrPort
	relaySequence uint64
}

// Table is the member list of one node. It is not safe for concurrent use; its
// owner holds one lock around every method.
type Table struct {
	config  Config
	self    *entry
	members map[string]*entry
	ids     []string
	order   []string
	pending map[string]*entry
	// troubled are the suspected and dead members.
	troubled map[string]*entry
	probes   map[uint64]*probe
	backlog  map[netip.AddrPort][]*encoder.Member
	contacts []*contact
	changes  []*encoder.Member
	digests  [buckets]uint64
	version  int64
	// versionSends is the number of transmissions left for the version.
	versionSends int
	sequence     uint64
	nextProbe    time.Time
	nextDead     time.Time
	nextSync     time.Time
	nextJoin     time.Time
}

// New returns a table that knows only its own node.
func New(config Config) *Table {
	t := &Table{
		config:   config,
		members:  make(map[string]*entry),
		pending:  make(map[string]*entry),
		troubled: make(map[string]*entry),
		probes:   make(map[uint64]*probe),
		backlog:  make(map[netip.AddrPort][]*encoder.Member),
	}
	t.self = t.store(time.Time{}, proto.Clone(config.Self).(*encoder.Member))
	t.broadcast(t.self)
	return t
}

// Self returns this node's own announcement.
func (t *Table) Self() *encoder.Member {
	return t.self.member
}

// Members returns all members that are not dead, sorted by ID.
func (t *Table) Members() []*encoder.Member {
	members := make([]*encoder.Member, 0, len(t.members))
	for _, e := range t.members {
		if e.member.GetState() != encoder.MemberState_DEAD {
			members = append(members, e.member)
		}
	}
	sort.Slice(members, func(i, j int) bool {
		return members[i].GetId() < members[j].GetId()
	})
	return members
}

// Member returns one member, dead or not, or nil.
func (t *Table) Member(id string) *encoder.Member {
	if e := t.members[id]; e != nil {
		return e.member
	}
	return nil
}

// TakeChanges returns the members that changed since the last call.
func (t *Table) TakeChanges() []*encoder.Member {
	changes := t.changes
	t.changes = nil
	return changes
}

// AddContacts adds addresses through which to join other members.
func (t *Table) AddContacts(addresses ...netip.AddrPort) {
	for _, address := range addresses {
		known := address == t.self.address
		for _, other := range t.contacts {
			known = known || address == other.address
		}
		if known {
			continue
		}
		t.contacts = append(t.contacts, &contact{
			address: address,
		})
		if len(t.contacts) > maxContacts {
			t.contacts = t.contacts[1:]
		}
	}
}

// Leave announces that this node takes no new work.
func (t *Table) Leave(now time.Time) {
	t.announce(now, encoder.MemberState_LEAVING)
}

// SetBackend announces what the local backend server said of itself.
func (t *Table) SetBackend(now time.Time, backend *encoder.Backend, slots uint32) {
	t.self.member = proto.Clone(t.self.member).(*encoder.Member)
	t.self.member.Backend = backend
	t.self.member.Slots = slots
	t.announce(now, t.self.member.GetState())
}

// SetVersion announces the settings version in force at this node.
func (t *Table) SetVersion(version int64) {
	if version > t.version {
		t.version = version
		t.versionSends = t.sendLimit()
	}
}

// announce raises this node's own revision.
func (t *Table) announce(now time.Time, state encoder.MemberState) {
	member := proto.Clone(t.self.member).(*encoder.Member)
	member.Revision++
	member.State = state
	t.self = t.store(now, member)
	t.broadcast(t.self)
}

// store replaces what is known of a member.
func (t *Table) store(now time.Time, member *encoder.Member) *entry {
	id := member.GetId()
	e := t.members[id]
	if e == nil {
		e = &entry{}
		t.members[id] = e
		t.ids = append(t.ids, id)
	} else {
		t.digests[bucket(id)] ^= digest(e.member)
	}
	e.member = member
	e.size = proto.Size(member) + 4
	e.since = now
	e.address, _ = netip.ParseAddrPort(member.GetPeerAddress())
	t.digests[bucket(id)] ^= digest(member)
	if state := member.GetState(); state == encoder.MemberState_SUSPECT || state == encoder.MemberState_DEAD {
		t.troubled[id] = e
	} else {
		delete(t.troubled, id)
	}
	t.changes = append(t.changes, member)
	return e
}

// forget drops a member.
func (t *Table) forget(id string) {
	e := t.members[id]
	t.digests[bucket(id)] ^= digest(e.member)
	delete(t.members, id)
	delete(t.pending, id)
	delete(t.troubled, id)
	for i := range t.ids {
		if t.ids[i] == id {
			t.ids[i] = t.ids[len(t.ids)-1]
			t.ids = t.ids[:len(t.ids)-1]
			return
		}
	}
}

// broadcast marks a member's state for transmission.
func (t *Table) broadcast(e *entry) {
	e.sends = t.sendLimit()
	t.pending[e.member.GetId()] = e
}

func (t *Table) sendLimit() int {
	return max(minSends, int(sendFactor*float64(bits.Len(uint(len(t.members))))))
}

func bucket(id string) int {
	return int(xxhash.Sum64String(id) % buckets)
}

// digest covers the identity and state of a member; dead members count as
// absent, because nodes forget them at different times.
func digest(member *encoder.Member) uint64 {
	if member.GetState() == encoder.MemberState_DEAD {
		return 0
	}
	sum := xxhash.Sum64String(member.GetId())
	for _, part := range [...]uint64{member.GetIncarnation(), member.GetRevision(), uint64(member.GetState())} {
		sum = (sum ^ part) * 0x9e3779b97f4a7c15
		sum ^= sum >> 29
	}
	return sum
}

// newer reports whether a supersedes b. A restarted node has a higher
// incarnation; a node raises its own revision; others only worsen the state.
func newer(a, b *encoder.Member) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetRevision() != b.GetRevision() {
		return a.GetRevision() > b.GetRevision()
	}
	return a.GetState() > b.GetState()
}
