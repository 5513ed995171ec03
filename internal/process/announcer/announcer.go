// Package announcer runs the membership protocol over UDP and reports changed
// members to its owner.
//
// A node finds its first members through the addresses in the process settings
// and through the announcements in a table of the platform's store. The addresses
// in the process settings also work while the store is unavailable.
//
// # Usage
//
//	a := announcer.New(announcer.Config{Self: member, Conn: conn, OnChange: dispatcher.Update})
//	err := a.Run(ctx)
//	a.Leave()
package announcer

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/laburnumshelf/laburnumshelf/internal/process/gossiper"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/logclient"
)

// MembersTable is the name of the table in the platform's store that holds the
// announcements of the members.
const MembersTable = "laburnumshelf-members"

// Announcement parameters.
const (
	// contactPeriod is the mean time between two reads of MembersTable while no
	// other member is known, and between two attempts while the store is unavailable.
	contactPeriod  = 2 * time.Second
	storeTimeout   = 2 * time.Second
	maxPacketBytes = 64 << 10
)

var badPackets = expvar.NewInt("badPackets")

// Config holds the parameters of an Announcer.
type Config struct {
	Self *encoder.Member
	Conn net.PacketConn
	// Store holds MembersTable. It may be nil.
	Store logclient.Tables
	// Contacts are the addresses from the process settings.
	Contacts []netip.AddrPort
	// OnChange is called with the new announcement of each changed member.
	OnChange func(member *encoder.Member)
	// OnVersion is called with the sender and its settings version for each packet
	// that arrives.
	OnVersion func(version int64, member *encoder.Member)
	// OnConfirmation is called for each confirmation that arrives: version was the newest
	// one in the operator's table before age. It may be nil.
	OnConfirmation func(version int64, age time.Duration, member *encoder.Member)
	// OnFormerBackend is called when the store or another member tells that a backend server
	// left while an earlier process of this node ran. It may be nil, and may be called
	// several times for one backend server.
	OnFormerBackend func(backend *encoder.Backend)
	// OnQuota is called for each packet about quotas that arrives. It may be nil.
	OnQuota func(packet *encoder.Packet)
	// StoreEra returns the era of Store, and whether it is known. OnEra is called when the store
	// has another one than before, and OnRestored when the records of this node are in the store
	// again. Each may be nil.
	StoreEra   func() (era int64, known bool)
	OnEra      func(change EraChange)
	OnRestored func(restoration Restoration)
	Rand       *rand.Rand
}

// Announcer keeps one node in the membership and knows the other members. Its
// methods are safe for concurrent use.
type Announcer struct {
	config Config

	mu    sync.Mutex
	table *gossiper.Table
	// packets and bytes count what was sent.
	packets int64
	bytes   int64
	// changes holds the members that changed and are not reported yet. reporting is set while a
	// goroutine reports them.
	changes   []*encoder.Member
	reporting bool
	// recorded is the number of backend servers that RecordLeaving has stored. leavings holds
	// the records of this node's backend servers that left, by their keys in the store.
	recorded int
	leavings map[string][]byte
	// era is the highest known era of the store, or unknownEra. restoring is set while records
	// of this node may be missing in the store.
	era       int64
	restoring bool

	// eraChanged gets a value when records must be written again.
	eraChanged chan struct{}
	// storing has an element while a record of a backend server that left is written.
	storing chan struct{}
}

// New returns an Announcer that knows only its own node and the contacts.
func New(config Config) *Announcer {
	table := gossiper.New(gossiper.Config{
		Self: config.Self,
		Rand: config.Rand,
	})
	table.AddContacts(config.Contacts...)
	return &Announcer{
		config:     config,
		table:      table,
		leavings:   make(map[string][]byte),
		era:        unknownEra,
		eraChanged: make(chan struct{}, 1),
		storing:    make(chan struct{}, 1),
	}
}

// Members returns the members that are not dead, sorted by ID.
func (a *Announcer) Members() []*encoder.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Members()
}

// ContactCount returns the number of known addresses of possible members.
func (a *Announcer) ContactCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.ContactCount()
}

// SentTraffic returns the number of packets and bytes sent.
func (a *Announcer) SentTraffic() (packets, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.packets, a.bytes
}

// Leave announces that the node accepts no new work.
func (a *Announcer) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.Leave(time.Now())
}

// SetBackend announces the state of the local backend server and its slots.
func (a *Announcer) SetBackend(backend *encoder.Backend, slots uint32) {
	a.applyEvent(func(table *gossiper.Table) []gossiper.Outgoing {
		table.SetBackend(time.Now(), backend, slots)
		return nil
	})
}

// SetStoreLost announces whether this node's reads of the operator's settings fail.
func (a *Announcer) SetStoreLost(lost bool) {
	a.applyEvent(func(table *gossiper.Table) []gossiper.Outgoing {
		table.SetStoreLost(time.Now(), lost)
		return nil
	})
}

// SetVersion announces the settings version in force at this node.
func (a *Announcer) SetVersion(version int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.SetVersion(version)
}

