package gossiper

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

var start = time.Unix(1_800_000_000, 0)

// fleet simulates a number of tables and the network between them.
type fleet struct {
	rng    *rand.Rand
	now    time.Time
	tables []*Table
	byAddr map[netip.AddrPort]*Table
	// partition assigns tables to partitions. Packets between partitions are lost.
	partition map[*Table]int
	stopped   map[*Table]bool
	loss      float64
	packets   int
	bytes     int
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		now:       start,
		byAddr:    make(map[netip.AddrPort]*Table),
		partition: make(map[*Table]int),
		stopped:   make(map[*Table]bool),
	}
	for range n {
		f.add()
	}
	return f
}

func (f *fleet) add() *Table {
	i := len(f.tables)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7946)
	table := New(Config{
		Self: &encoder.Member{
			Id:          fmt.Sprintf("member-%04d", i),
			Incarnation: uint64(f.now.UnixNano()),
			Region:      fmt.Sprint("region-", i%5),
			Zone:        fmt.Sprint("zone-", i%10),
			PeerAddress: address.String(),
			HttpAddress: address.String(),
			Team:        "county",
			Service:     fmt.Sprint("service-", i%220),
			Slots:       110,
		},
		Rand: rand.New(rand.NewPCG(uint64(i), f.rng.Uint64())),
	})
	if i > 0 {
		table.AddContacts(f.tables[f.rng.IntN(i)].self.address)
	}
	f.tables = append(f.tables, table)
	f.byAddr[address] = table
	return table
}

// run advances the simulated clock by d and ticks all running tables.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(TickInterval) {
		for _, table := range f.tables {
			if !f.stopped[table] {
				f.send(table, table.Tick(f.now))
			}
			table.TakeChanges()
		}
	}
}

func (f *fleet) send(from *Table, out []Outgoing) {
	for len(out) > 0 {
		f.packets++
		f.bytes += proto.Size(out[0].Packet)
		to := f.byAddr[out[0].To]
		packet := out[0].Packet
		out = out[1:]
		if to == nil || f.stopped[to] || f.partition[to] != f.partition[from] || f.rng.Float64() < f.loss {
			continue
		}
		f.send(to, to.Receive(f.now, packet))
	}
}

// fractionInState returns the fraction of the other running tables in which the
// member has the state.
func (f *fleet) fractionInState(id string, state encoder.MemberState) float64 {
	agreeing, all := 0, 0
	for _, table := range f.tables {
		if f.stopped[table] || table.self.member.GetId() == id {
			continue
		}
		all++
		if member := table.Member(id); member != nil && member.GetState() == state {
			agreeing++
		}
	}
	return float64(agreeing) / float64(all)
}

// leastKnown returns the lowest number of members that are not dead in any running
// table.
func (f *fleet) leastKnown() int {
	least := len(f.tables)
	for _, table := range f.tables {
		if !f.stopped[table] {
			least = min(least, len(table.Members()))
		}
	}
	return least
}

func TestMembersFindEachOther(t *testing.T) {
	f := newFleet(100, 1)
	f.run(15 * time.Second)
	if got := f.leastKnown(); got != 100 {
		t.Errorf("lowest number of known members at any node: got %d, want 100", got)
	}
}

// TestSeparateGroupsMergeThroughContact guards against groups that stay separate:
// nodes that start at the same time may find only the members of their own group.
func TestSeparateGroupsMergeThroughContact(t *testing.T) {
	f := newFleet(10, 10)
	for i, table := range f.tables {
		table.contacts = nil
		if i%5 > 0 {
			table.AddContacts(f.tables[i-1].self.address)
		}
	}
	f.run(15 * time.Second)
	if got := f.leastKnown(); got != 5 {
		t.Fatalf("before the contact is added: got %d known members, want the 5 of the own group", got)
	}
	f.tables[7].AddContacts(f.tables[2].self.address)
	f.run(15 * time.Second)
	if got := f.leastKnown(); got != 10 {
		t.Errorf("after the contact is added: got %d known members, want 10", got)
	}
}

func TestLeavingReachesAllWithinThreeSeconds(t *testing.T) {
	const size = 300
	f := newFleet(size, 2)
	f.run(30 * time.Second)
	f.loss = 0.02
	f.tables[7].Leave(f.now)
	f.run(3 * time.Second)
	if got := f.fractionInState("member-0007", encoder.MemberState_LEAVING); got != 1 {
		t.Errorf("3 s after the announcement: member is leaving at %.4f of %d nodes, want all", got, size)
	}
}

