// Package announcer runs the membership protocol over UDP and tells its owner
// what changed.
//
// The first contact comes from addresses in the process settings and from
// announcements on the platform's log, so that it works while the log is away.
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
	"math"
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

// Stream is the name of the announcement stream on the platform's log.
const Stream = "laburnumshelf-members"

// Announcement parameters.
const (
	// tailRecords is the number of announcements read for the first contact.
	tailRecords = 200
	// contactPeriod is the time between two reads while alone.
	contactPeriod = 5 * time.Second
	// announcePeriod is the time between two announcements of one node.
	announcePeriod = 10 * time.Minute
	// startPeriod is the time after the start in which contacts are read again
	// and again, since others may have started at the same time.
	startPeriod    = time.Minute
	logTimeout     = 5 * time.Second
	maxPacketBytes = 64 << 10
)

var badPackets = expvar.NewInt("badPackets")

// Config is what an Announcer needs.
type Config struct {
	Self *encoder.Member
	Conn net.PacketConn
	// Log may be nil.
	Log      logclient.Log
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

// Traffic returns the packets and bytes sent.
func (a *Announcer) Traffic() (packets, bytes int64) {
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
	changes := a.table.Changes()
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

// contactLoop announces the node on the log and reads contacts from it while
// the node is alone.
func (a *Announcer) contactLoop(ctx context.Context) {
	if a.config.Log == nil {
		return
	}
	started, announced := time.Now(), time.Time{}
	for {
		again := time.Since(started) < startPeriod || len(a.Members()) < 2
		if time.Since(announced) >= announcePeriod && a.announce(ctx) == nil {
			// The jitter keeps nodes that started together from staying so.
			announced = time.Now().Add(rand.N(announcePeriod / 4))
			again = true
		}
		if again {
			a.readContacts(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(contactPeriod/2 + rand.N(contactPeriod)):
		}
	}
}

func (a *Announcer) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	payload, err := proto.Marshal(a.config.Self)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	_, err = a.config.Log.Append(ctx, Stream, payload)
	return err
}

func (a *Announcer) readContacts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	end, err := a.config.Log.Read(ctx, Stream, math.MaxInt64, 1)
	if err != nil {
		return
	}
	batch, err := a.config.Log.Read(ctx, Stream, max(end.Next-tailRecords, 0), tailRecords)
	if err != nil {
		return
	}
	for _, record := range batch.Records {
		member := &encoder.Member{}
		if proto.Unmarshal(record.Payload, member) != nil {
			continue
		}
		address, err := netip.ParseAddrPort(member.GetPeerAddress())
		if err != nil {
			continue
		}
		a.mu.Lock()
		a.table.AddContacts(address)
		a.mu.Unlock()
	}
}
