package gossiper

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Tick does what is due and returns the packets to send.
func (t *Table) Tick(now time.Time) []Outgoing {
	var out []Outgoing
	out = append(out, t.checkProbes(now)...)
	t.expire(now)
	if !now.Before(t.nextProbe) {
		t.nextProbe = now.Add(probePeriod)
		out = append(out, t.probeNext(now)...)
	}
	if !now.Before(t.nextDead) {
		t.nextDead = now.Add(deadProbePeriod)
		out = append(out, t.probeDead(now)...)
	}
	if !now.Before(t.nextSync) {
		t.nextSync = now.Add(syncPeriod)
		for _, e := range t.pick(1, alive) {
			out = append(out, t.digestPacket(e.address, false))
		}
	}
	if !now.Before(t.nextJoin) {
		t.nextJoin = now.Add(joinPeriod)
		out = append(out, t.join()...)
	}
	out = append(out, t.spread()...)
	return append(out, t.flushBacklog()...)
}

// spread sends pending changes to a few random members.
func (t *Table) spread() []Outgoing {
	if len(t.pending) == 0 && t.versionSends == 0 {
		return nil
	}
	var out []Outgoing
	for _, e := range t.pick(fanOut, alive) {
		out = append(out, Outgoing{
			To:     e.address,
			Packet: t.packet(encoder.PacketKind_SYNC, nil),
		})
		t.versionSends = max(t.versionSends-1, 0)
	}
	return out
}

// join asks a contact for its table: any contact while no other member is known,
// and then those that no member's address matches, because groups of nodes that
// started at the same time may have found only each other.
func (t *Table) join() []Outgoing {
	if len(t.contacts) == 0 {
		return nil
	}
	alone := len(t.pick(1, alive)) == 0
	known := t.addresses()
	var wanted []*contact
	for _, c := range t.contacts {
		if alone || (c.tries < maxContactTries && !known[c.address]) {
			wanted = append(wanted, c)
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	chosen := wanted[t.config.Rand.IntN(len(wanted))]
	chosen.tries++
	return []Outgoing{{
		To:     chosen.address,
		Packet: t.packet(encoder.PacketKind_JOIN, nil),
	}}
}

// addresses returns the addresses of the living members.
func (t *Table) addresses() map[netip.AddrPort]bool {
	known := make(map[netip.AddrPort]bool, len(t.members))
	for _, e := range t.members {
		if alive(e) {
			known[e.address] = true
		}
	}
	return known
}

// checkProbes repeats silent probes through others and suspects their subjects.
func (t *Table) checkProbes(now time.Time) []Outgoing {
	var out []Outgoing
	for sequence, p := range t.probes {
		age := now.Sub(p.started)
		if age >= probeTimeout {
			delete(t.probes, sequence)
			if !p.relayFor.IsValid() {
				t.suspect(now, p.subject)
			}
			continue
		}
		if age >= directTimeout && !p.indirect {
			p.indirect = true
			out = append(out, t.askHelpers(sequence, p.subject)...)
		}
	}
	return out
}

func (t *Table) askHelpers(sequence uint64, subject string) []Outgoing {
	var out []Outgoing
	for _, helper := range t.pick(helpers, alive) {
		if helper.member.GetId() == subject {
			continue
		}
		packet := t.packet(encoder.PacketKind_PING_REQUEST, nil)
		packet.Sequence = sequence
		packet.Subject = subject
		out = append(out, Outgoing{
			To:     helper.address,
			Packet: packet,
		})
	}
	return out
}

// suspect worsens the state of a silent member.
func (t *Table) suspect(now time.Time, id string) {
	e := t.members[id]
	if e == nil {
		return
	}
	switch e.member.GetState() {
	case encoder.MemberState_ALIVE:
		t.worsen(now, e, encoder.MemberState_SUSPECT)
	case encoder.MemberState_LEAVING:
		t.worsen(now, e, encoder.MemberState_DEAD)
	}
}

func (t *Table) worsen(now time.Time, e *entry, state encoder.MemberState) {
	member := proto.Clone(e.member).(*encoder.Member)
	member.State = state
	t.broadcast(t.store(now, member))
}

// expire declares suspected members dead and forgets those dead for long.
func (t *Table) expire(now time.Time) {
	for id, e := range t.troubled {
		switch e.member.GetState() {
		case encoder.MemberState_SUSPECT:
			if now.Sub(e.since) >= suspectTime {
				t.worsen(now, e, encoder.MemberState_DEAD)
			}
		case encoder.MemberState_DEAD:
			if now.Sub(e.since) >= deadMemory {
				t.forget(id)
			}
		}
	}
}

// probeNext probes the next member of a random order, so that each is probed
// once in every round.
func (t *Table) probeNext(now time.Time) []Outgoing {
	for attempts := 0; attempts <= len(t.members); attempts++ {
		if len(t.order) == 0 {
			t.order = append(t.order, t.ids...)
			t.config.Rand.Shuffle(len(t.order), func(i, j int) {
				t.order[i], t.order[j] = t.order[j], t.order[i]
			})
		}
		id := t.order[len(t.order)-1]
		t.order = t.order[:len(t.order)-1]
		if e := t.members[id]; e != nil && e != t.self && alive(e) {
			return t.ping(now, e, probe{})
		}
	}
	return nil
}

// probeDead looks for one dead member, which ends partitions.
func (t *Table) probeDead(now time.Time) []Outgoing {
	for _, e := range t.pick(1, dead) {
		return t.ping(now, e, probe{
			indirect: true,
		})
	}
	return nil
}

// ping sends a probe; what this node believes of the subject goes along, so
// that a wrongly suspected member can refute.
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

func alive(e *entry) bool {
	return e.member.GetState() != encoder.MemberState_DEAD
}

func dead(e *entry) bool {
	return e.member.GetState() == encoder.MemberState_DEAD
}

// pick returns up to n distinct random members other than this node.
func (t *Table) pick(n int, wanted func(*entry) bool) []*entry {
	var picked []*entry
	if len(t.ids) == 0 {
		return nil
	}
	start := t.config.Rand.IntN(len(t.ids))
	for i := 0; i < len(t.ids) && len(picked) < n; i++ {
		// Random draws first; a scan only when they keep missing.
		at := t.config.Rand.IntN(len(t.ids))
		if i >= 4*n {
			at = (start + i) % len(t.ids)
		}
		e := t.members[t.ids[at]]
		if e != t.self && wanted(e) && e.address != (netip.AddrPort{}) && !contains(picked, e) {
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
