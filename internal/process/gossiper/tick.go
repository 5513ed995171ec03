package gossiper

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Tick performs all periodic work that is due and returns the packets to send.
func (t *Table) Tick(now time.Time) []Outgoing {
	var out []Outgoing
	out = append(out, t.checkProbes(now)...)
	t.expireMembers(now)
	if !now.Before(t.nextProbe) {
		t.nextProbe = now.Add(probePeriod)
		out = append(out, t.probeNext(now)...)
	}
	if !now.Before(t.nextDeadProbe) {
		t.nextDeadProbe = now.Add(deadProbePeriod)
		out = append(out, t.probeDead(now)...)
	}
	if !now.Before(t.nextSync) {
		t.nextSync = now.Add(syncPeriod)
		for _, e := range t.pickRandom(1, notDead) {
			out = append(out, t.digestPacket(e.address, false))
		}
	}
	// A node learns its first contacts from the store, after its first ticks.
	if len(t.contacts) > 0 && !now.Before(t.nextJoin) {
		t.nextJoin = now.Add(joinPeriod)
		out = append(out, t.joinContact()...)
	}
	out = append(out, t.gossipPending()...)
	return append(out, t.flushSendQueues()...)
}

// gossipPending sends pending changes to fanOut random members.
func (t *Table) gossipPending() []Outgoing {
	if len(t.pending) == 0 && t.versionTransmitsLeft == 0 {
		return nil
	}
	var out []Outgoing
	for _, e := range t.pickRandom(fanOut, notDead) {
		out = append(out, Outgoing{
			To:     e.address,
			Packet: t.packet(encoder.PacketKind_SYNC, nil),
		})
		t.versionTransmitsLeft = max(t.versionTransmitsLeft-1, 0)
	}
	return out
}

