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

// fleet is a number of tables and a network between them.
type fleet struct {
	rng    *rand.Rand
	now    time.Time
	tables []*Table
	byAddr map[netip.AddrPort]*Table
	// side splits the fleet: packets between different sides are lost.
	side    map[*Table]int
	stopped map[*Table]bool
	loss    float64
	packets int
	bytes   int
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     start,
		byAddr:  make(map[netip.AddrPort]*Table),
		side:    make(map[*Table]int),
		stopped: make(map[*Table]bool),
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

// run advances the paused clock.
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
		if to == nil || f.stopped[to] || f.side[to] != f.side[from] || f.rng.Float64() < f.loss {
			continue
		}
		f.send(to, to.Receive(f.now, packet))
	}
}

// agree returns the share of running tables in which the member has the state.
func (f *fleet) agree(id string, state encoder.MemberState) float64 {
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

// known returns the least number of living members any running table knows.
func (f *fleet) known() int {
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
	if got := f.known(); got != 100 {
		t.Errorf("got %d members known at the least informed node, want 100", got)
	}
}

// TestIslandsMergeThroughContacts joins two groups that started at the same time
// and found only their own members.
func TestIslandsMergeThroughContacts(t *testing.T) {
	f := newFleet(10, 10)
	for i, table := range f.tables {
		table.contacts = nil
		if i%5 > 0 {
			table.AddContacts(f.tables[i-1].self.address)
		}
	}
	f.run(15 * time.Second)
	if got := f.known(); got != 5 {
		t.Fatalf("before the contact: got %d members known, want the own group's 5", got)
	}
	f.tables[7].AddContacts(f.tables[2].self.address)
	f.run(15 * time.Second)
	if got := f.known(); got != 10 {
		t.Errorf("after the contact: got %d members known, want 10", got)
	}
}

func TestLeavingReachesAllWithinThreeSeconds(t *testing.T) {
	const size = 300
	f := newFleet(size, 2)
	f.run(30 * time.Second)
	f.loss = 0.02
	f.tables[7].Leave(f.now)
	f.run(3 * time.Second)
	if got := f.agree("member-0007", encoder.MemberState_LEAVING); got != 1 {
		t.Errorf("3 s after the announcement: got %.4f of %d nodes informed, want all", got, size)
	}
}

func TestSilentMemberIsDeclaredDeadAndComesBack(t *testing.T) {
	f := newFleet(50, 3)
	f.run(20 * time.Second)
	frozen := f.tables[5]
	f.stopped[frozen] = true
	f.run(15 * time.Second)
	if got := f.agree("member-0005", encoder.MemberState_DEAD); got != 1 {
		t.Errorf("frozen for 15 s: got %.2f of nodes that hold it dead, want all", got)
	}
	f.stopped[frozen] = false
	f.run(15 * time.Second)
	if got := f.agree("member-0005", encoder.MemberState_ALIVE); got != 1 {
		t.Errorf("back for 15 s: got %.2f of nodes that hold it alive, want all", got)
	}
}

func TestLossAloneKillsNobody(t *testing.T) {
	f := newFleet(50, 4)
	f.run(20 * time.Second)
	f.loss = 0.1
	f.run(2 * time.Minute)
	if got := f.known(); got != 50 {
		t.Errorf("10%% loss for two minutes: got %d members known, want 50", got)
	}
}

func TestPartitionMergesAfterwards(t *testing.T) {
	f := newFleet(60, 5)
	f.run(20 * time.Second)
	for i, table := range f.tables {
		f.side[table] = i % 3
	}
	f.run(2 * time.Minute)
	if got := f.known(); got != 20 {
		t.Errorf("in three parts: got %d members known, want the own part's 20", got)
	}
	f.side = make(map[*Table]int)
	f.run(time.Minute)
	if got := f.known(); got != 60 {
		t.Errorf("a minute after the partition: got %d members known, want 60", got)
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
	// One contact is dead: the node must get past it to a living one.
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
		t.Errorf("got a member without an ID, want none")
	}
}

// BenchmarkFleet gives the slopes of docs/CAPACITY.md: one operation is one
// second of the whole fleet.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{10, 100, 300, 1000, 1800} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFleet(size, 8)
			f.run(4 * time.Minute)
			known := f.known()
			f.packets, f.bytes = 0, 0
			for b.Loop() {
				f.run(time.Second)
			}
			seconds := float64(b.N)
			b.ReportMetric(float64(f.bytes)/seconds/float64(size), "bytes/s/node")
			b.ReportMetric(float64(f.packets)/seconds/float64(size), "packets/s/node")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/seconds/float64(size), "cpu-ns/s/node")
			b.ReportMetric(float64(known), "known")
		})
	}
}

// BenchmarkSpread measures how long a change needs to reach all nodes and what
// it costs.
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
				for f.agree(id, encoder.MemberState_LEAVING) < 1 && f.now.Sub(from) < time.Minute {
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