func TestUnresponsiveMemberIsDeclaredDeadAndRecovers(t *testing.T) {
	f := newFleet(50, 3)
	f.run(20 * time.Second)
	frozen := f.tables[5]
	f.stopped[frozen] = true
	f.run(15 * time.Second)
	if got := f.fractionInState("member-0005", encoder.MemberState_DEAD); got != 1 {
		t.Errorf("after 15 s without answers: member is dead at %.2f of the nodes, want all", got)
	}
	f.stopped[frozen] = false
	f.run(15 * time.Second)
	if got := f.fractionInState("member-0005", encoder.MemberState_ALIVE); got != 1 {
		t.Errorf("15 s after it resumed: member is alive at %.2f of the nodes, want all", got)
	}
}

func TestPacketLossDeclaresNoMemberDead(t *testing.T) {
	f := newFleet(50, 4)
	f.run(20 * time.Second)
	f.loss = 0.1
	f.run(2 * time.Minute)
	if got := f.leastKnown(); got != 50 {
		t.Errorf("10%% packet loss for two minutes: got %d known members, want 50", got)
	}
}

func TestPartitionMergesAfterwards(t *testing.T) {
	f := newFleet(60, 5)
	f.run(20 * time.Second)
	for i, table := range f.tables {
		f.partition[table] = i % 3
	}
	f.run(2 * time.Minute)
	if got := f.leastKnown(); got != 20 {
		t.Errorf("three partitions: got %d known members, want the 20 of the own partition", got)
	}
	f.partition = make(map[*Table]int)
	f.run(time.Minute)
	if got := f.leastKnown(); got != 60 {
		t.Errorf("a minute after healing: got %d known members, want 60", got)
	}
}

func TestRestartReplacesTheOldIncarnation(t *testing.T) {
	f := newFleet(20, 6)
	f.run(20 * time.Second)
	old := f.tables[3]
	f.stopped[old] = true
	restarted := f.add()
	restarted.self.member.Id = old.self.member.GetId()
	delete(restarted.members, "member-0020")
	restarted.members[old.self.member.GetId()] = restarted.self
	restarted.ids[0] = old.self.member.GetId()
	// One contact is dead, so the node must join through the other one.
	restarted.contacts = nil
	restarted.AddContacts(old.self.address, f.tables[0].self.address)
	f.run(20 * time.Second)
	for _, table := range f.tables {
		if f.stopped[table] {
			continue
		}
		if got, want := table.Member("member-0003").GetIncarnation(), restarted.self.member.GetIncarnation(); got != want {
			t.Errorf("%s: got incarnation %d, want %d", table.self.member.GetId(), got, want)
		}
	}
}

func TestMalformedPacketsAreIgnored(t *testing.T) {
	f := newFleet(2, 7)
	f.run(5 * time.Second)
	for _, packet := range []*encoder.Packet{
		{},
		{Sender: &encoder.Member{Id: "x"}},
		{Sender: &encoder.Member{PeerAddress: "127.0.0.1:1"}},
		{Sender: &encoder.Member{Id: "x", PeerAddress: "nonsense"}},
		{Kind: encoder.PacketKind_SYNC, Sender: &encoder.Member{Id: "y", PeerAddress: "127.0.0.1:1"}, Digests: []uint64{1}, Updates: []*encoder.Member{{}}},
	} {
		f.tables[0].Receive(f.now, packet)
	}
	if got := f.tables[0].Member(""); got != nil {
		t.Errorf("malformed update stored a member without an ID")
	}
}

// BenchmarkFleet measures the growth of the cost with the size of the fleet, which
// docs/CAPACITY.md gives. One operation is one second of the whole fleet.
// TestMemberWithoutAUsableAddressIsKept sends members whose addresses cannot be reached, as sender
// and among the updates.
func TestMemberWithoutAUsableAddressIsKept(t *testing.T) {
	f := newFleet(1, 1)
	table := f.tables[0]
	good := &encoder.Member{
		Id:          "good",
		Incarnation: 1,
		PeerAddress: "127.0.0.1:7946",
	}
	packet := &encoder.Packet{
		Kind:   encoder.PacketKind_SYNC,
		Answer: true,
		Sender: good,
	}
	for i, address := range []string{"127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1", "nowhere", ""} {
		bad := &encoder.Member{
			Id:          fmt.Sprint("bad-", i),
			Incarnation: 1,
			PeerAddress: address,
		}
		packet.Updates = append(packet.Updates, bad)
		table.Receive(start, &encoder.Packet{
			Kind:   encoder.PacketKind_PING,
			Sender: bad,
		})
	}
	table.Receive(start, packet)
	if table.Member("good") == nil {
		t.Error("the good member is missing")
	}
	for i, update := range packet.GetUpdates() {
		if table.Member(update.GetId()) != nil {
			t.Errorf("address %d, %q: got a member, want none", i, update.GetPeerAddress())
		}
	}
}

