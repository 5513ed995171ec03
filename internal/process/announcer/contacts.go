package announcer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// leavingSuffix follows the ID of a node in the keys of MembersTable under which the node
// stores the last backend servers that left it.
const leavingSuffix = "/leaving"

// leavingRecords is the number of records of backend servers that left a node. The next one
// replaces the oldest.
const leavingRecords = 4

// contactLoop writes the node's announcement to the store once and then reads the
// announcements of the others. A read counts only after the node's own
// announcement is written, so of any two nodes the later reader sees the other.
// One read is therefore enough, also for nodes that start at the same time.
// contactLoop reads again while no other member is known.
func (a *Announcer) contactLoop(ctx context.Context) {
	if a.config.Store == nil {
		return
	}
	announced, read := false, false
	for {
		if !announced && a.announce(ctx) == nil {
			announced = true
			a.adoptEra()
		}
		if !read || len(a.Members()) < 2 {
			read = a.readContacts(ctx) == nil && announced
		}
		if !sleep(ctx, contactPause()) {
			return
		}
	}
}

// contactPause returns the time between two calls to the store that must be repeated.
func contactPause() time.Duration {
	return contactPeriod/2 + rand.N(contactPeriod)
}

// announce writes the node's announcement to the store.
func (a *Announcer) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	payload, err := proto.Marshal(a.config.Self)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	return a.config.Store.Put(ctx, MembersTable, a.config.Self.GetId(), payload)
}

// RecordLeaving stores that the backend server leaves, for the next process of this node. One
// goroutine at a time may call it.
func (a *Announcer) RecordLeaving(ctx context.Context, backend *encoder.Backend) error {
	if a.config.Store == nil {
		return nil
	}
	self := a.config.Self
	payload, err := proto.Marshal(&encoder.Member{
		Id:          self.GetId(),
		Incarnation: self.GetIncarnation(),
		PeerAddress: self.GetPeerAddress(),
		Backend:     backend,
	})
	if err != nil {
		return errors.Wrap(err, "encode the leaving backend server")
	}
	a.mu.Lock()
	record := a.recorded % leavingRecords
	a.mu.Unlock()
	if err := a.putLeaving(ctx, leavingKey(self.GetId(), record), payload); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recorded++
	return nil
}

// leavingKey returns the key of a record of a backend server that left a node.
func leavingKey(id string, record int) string {
	key := id + leavingSuffix
	if record > 0 {
		key += "/" + strconv.Itoa(record)
	}
	return key
}

// readContacts adds the peer addresses of all announcements in the store as contacts. It also
// reports the backend servers that left while an earlier process of this node ran.
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
		if strings.HasPrefix(entry.Key, a.config.Self.GetId()+leavingSuffix) {
			a.keepLeaving(entry.Key, entry.Value)
			a.reportFormerBackends(member.GetBackend())
		}
	}
	return nil
}
