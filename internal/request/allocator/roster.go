package allocator

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// ShardCount is the number of shards that organisations are divided into. All nodes must agree
// on it.
const ShardCount = 16

// forgetTime is how long a dead member counts as a node that may only be cut off. The membership
// protocol drops dead members after the same time.
const forgetTime = time.Hour

// youngTime is the age up to which a fleet has granted next to nothing: its allocating nodes change
// while nodes join, and have then just taken over.
const youngTime = 15 * time.Second

// ShardOf returns the shard of an organisation.
func ShardOf(name Name) int {
	digest := xxhash.New()
	digest.WriteString(name.Team)
	digest.WriteString("/")
	digest.WriteString(name.Organisation)
	return int(digest.Sum64() % ShardCount)
}

// Node identifies one process of a node.
type Node struct {
	ID          string
	Incarnation uint64
}

// member is what is known of one node.
type member struct {
	incarnation uint64
	// reachable is unset if the member is suspected or dead, and dead if it is dead.
	reachable bool
	dead      bool
	// leaving is set once the process has announced that it leaves.
	leaving bool
	// changed is the time at which reachable changed last.
	changed time.Time
}

// Roster knows the nodes of the fleet and the allocating node of each shard. It counts members
// that died without leaving, because they may run on the other side of a partition.
type Roster struct {
	self    Node
	members map[string]*member
	// lost holds the members that are unreachable and have not left.
	lost       map[string]*member
	forgotten  time.Time
	contacts   int
	allocating [ShardCount]Node
	dirty      bool
	// returned is the time at which a member came back that had been dead.
	returned time.Time
}

// NewRoster returns a Roster that contains only the node self.
func NewRoster(self Node) *Roster {
	return &Roster{
		self: self,
		members: map[string]*member{
			self.ID: {
				incarnation: self.Incarnation,
				reachable:   true,
			},
		},
		lost:  make(map[string]*member),
		dirty: true,
	}
}

// Update applies the announcement of a member.
func (r *Roster) Update(now time.Time, announced *encoder.Member) {
	id, state := announced.GetId(), announced.GetState()
	if id == r.self.ID {
		if state == encoder.MemberState_LEAVING {
			r.members[id].leaving = true
			r.dirty = true
		}
		return
	}
	known := r.members[id]
	if known == nil || announced.GetIncarnation() > known.incarnation {
		known = &member{
			incarnation: announced.GetIncarnation(),
			reachable:   true,
			changed:     now,
		}
		r.members[id] = known
		r.dirty = true
	}
	if announced.GetIncarnation() < known.incarnation {
		return
	}
	candidate := known.isCandidate()
	known.leaving = known.leaving || state == encoder.MemberState_LEAVING
	reachable := state != encoder.MemberState_SUSPECT && state != encoder.MemberState_DEAD
	if reachable && known.dead {
		r.returned = now
	}
	known.dead = state == encoder.MemberState_DEAD
	if reachable != known.reachable {
		known.reachable = reachable
		known.changed = now
	}
	delete(r.lost, id)
	switch {
	case known.dead && known.leaving:
		delete(r.members, id)
	case !known.reachable && !known.leaving:
		r.lost[id] = known
	}
	r.dirty = r.dirty || candidate != known.isCandidate()
}

// isCandidate reports whether the member may be an allocating node.
func (m *member) isCandidate() bool {
	return !m.dead && !m.leaving
}

// Forget drops members that have been dead for forgetTime.
func (r *Roster) Forget(now time.Time) {
	if now.Sub(r.forgotten) < time.Second {
		return
	}
	r.forgotten = now
	for id, m := range r.lost {
		if m.dead && now.Sub(m.changed) >= forgetTime {
			delete(r.members, id)
			delete(r.lost, id)
		}
	}
}

// Phase returns a number below 1 that depends on this node and the organisation.
func (r *Roster) Phase(name Name) float64 {
	digest := xxhash.Sum64String(r.self.ID + "/" + name.Team + "/" + name.Organisation)
	return float64(digest) / (1 << 64)
}

// SetContacts sets the number of addresses of possible members. It counts only while the node has
// met no other member, because addresses may be out of date.
func (r *Roster) SetContacts(count int) {
	r.contacts = count
}

// Count returns the number of nodes that may serve requests.
func (r *Roster) Count() int {
	if len(r.members) == 1 {
		return 1 + r.contacts
	}
	return len(r.members)
}

// metRatio returns the part of the nodes that this node has met. It is below 1 for a node that has
// started on the far side of a partition, or that has not joined yet.
func (r *Roster) metRatio() float64 {
	return float64(len(r.members)) / float64(r.Count())
}

// Allocating returns the allocating node of a shard: of the members that are neither dead nor
// leaving, the one with the highest hash. A suspected member stays, because most suspicions are
// refuted.
func (r *Roster) Allocating(shard int) Node {
	if r.dirty {
		r.dirty = false
		for s := range r.allocating {
			r.allocating[s] = r.choose(s)
		}
	}
	return r.allocating[shard]
}

func (r *Roster) choose(shard int) Node {
	best, bestHash := r.self, uint64(0)
	suffix := "/" + strconv.Itoa(shard)
	for id, m := range r.members {
		if !m.isCandidate() {
			continue
		}
		if hash := xxhash.Sum64String(id + suffix); hash > bestHash {
			bestHash = hash
			best = Node{
				ID:          id,
				Incarnation: m.incarnation,
			}
		}
	}
	return best
}

// isGone reports whether a process has ended for certain: it left, or another process of the
// node runs.
func (r *Roster) isGone(id string, incarnation uint64) bool {
	m := r.members[id]
	return m == nil || m.incarnation > incarnation
}

// hasRecentLoss reports whether a member became unreachable within age, still is, and may hold
// rates that this node does not know. In a fleet that has just started no node holds any.
func (r *Roster) hasRecentLoss(now time.Time, age time.Duration) bool {
	lost := false
	for _, m := range r.lost {
		lost = lost || now.Sub(m.changed) < age
	}
	return lost && !r.isYoung(now)
}

// isYoung reports whether all processes have started lately. Incarnations are start times in
// nanoseconds since 1970.
func (r *Roster) isYoung(now time.Time) bool {
	since := uint64(max(now.Add(-youngTime).UnixNano(), 0))
	for _, m := range r.members {
		if m.incarnation < since {
			return false
		}
	}
	return true
}