// ConfirmVersion tells members that version was the newest one in the operator's table
// before age.
func (a *Announcer) ConfirmVersion(version int64, age time.Duration, members []*encoder.Member) {
	self := a.config.Self
	packet := &encoder.Packet{
		Kind: encoder.PacketKind_CONFIRM,
		Sender: &encoder.Member{
			Id:          self.GetId(),
			Incarnation: self.GetIncarnation(),
			Region:      self.GetRegion(),
			Zone:        self.GetZone(),
			PeerAddress: self.GetPeerAddress(),
		},
		SettingsVersion:   uint64(version),
		SettingsAgeMillis: uint32(age.Milliseconds()),
	}
	out := make([]gossiper.Outgoing, 0, len(members))
	for _, member := range members {
		address, err := netip.ParseAddrPort(member.GetPeerAddress())
		if err != nil {
			continue
		}
		out = append(out, gossiper.Outgoing{
			To:     address,
			Packet: packet,
		})
	}
	a.send(out)
}

// SendQuota sends a packet about quotas to another node.
func (a *Announcer) SendQuota(to netip.AddrPort, packet *encoder.Packet) {
	a.send([]gossiper.Outgoing{{
		To:     to,
		Packet: packet,
	}})
}

// Run sends and receives packets until ctx is done.
func (a *Announcer) Run(ctx context.Context) error {
	go a.contactLoop(ctx)
	go a.restoreLoop(ctx)
	go a.receiveLoop(ctx)
	ticker := time.NewTicker(gossiper.TickInterval)
	defer ticker.Stop()
	for {
		a.applyEvent(func(table *gossiper.Table) []gossiper.Outgoing {
			return table.Tick(time.Now())
		})
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// applyEvent applies one event to the table under the lock. It then reports the
// changes and sends the packets without the lock.
func (a *Announcer) applyEvent(event func(*gossiper.Table) []gossiper.Outgoing) {
	a.mu.Lock()
	out := event(a.table)
	a.changes = append(a.changes, a.table.TakeChanges()...)
	former := a.table.TakeFormerBackends()
	a.mu.Unlock()
	a.reportChanges()
	a.reportFormerBackends(former...)
	a.send(out)
}

// reportChanges reports the changed members in the order of their changes. The older of two
// announcements of a member would stay if it came last. If another goroutine is reporting, that one
// reports these changes too.
func (a *Announcer) reportChanges() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reporting {
		return
	}
	a.reporting = true
	for len(a.changes) > 0 {
		changes := a.changes
		a.changes = nil
		a.mu.Unlock()
		for _, member := range changes {
			a.config.OnChange(member)
		}
		a.mu.Lock()
	}
	a.reporting = false
}

func (a *Announcer) reportFormerBackends(backends ...*encoder.Backend) {
	if a.config.OnFormerBackend == nil {
		return
	}
	for _, backend := range backends {
		a.config.OnFormerBackend(backend)
	}
}

// send sends packets and counts them.
func (a *Announcer) send(out []gossiper.Outgoing) {
	packets, bytes := int64(0), int64(0)
	era, _ := a.Era()
	for _, o := range out {
		if !isAboutQuotas(o.Packet) {
			o.Packet.StoreEra = uint64(era + 1)
		}
		payload, err := proto.Marshal(o.Packet)
		if err != nil {
			continue
		}
		if _, err := a.config.Conn.WriteTo(payload, net.UDPAddrFromAddrPort(o.To)); err == nil {
			packets++
			bytes += int64(len(payload))
		}
	}
	a.mu.Lock()
	a.packets += packets
	a.bytes += bytes
	a.mu.Unlock()
}

func (a *Announcer) receiveLoop(ctx context.Context) {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, _, err := a.config.Conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		packet := &encoder.Packet{}
		if err := proto.Unmarshal(buffer[:n], packet); err != nil {
			badPackets.Add(1)
			continue
		}
		a.handlePacket(packet)
	}
}

// handlePacket passes a packet to the table, unless it only confirms a settings version or is
// about quotas.
func (a *Announcer) handlePacket(packet *encoder.Packet) {
	if isAboutQuotas(packet) {
		if a.config.OnQuota != nil {
			a.config.OnQuota(packet)
		}
		return
	}
	a.observePeerEra(packet)
	version := int64(packet.GetSettingsVersion())
	if packet.GetKind() != encoder.PacketKind_CONFIRM {
		a.applyEvent(func(table *gossiper.Table) []gossiper.Outgoing {
			return table.Receive(time.Now(), packet)
		})
		a.config.OnVersion(version, packet.GetSender())
		return
	}
	if a.config.OnConfirmation != nil {
		a.config.OnConfirmation(version, time.Duration(packet.GetSettingsAgeMillis())*time.Millisecond, packet.GetSender())
	}
}

func isAboutQuotas(packet *encoder.Packet) bool {
	kind := packet.GetKind()
	return kind == encoder.PacketKind_QUOTA_REPORT || kind == encoder.PacketKind_QUOTA_GRANT
}