// joinContact asks a random contact for its table. While no other member is
// known, it considers all contacts. Afterwards it considers only contacts that were
// tried fewer than maxContactTries times and whose address belongs to no living
// member, because groups of nodes that started at the same time may have found
// only each other.
func (t *Table) joinContact() []Outgoing {
	alone := len(t.pickRandom(1, notDead)) == 0
	known := t.liveAddresses()
	var candidates []*contact
	for _, c := range t.contacts {
		if alone || (c.tries < maxContactTries && !known[c.address]) {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	chosen := candidates[t.config.Rand.IntN(len(candidates))]
	chosen.tries++
	return []Outgoing{{
		To:     chosen.address,
		Packet: t.packet(encoder.PacketKind_JOIN, nil),
	}}
}

// liveAddresses returns the addresses of the members that are not dead.
func (t *Table) liveAddresses() map[netip.AddrPort]bool {
	known := make(map[netip.AddrPort]bool, len(t.members))
	for _, e := range t.members {
		if notDead(e) {
			known[e.address] = true
		}
	}
	return known
}

// checkProbes handles unanswered probes. After directProbeTimeout it asks other
// members to repeat the probe. After probeTimeout it marks the probed member as
// unresponsive.
func (t *Table) checkProbes(now time.Time) []Outgoing {
	var out []Outgoing
	for sequence, p := range t.probes {
		age := now.Sub(p.started)
		if age >= probeTimeout {
			delete(t.probes, sequence)
			if !p.requester.IsValid() {
				t.markUnresponsive(now, p.subject)
			}
			continue
		}
		if age >= directProbeTimeout && !p.indirect {
			p.indirect = true
			out = append(out, t.requestIndirectProbes(sequence, p.subject)...)
		}
	}
	return out
}

// requestIndirectProbes asks random members to probe the subject.
func (t *Table) requestIndirectProbes(sequence uint64, subject string) []Outgoing {
	var out []Outgoing
	for _, prober := range t.pickRandom(indirectProbers, notDead) {
		if prober.member.GetId() == subject {
			continue
		}
		packet := t.packet(encoder.PacketKind_PING_REQUEST, nil)
		packet.Sequence = sequence
		packet.Subject = subject
		out = append(out, Outgoing{
			To:     prober.address,
			Packet: packet,
		})
	}
	return out
}

// markUnresponsive sets a member that did not answer to suspect if it was alive,
// and to dead if it was leaving.
func (t *Table) markUnresponsive(now time.Time, id string) {
	e := t.members[id]
	if e == nil {
		return
	}
	switch e.member.GetState() {
	case encoder.MemberState_ALIVE:
		t.setState(now, e, encoder.MemberState_SUSPECT)
	case encoder.MemberState_LEAVING:
		t.setState(now, e, encoder.MemberState_DEAD)
	}
}

// setState stores a member with the state and queues the change for transmission.
func (t *Table) setState(now time.Time, e *entry, state encoder.MemberState) {
	member := proto.Clone(e.member).(*encoder.Member)
	member.State = state
	t.queueBroadcast(t.store(now, member))
}

// expireMembers sets members that were suspected for suspicionTimeout to dead, and
// removes members that were dead for deadRetention.
func (t *Table) expireMembers(now time.Time) {
	for id, e := range t.unhealthy {
		switch e.member.GetState() {
		case encoder.MemberState_SUSPECT:
			if now.Sub(e.storedAt) >= suspicionTimeout {
				t.setState(now, e, encoder.MemberState_DEAD)
			}
		case encoder.MemberState_DEAD:
			if now.Sub(e.storedAt) >= deadRetention {
				t.remove(id)
			}
		}
	}
}

// probeNext probes the next member in a shuffled order, so that each member is
// probed once per round.
func (t *Table) probeNext(now time.Time) []Outgoing {
	for attempts := 0; attempts <= len(t.members); attempts++ {
		if len(t.probeOrder) == 0 {
			t.probeOrder = append(t.probeOrder, t.ids...)
			t.config.Rand.Shuffle(len(t.probeOrder), func(i, j int) {
				t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i]
			})
		}
		id := t.probeOrder[len(t.probeOrder)-1]
		t.probeOrder = t.probeOrder[:len(t.probeOrder)-1]
		if e := t.members[id]; e != nil && e != t.self && notDead(e) {
			return t.ping(now, e, probe{})
		}
	}
	return nil
}

// probeDead probes one dead member. An answer merges the two sides of a healed
// partition.
func (t *Table) probeDead(now time.Time) []Outgoing {
	for _, e := range t.pickRandom(1, isDead) {
		return t.ping(now, e, probe{
			indirect: true,
		})
	}
	return nil
}

// ping sends a probe with this node's announcement of the subject, so that a
// wrongly suspected member can refute it.
func (t *Table) ping(now time.Time, subject *entry, p probe) []Outgoing {
	t.sequence++
	p.subject = subject.member.GetId()
	p.started = now
	t.probes[t.sequence] = &p
	packet := t.packet(encoder.PacketKind_PING, []*encoder.Member{subject.member})
	packet.Sequence = t.sequence
	return []Outgoing{{
		To:     subject.address,
		Packet: packet,
	}}
}

func notDead(e *entry) bool {
	return e.member.GetState() != encoder.MemberState_DEAD
}

func isDead(e *entry) bool {
	return e.member.GetState() == encoder.MemberState_DEAD
}

// pickRandom returns up to n distinct random members for which matches reports
// true, excluding this node.
func (t *Table) pickRandom(n int, matches func(*entry) bool) []*entry {
	var picked []*entry
	if len(t.ids) == 0 {
		return nil
	}
	start := t.config.Rand.IntN(len(t.ids))
	for i := 0; i < len(t.ids) && len(picked) < n; i++ {
		// After 4n random draws, scan the members in order instead, because the
		// draws keep missing when few members match.
		at := t.config.Rand.IntN(len(t.ids))
		if i >= 4*n {
			at = (start + i) % len(t.ids)
		}
		e := t.members[t.ids[at]]
		if e != t.self && matches(e) && e.address != (netip.AddrPort{}) && !contains(picked, e) {
			picked = append(picked, e)
		}
	}
	return picked
}

func contains(list []*entry, e *entry) bool {
	for _, other := range list {
		if other == e {
			return true
		}
	}
	return false
}
