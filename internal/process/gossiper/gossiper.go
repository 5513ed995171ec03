// Package gossiper maintains the list of members without a central server. It
// implements a SWIM-style gossip protocol: members announce themselves, probe
// each other in random order and forward changes.
//
// The package does no I/O. Its owner calls Tick every TickInterval, passes each
// received packet to Receive and sends the packets that both methods return.
//
// # Usage
//
//	table := gossiper.New(gossiper.Config{Self: member, Rand: rng})
//	for _, out := range table.Tick(now) { send(out.To, out.Packet) }
//	for _, out := range table.Receive(now, packet) { send(out.To, out.Packet) }
//	for _, member := range table.TakeChanges() { ... }
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
	// probePeriod is the time between two probes that a node sends.
	probePeriod = time.Second
	// directProbeTimeout is the time without an answer after which other members
	// are asked to repeat a probe.
	directProbeTimeout = 300 * time.Millisecond
	// probeTimeout is the time without an answer after which a member is suspected.
	probeTimeout = time.Second
	// suspicionTimeout is the time that a suspected member has to refute the
	// suspicion before it is declared dead.
	suspicionTimeout = 3 * time.Second
	// deadRetention is how long a dead member is kept in the table and probed.
	deadRetention = time.Hour
	// deadProbePeriod is the time between two probes that a node sends to dead
	// members.
	deadProbePeriod = 5 * time.Second
	// syncPeriod is the time between two comparisons of digests.
	syncPeriod = 10 * time.Second
	// joinPeriod is the time between two requests to join through a contact.
	joinPeriod = time.Second
	// fanOut is the number of members that receive the pending changes in a tick.
	fanOut = 3
	// indirectProbers is the number of members that are asked to repeat a probe.
	indirectProbers = 3
	// transmitFactor times the binary logarithm of the number of members limits how
	// often a node transmits one change. The limit is at least minTransmits.
	transmitFactor = 1.5
	minTransmits   = 4
	// formerRetention is how long a restarted member is told what its earlier process
	// announced of a leaving backend server.
	formerRetention = 10 * time.Second
	// maxUpdateBytes limits the encoded size of the updates in one packet.
	maxUpdateBytes = 1100
	// maxSyncPackets limits the queued packets that one flush sends to a peer.
	maxSyncPackets = 16
	// bucketCount is the number of hash buckets over which members are digested.
	bucketCount = 64
	// maxContacts limits the contacts that are kept. maxContactTries limits the
	// join packets sent to one contact while other members are known.
	maxContacts     = 512
	maxContactTries = 5
)

// Config holds the parameters of a Table.
type Config struct {
	// Self is this node's own announcement.
	Self *encoder.Member
	Rand *rand.Rand
}

// Outgoing is a packet to send and its destination.
type Outgoing struct {
	To     netip.AddrPort
	Packet *encoder.Packet
}

// entry holds the latest known announcement of one member.
type entry struct {
	member  *encoder.Member
	address netip.AddrPort
	// size is the encoded size of the member as an update in a packet.
	size int
	// storedAt is the time at which the announcement was stored.
	storedAt time.Time
	// transmitsLeft is the number of transmissions left for the last change of
	// the member.
	transmitsLeft int
	// former is the last announcement of an earlier process of the member whose backend
	// server was leaving. formerSince is when that process was replaced.
	former      *encoder.Member
	formerSince time.Time
}

// contact is the address of a possible member through which to join.
type contact struct {
	address netip.AddrPort
	// tries is the number of join packets sent to the address.
	tries int
}

// probe is a sent probe that waits for its answer.
type probe struct {
	subject string
	started time.Time
	// indirect is set once other members were asked to repeat the probe. It is set
	// from the start for probes of dead members and for requested probes, which
	// are never repeated through others.
	indirect bool
	// requester is the member that asked for the probe, and requesterSequence is
	// the sequence number of its request. Probes of this node's own have none.
	requester         netip.AddrPort
	requesterSequence uint64
}

// Table is the member list of one node. It is not safe for concurrent use; its
// owner holds one lock around every method.
type Table struct {
	config  Config
	self    *entry
	members map[string]*entry
	ids     []string
	// probeOrder holds the members left to probe in this round, the next one last.
	probeOrder []string
	// pending holds the members whose last change has transmissions left.
	pending map[string]*entry
	// unhealthy holds the suspected and dead members.
	unhealthy map[string]*entry
	probes    map[uint64]*probe
	// sendQueues holds the members that wait to be sent to one peer each.
	sendQueues map[netip.AddrPort][]*encoder.Member
	contacts   []*contact
	changes    []*encoder.Member
	// formerBackends holds what other members know of earlier processes of this node.
	formerBackends []*encoder.Backend
	// digests holds the combined digests of the members in each hash bucket.
	digests [bucketCount]uint64
	// version is the settings version in force at this node.
	version int64
	// versionTransmitsLeft is the number of transmissions left for the version.
	versionTransmitsLeft int
	sequence             uint64
	nextProbe            time.Time
	nextDeadProbe        time.Time
	nextSync             time.Time
	nextJoin             time.Time
}

