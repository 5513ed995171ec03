package gossiper

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Receive processes one packet and returns the packets to send in response.
func (t *Table) Receive(now time.Time, packet *encoder.Packet) []Outgoing {
	sender := packet.GetSender()
	from, ok := parseAddress(sender.GetPeerAddress())
	if !ok || sender.GetId() == "" || sender.GetId() == t.self.member.GetId() {
		return nil
	}
	corrections := t.merge(now, sender, true)
	corrections = append(corrections, t.formerOf(now, sender)...)
	// A peer that answers from its table sends what the other members know
	// already, so these updates are not forwarded.
	forward := packet.GetKind() != encoder.PacketKind_SYNC || !packet.GetAnswer() || len(packet.GetDigests()) > 0
	for _, update := range packet.GetUpdates() {
		if update.GetId() != "" {
			corrections = append(corrections, t.merge(now, update, forward)...)
		}
	}
	switch packet.GetKind() {
	case encoder.PacketKind_PING:
		return t.acknowledge(from, packet, corrections)
	case encoder.PacketKind_ACK:
		return t.handleAck(packet)
	case encoder.PacketKind_PING_REQUEST:
		return t.relayProbe(now, from, packet)
	case encoder.PacketKind_JOIN:
		t.queueAll(from, corrections)
		return t.flushSendQueues()
	case encoder.PacketKind_SYNC:
		t.sendQueues[from] = append(t.sendQueues[from], corrections...)
		return t.answerDigests(from, packet)
	default:
		return nil
	}
}

// parseAddress parses the address of a member, and reports whether packets can be sent to it.
func parseAddress(text string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(text)
	return address, err == nil && address.Port() > 0
}

// merge stores an update that supersedes the known announcement, and queues it
// for transmission if forward is set. If the known announcement supersedes the
// update, merge returns it, so that the sender can be corrected.
func (t *Table) merge(now time.Time, update *encoder.Member, forward bool) []*encoder.Member {
	if update.GetId() == t.self.member.GetId() {
		t.refute(now, update)
		return nil
	}
	if _, ok := parseAddress(update.GetPeerAddress()); !ok {
		return nil
	}
	known := t.members[update.GetId()]
	switch {
	case known == nil && update.GetState() == encoder.MemberState_DEAD:
		return nil
	case known == nil || supersedes(update, known.member):
		stored := t.store(now, update)
		if forward {
			t.queueBroadcast(stored)
		} else {
			delete(t.pending, update.GetId())
		}
		return nil
	case supersedes(known.member, update):
		return []*encoder.Member{known.member}
	default:
		return nil
	}
}

// formerOf returns the last announcement of an earlier process of the sender if that process
// was replaced a short time ago and its backend server was leaving.
func (t *Table) formerOf(now time.Time, sender *encoder.Member) []*encoder.Member {
	e := t.members[sender.GetId()]
	if e == nil || e.former == nil || now.Sub(e.formerSince) >= formerRetention {
		return nil
	}
	return []*encoder.Member{e.former}
}

// refute overrides another node's claim about the state of this node. It
// announces the actual state with a revision above that of the claim. If the claim is about
// an earlier process of this node, it only notes a leaving backend server.
func (t *Table) refute(now time.Time, update *encoder.Member) {
	self := t.self.member
	if update.GetIncarnation() < self.GetIncarnation() && update.GetBackend().GetLeaving() {
		t.formerBackends = append(t.formerBackends, update.GetBackend())
	}
	if update.GetIncarnation() != self.GetIncarnation() || !supersedes(update, self) {
		return
	}
	state := self.GetState()
	self = proto.Clone(self).(*encoder.Member)
	self.Revision = update.GetRevision()
	t.self.member = self
	t.announce(now, state)
}

// acknowledge answers a probe. The answer contains corrections of outdated
// updates that the prober sent.
func (t *Table) acknowledge(to netip.AddrPort, packet *encoder.Packet, corrections []*encoder.Member) []Outgoing {
	answer := t.packet(encoder.PacketKind_ACK, corrections)
	answer.Sequence = packet.GetSequence()
	return []Outgoing{{
		To:     to,
		Packet: answer,
	}}
}

// handleAck ends the probe that the packet answers. If another member requested
// the probe, handleAck forwards the acknowledgment to it.
func (t *Table) handleAck(packet *encoder.Packet) []Outgoing {
	p := t.probes[packet.GetSequence()]
	if p == nil {
		return nil
	}
	delete(t.probes, packet.GetSequence())
	if !p.requester.IsValid() {
		return nil
	}
	answer := t.packet(encoder.PacketKind_ACK, nil)
	answer.Sequence = p.requesterSequence
	return []Outgoing{{
		To:     p.requester,
		Packet: answer,
	}}
}

// relayProbe probes a member on behalf of another member.
func (t *Table) relayProbe(now time.Time, from netip.AddrPort, packet *encoder.Packet) []Outgoing {
	subject := t.members[packet.GetSubject()]
	if subject == nil {
		return nil
	}
	return t.ping(now, subject, probe{
		indirect:          true,
		requester:         from,
		requesterSequence: packet.GetSequence(),
	})
}

// answerDigests sends a peer the members of all buckets whose digests differ. It
// adds this node's digests if the packet is no answer itself, so that the peer
// sends its members in turn.
func (t *Table) answerDigests(from netip.AddrPort, packet *encoder.Packet) []Outgoing {
	theirs := packet.GetDigests()
	if len(theirs) != bucketCount {
		return t.flushSendQueues()
	}
	differ := false
	for _, e := range t.members {
		b := bucket(e.member.GetId())
		if theirs[b] != t.digests[b] {
			differ = true
			t.sendQueues[from] = append(t.sendQueues[from], e.member)
		}
	}
	out := t.flushSendQueues()
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

// queueAll queues the corrections and all known members for a joining member.
func (t *Table) queueAll(to netip.AddrPort, corrections []*encoder.Member) {
	list := make([]*encoder.Member, 0, len(corrections)+len(t.members))
	list = append(list, corrections...)
	for _, e := range t.members {
		list = append(list, e.member)
	}
	t.sendQueues[to] = list
}

// flushSendQueues returns up to maxSyncPackets packets for each peer that has
// members queued.
func (t *Table) flushSendQueues() []Outgoing {
	var out []Outgoing
	for to, list := range t.sendQueues {
		for packets := 0; len(list) > 0 && packets < maxSyncPackets; packets++ {
			size, n := 0, 0
			for n < len(list) && (n == 0 || size+proto.Size(list[n])+4 <= maxUpdateBytes) {
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
			delete(t.sendQueues, to)
		} else {
			t.sendQueues[to] = list
		}
	}
	return out
}

// packet returns a packet with the given updates and as many pending changes as
// fit into maxUpdateBytes.
func (t *Table) packet(kind encoder.PacketKind, updates []*encoder.Member) *encoder.Packet {
	packet := &encoder.Packet{
		Kind:            kind,
		Sender:          t.self.member,
		SettingsVersion: uint64(t.version),
	}
	size := 0
	for _, update := range updates {
		size += proto.Size(update) + 4
		if size > maxUpdateBytes {
			break
		}
		packet.Updates = append(packet.Updates, update)
	}
	for id, e := range t.pending {
		if size+e.size > maxUpdateBytes {
			break
		}
		size += e.size
		packet.Updates = append(packet.Updates, e.member)
		e.transmitsLeft--
		if e.transmitsLeft <= 0 {
			delete(t.pending, id)
		}
	}
	return packet
}