func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{10, 100, 300, 1000, 1800} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFleet(size, 8)
			f.run(4 * time.Minute)
			leastKnown := f.leastKnown()
			f.packets, f.bytes = 0, 0
			for b.Loop() {
				f.run(time.Second)
			}
			seconds := float64(b.N)
			b.ReportMetric(float64(f.bytes)/seconds/float64(size), "bytes/s/node")
			b.ReportMetric(float64(f.packets)/seconds/float64(size), "packets/s/node")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/seconds/float64(size), "cpu-ns/s/node")
			b.ReportMetric(float64(leastKnown), "known")
		})
	}
}

// BenchmarkSpread measures the time until a change reaches all nodes and the bytes
// sent for it.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []int{100, 300, 1000, 1800} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFleet(size, 9)
			f.run(4 * time.Minute)
			f.packets, f.bytes = 0, 0
			leaver, total, worst := 0, time.Duration(0), time.Duration(0)
			for b.Loop() {
				f.tables[leaver].Leave(f.now)
				id := f.tables[leaver].self.member.GetId()
				from := f.now
				for f.fractionInState(id, encoder.MemberState_LEAVING) < 1 && f.now.Sub(from) < time.Minute {
					f.run(TickInterval)
				}
				total += f.now.Sub(from)
				worst = max(worst, f.now.Sub(from))
				f.run(5 * time.Second)
				leaver = (leaver + 1) % size
			}
			b.ReportMetric(total.Seconds()/float64(b.N), "s-to-all")
			b.ReportMetric(worst.Seconds(), "s-worst")
			b.ReportMetric(float64(f.bytes)/float64(b.N)/float64(size), "bytes/change/node")
		})
	}
}

// restart replaces a table by one of a new process of the same member, which knows only its
// contacts.
func (f *fleet) restart(old *Table, contacts ...*Table) *Table {
	table := New(Config{
		Self: &encoder.Member{
			Id:          old.Self().GetId(),
			Incarnation: uint64(f.now.UnixNano()),
			Region:      old.Self().GetRegion(),
			Zone:        old.Self().GetZone(),
			PeerAddress: old.Self().GetPeerAddress(),
			Service:     old.Self().GetService(),
			Registers:   true,
		},
		Rand: rand.New(rand.NewPCG(f.rng.Uint64(), 1)),
	})
	for _, contact := range contacts {
		table.AddContacts(contact.self.address)
	}
	for i := range f.tables {
		if f.tables[i] == old {
			f.tables[i] = table
		}
	}
	f.byAddr[old.self.address] = table
	return table
}

// TestRestartedNodeForgetsThatItsServerLeft guards against a node that takes a server back after
// a restart without the store, whether it joins the others or is found by them.
func TestRestartedNodeForgetsThatItsServerLeft(t *testing.T) {
	for _, joins := range []bool{true, false} {
		for _, leaving := range []bool{true, false} {
			f := newFleet(8, 3)
			f.loss = 0.2
			f.run(5 * time.Second)
			f.tables[2].SetBackend(f.now, &encoder.Backend{
				Id:            "i-1",
				BornUnixMilli: 1000,
				Leaving:       leaving,
			}, 10)
			f.run(2 * time.Second)
			var contacts []*Table
			if joins {
				contacts = f.tables[:2]
			}
			restarted := f.restart(f.tables[2], contacts...)
			f.run(10 * time.Second)
			former := restarted.TakeFormerBackends()
			if got := len(former) > 0; got != leaving {
				t.Errorf("joins %t, leaving %t: got told %t, want %t", joins, leaving, got, leaving)
			}
			for _, backend := range former {
				if backend.GetId() != "i-1" || backend.GetBornUnixMilli() != 1000 {
					t.Errorf("got backend server %s, want i-1", backend)
				}
			}
		}
	}
}
