// Package announcer runs the membership protocol over UDP and tells its owner
// what changed.
//
// The first contact comes from addresses in the process settings and from the
// announcements in a table of the platform's store, so that it works while the
// store is away.
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

	"github.com/laburnumshelf/laburnumshelf/internal/platform/logclient"
	"github.com/laburnumshelf/laburnumshelf/internal/process/gossiper"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// MembersTable is the name of the table of announcements in the platform's store.
const MembersTable = "laburnumshelf-members"

// Announcement parameters.
const (
	// contactPeriod is the time between two reads while alone, and between two
	// tries while the store is away.
	contactPeriod  = 2 * time.Second
	storeTimeout   = 2 * time.Second
	maxPacketBytes = 64 << 10
)

var badPackets = expvar.NewInt("badPackets")

// Config is what an Announcer needs.
type Config struct {
	Self *encoder.Member
	Conn net.PacketConn
	// Store may be nil.
	Store    logclient.Table
	Contacts []netip.AddrPort
	// OnChange is called with each member that changed.
	OnChange func(member *encoder.Member)
	// OnVersion is called when a member announces its settings version.
	OnVersion func(version int64, member *encoder.Member)
	Rand      *rand.Rand
}

// Announcer is one node's membership. Its methods are safe for concurrent use.
type Announcer struct {
	config Config

	mu    sync.Mutex
	table *gossiper.Table
	sent  int64
	// bytes counts the bytes sent.
	bytes int64
}

// New returns an Announcer that knows only its own node.
func New(config Config) *Announcer {
	table := gossiper.New(gossiper.Config{
		Self: config.Self,
		Rand: config.Rand,
	})
	table.AddContacts(config.Contacts...)
	return &Announcer{
		config: config,
		table:  table,
	}
}

// Members returns the members that are not dead.
func (a *Announcer) Members() []*encoder.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Members()
}

// SentTraffic returns the packets and bytes sent.
func (a *Announcer) SentTraffic() (packets, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent, a.bytes
}

// Leave announces that the node takes no new work.
func (a *Announcer) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.Leave(time.Now())
}

// SetBackend announces what the local backend server said of itself.
func (a *Announcer) SetBackend(backend *encoder.Backend, slots uint32) {
	a.step(func(table *gossiper.Table) []gossiper.Outgoing {
		table.SetBackend(time.Now(), backend, slots)
		return nil
	})
}

// SetVersion announces the settings version in force.
func (a *Announcer) SetVersion(version int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.SetVersion(version)
}

// Run sends and receives until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	go a.contactLoop(ctx)
	go a.receiveLoop(ctx)
	ticker := time.NewTicker(gossiper.TickInterval)
	defer ticker.Stop()
	for {
		a.step(func(table *gossiper.Table) []gossiper.Outgoing {
			return table.Tick(time.Now())
		})
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// step runs one event on the table, then sends and reports what came of it
// without the lock.
func (a *Announcer) step(event func(*gossiper.Table) []gossiper.Outgoing) {
	a.mu.Lock()
	out := event(a.table)
	changes := a.table.TakeChanges()
	a.mu.Unlock()
	for _, member := range changes {
		a.config.OnChange(member)
	}
	packets, bytes := int64(0), int64(0)
	for _, o := range out {
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
	a.sent += packets
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
		a.step(func(table *gossiper.Table) []gossiper.Outgoing {
			return table.Receive(time.Now(), packet)
		})
		a.config.OnVersion(int64(packet.GetSettingsVersion()), packet.GetSender())
	}
}

// contactLoop announces the node once and then reads the other announcements.
// Of any two nodes the one that reads later sees the other, so one read is enough
// for nodes that start at the same time. It reads again while the node is alone.
func (a *Announcer) contactLoop(ctx context.Context) {
	if a.config.Store == nil {
		return
	}
	announced, read := false, false
	for {
		announced = announced || a.announce(ctx) == nil
		if !read || len(a.Members()) < 2 {
			read = a.readContacts(ctx) == nil && announced
		}
		pause := contactPeriod/2 + rand.N(contactPeriod)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

func (a *Announcer) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	payload, err := proto.Marshal(a.config.Self)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	return a.config.Store.Put(ctx, MembersTable, a.config.Self.GetId(), payload)
}

func (a *Announcer) readContacts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, err := a.config.Store.Newest(ctx, MembersTable)
	if err != nil {
		return err
	}
	for _, entry := range entries.Entries {
		member := &encoder.Member{}
		if err := proto.Unmarshal(entry.Value, member); err != nil {
			badPackets.Add(1)
			continue
		}
		address, err := netip.ParseAddrPort(member.GetPeerAddress())
		if err != nil {
			badPackets.Add(1)
			continue
		}
		a.mu.Lock()
		a.table.AddContacts(address)
		a.mu.Unlock()
	}
	return nil
}