// New returns a Table that contains only this node.
func New(config Config) *Table {
	t := &Table{
		config:     config,
		members:    make(map[string]*entry),
		pending:    make(map[string]*entry),
		unhealthy:  make(map[string]*entry),
		probes:     make(map[uint64]*probe),
		sendQueues: make(map[netip.AddrPort][]*encoder.Member),
	}
	t.self = t.store(time.Time{}, proto.Clone(config.Self).(*encoder.Member))
	t.queueBroadcast(t.self)
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

// Member returns the member with the ID, which may be dead, or nil if it is
// unknown.
func (t *Table) Member(id string) *encoder.Member {
	if e := t.members[id]; e != nil {
		return e.member
	}
	return nil
}

// TakeChanges returns the members that changed since the last call and clears
// the list of changes.
func (t *Table) TakeChanges() []*encoder.Member {
	changes := t.changes
	t.changes = nil
	return changes
}

// TakeFormerBackends returns the backend servers that left while an earlier process of this
// node ran, as far as other members have told since the last call.
func (t *Table) TakeFormerBackends() []*encoder.Backend {
	backends := t.formerBackends
	t.formerBackends = nil
	return backends
}

// AddContacts adds addresses through which to join other members. The oldest
// contacts are dropped when there are more than maxContacts.
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

// ContactCount returns the number of addresses through which other members may be joined.
func (t *Table) ContactCount() int {
	return len(t.contacts)
}

// Leave announces that this node accepts no new work.
func (t *Table) Leave(now time.Time) {
	t.announce(now, encoder.MemberState_LEAVING)
}

// SetBackend announces the state of the local backend server and its slots.
func (t *Table) SetBackend(now time.Time, backend *encoder.Backend, slots uint32) {
	t.self.member = proto.Clone(t.self.member).(*encoder.Member)
	t.self.member.Backend = backend
	t.self.member.Slots = slots
	t.announce(now, t.self.member.GetState())
}

// SetStoreLost announces whether this node's reads of the operator's settings fail.
func (t *Table) SetStoreLost(now time.Time, lost bool) {
	t.self.member = proto.Clone(t.self.member).(*encoder.Member)
	t.self.member.StoreLost = lost
	t.announce(now, t.self.member.GetState())
}

// SetVersion announces the settings version in force at this node. A version
// that is not higher than the announced one is ignored.
func (t *Table) SetVersion(version int64) {
	if version > t.version {
		t.version = version
		t.versionTransmitsLeft = t.transmitLimit()
	}
}

// announce queues this node's announcement with the state and a higher revision.
func (t *Table) announce(now time.Time, state encoder.MemberState) {
	member := proto.Clone(t.self.member).(*encoder.Member)
	member.Revision++
	member.State = state
	t.self = t.store(now, member)
	t.queueBroadcast(t.self)
}

// store adds or replaces the announcement of a member and records the change.
func (t *Table) store(now time.Time, member *encoder.Member) *entry {
	id := member.GetId()
	e := t.members[id]
	if e == nil {
		e = &entry{}
		t.members[id] = e
		t.ids = append(t.ids, id)
	} else {
		t.digests[bucket(id)] ^= digest(e.member)
		if e.member.GetIncarnation() < member.GetIncarnation() && e.member.GetBackend().GetLeaving() {
			e.former = e.member
			e.formerSince = now
		}
	}
	e.member = member
	e.size = proto.Size(member) + 4
	e.storedAt = now
	e.address, _ = netip.ParseAddrPort(member.GetPeerAddress())
	t.digests[bucket(id)] ^= digest(member)
	if state := member.GetState(); state == encoder.MemberState_SUSPECT || state == encoder.MemberState_DEAD {
		t.unhealthy[id] = e
	} else {
		delete(t.unhealthy, id)
	}
	t.changes = append(t.changes, member)
	return e
}

// remove deletes a member from the table.
func (t *Table) remove(id string) {
	e := t.members[id]
	t.digests[bucket(id)] ^= digest(e.member)
	delete(t.members, id)
	delete(t.pending, id)
	delete(t.unhealthy, id)
	for i := range t.ids {
		if t.ids[i] == id {
			t.ids[i] = t.ids[len(t.ids)-1]
			t.ids = t.ids[:len(t.ids)-1]
			return
		}
	}
}

// queueBroadcast queues a member's announcement for transmission to others.
func (t *Table) queueBroadcast(e *entry) {
	e.transmitsLeft = t.transmitLimit()
	t.pending[e.member.GetId()] = e
}

func (t *Table) transmitLimit() int {
	return max(minTransmits, int(transmitFactor*float64(bits.Len(uint(len(t.members))))))
}

func bucket(id string) int {
	return int(xxhash.Sum64String(id) % bucketCount)
}

// digest returns a hash of the identity and state of a member. It is 0 for a
// dead member, as for an absent one, because nodes remove dead members at
// different times.
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

// supersedes reports whether a replaces b. A restarted node has a higher
// incarnation. Only the node itself raises its revision. Other nodes can only
// change its state to a worse one.
func supersedes(a, b *encoder.Member) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetRevision() != b.GetRevision() {
		return a.GetRevision() > b.GetRevision()
	}
	return a.GetState() > b.GetState()
}
