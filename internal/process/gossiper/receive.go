package gossiper

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Receive takes one packet and returns the answers to send.
func (t *Table) Receive(now time.Time, packet *encoder.Packet) []Outgoing {
	sender := packet.GetSender()
	from, err := netip.ParseAddrPort(sender.GetPeerAddress())
	if err != nil || sender.GetId() == "" || sender.GetId() == t.self.member.GetId() {
		return nil
	}
	stale := t.merge(now, sender, true)
	// What a peer sends from its table is not news to the others.
	news := packet.GetKind() != encoder.PacketKind_SYNC || !packet.GetAnswer() || len(packet.GetDigests()) > 0
	for _, update := range packet.GetUpdates() {
		if update.GetId() != "" {
			stale = append(stale, t.merge(now, update, news)...)
		}
	}
	switch packet.GetKind() {
	case encoder.PacketKind_PING:
		return t.reply(from, packet, stale)
	case encoder.PacketKind_ACK:
		return t.acknowledged(packet)
	case encoder.PacketKind_PING_REQUEST:
		return t.relay(now, from, packet)
	case encoder.PacketKind_JOIN:
		t.sendAll(from)
		return t.flushBacklog()
	case encoder.PacketKind_SYNC:
		t.backlog[from] = append(t.backlog[from], stale...)
		return t.compare(from, packet)
	default:
		return nil
	}
}

// merge takes one update, and passes it on if it is news. When what this node
// knows is newer, it returns that for the sender.
func (t *Table) merge(now time.Time, update *encoder.Member, news bool) []*encoder.Member {
	if update.GetId() == t.self.member.GetId() {
		t.refute(now, update)
		return nil
	}
	known := t.members[update.GetId()]
	switch {
	case known == nil && update.GetState() == encoder.MemberState_DEAD:
		return nil
	case known == nil || newer(update, known.member):
		stored := t.store(now, update)
		if news {
			t.broadcast(stored)
		} else {
			delete(t.pending, update.GetId())
		}
		return nil
	case newer(known.member, update):
		return []*encoder.Member{known.member}
	default:
		return nil
	}
}

// refute answers a claim about this node itself that is not its own.
func (t *Table) refute(now time.Time, update *encoder.Member) {
	self := t.self.member
	if update.GetIncarnation() != self.GetIncarnation() || !newer(update, self) {
		return
	}
	state := self.GetState()
	self = proto.Clone(self).(*encoder.Member)
	self.Revision = update.GetRevision()
	t.self.member = self
	t.announce(now, state)
}

// reply answers a probe; what the prober has wrong goes along.
func (t *Table) reply(to netip.AddrPort, packet *encoder.Packet, stale []*encoder.Member) []Outgoing {
	answer := t.packet(encoder.PacketKind_ACK, stale)
	answer.Sequence = packet.GetSequence()
	return []Outgoing{{
		To:     to,
		Packet: answer,
	}}
}

// acknowledged ends a probe, and tells the member that asked for it.
func (t *Table) acknowledged(packet *encoder.Packet) []Outgoing {
	p := t.probes[packet.GetSequence()]
	if p == nil {
		return nil
	}
	delete(t.probes, packet.GetSequence())
	if !p.relayFor.IsValid() {
		return nil
	}
	answer := t.packet(encoder.PacketKind_ACK, nil)
	answer.Sequence = p.relaySequence
	return []Outgoing{{
		To:     p.relayFor,
		Packet: answer,
	}}
}

// relay probes a member for another one.
func (t *Table) relay(now time.Time, from netip.AddrPort, packet *encoder.Packet) []Outgoing {
	subject := t.members[packet.GetSubject()]
	if subject == nil {
		return nil
	}
	return t.ping(now, subject, probe{
		indirect:      true,
		relayFor:      from,
		relaySequence: packet.GetSequence(),
	})
}

// compare answers a peer's digests with the members of differing buckets.
func (t *Table) compare(from netip.AddrPort, packet *encoder.Packet) []Outgoing {
	theirs := packet.GetDigests()
	if len(theirs) != buckets {
		return t.flushBacklog()
	}
	differ := false
	for _, e := range t.members {
		b := bucket(e.member.GetId())
		if theirs[b] != t.digests[b] {
			differ = true
			t.backlog[from] = append(t.backlog[from], e.member)
		}
	}
	out := t.flushBacklog()
	if differ && !packet.GetAnswer() {
		out = append(out, t.digestPacket(from, true))
	}
	return out
}

func (t *Table) digestPacket(to netip.AddrPort, answer bool) Outgoing {
	packet := t.packet(encoder.PacketKind_SYNC, nil)
	packet.Digests = append(packet.Digests, t.digests[:]...)
	packet.Answer = answer
	return Outgoing{
		To:     to,
		Packet: packet,
	}
}

// sendAll queues the whole table for a joining member.
func (t *Table) sendAll(to netip.AddrPort) {
	list := make([]*encoder.Member, 0, len(t.members))
	for _, e := range t.members {
		list = append(list, e.member)
	}
	t.backlog[to] = list
}

// flushBacklog sends a bounded part of what is queued for single peers.
func (t *Table) flushBacklog() []Outgoing {
	var out []Outgoing
	for to, list := range t.backlog {
		for packets := 0; len(list) > 0 && packets < syncPackets; packets++ {
			size, n := 0, 0
			for n < len(list) && (n == 0 || size+proto.Size(list[n])+4 <= packetBytes) {
				size += proto.Size(list[n]) + 4
				n++
			}
			packet := &encoder.Packet{
				Kind:            encoder.PacketKind_SYNC,
				Sender:          t.self.member,
				SettingsVersion: uint64(t.version),
				Answer:          true,
				Updates:         list[:n:n],
			}
			list = list[n:]
			out = append(out, Outgoing{
				To:     to,
				Packet: packet,
			})
		}
		if len(list) == 0 {
			delete(t.backlog, to)
		} else {
			t.backlog[to] = list
		}
	}
	return out
}

// packet returns a packet with the given updates and, as far as there is room,
// the changes that wait for transmission.
func (t *Table) packet(kind encoder.PacketKind, updates []*encoder.Member) *encoder.Packet {
	packet := &encoder.Packet{
		Kind:            kind,
		Sender:          t.self.member,
		SettingsVersion: uint64(t.version),
	}
	size := 0
	for _, update := range updates {
		size += proto.Size(update) + 4
		if size > packetBytes {
			break
		}
		packet.Updates = append(packet.Updates, update)
	}
	for id, e := range t.pending {
		if size+e.size > packetBytes {
			break
		}
		size += e.size
		packet.Updates = append(packet.Updates, e.member)
		e.sends--
		if e.sends <= 0 {
			delete(t.pending, id)
		}
	}
	return packet
}
