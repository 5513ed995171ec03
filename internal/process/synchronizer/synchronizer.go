// Package synchronizer keeps a node's settings current: a few nodes of each
// availability zone read the platform's log, and the others get changes from
// the members that announce a newer version.
//
// # Usage
//
//	s := synchronizer.New(synchronizer.Config{Follower: f, Fetch: fetch, Members: members})
//	go s.Run(ctx)
//	s.Offer(version, member)
package synchronizer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/platform/logclient"
	"github.com/laburnumshelf/laburnumshelf/internal/version/follower"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Synchronization parameters.
const (
	// readersPerZone is the number of nodes in a zone that read the log often.
	readersPerZone = 3
	readerPeriod   = time.Second
	// fallbackPeriod is the time between two reads of the other nodes.
	fallbackPeriod = time.Minute
	requestTimeout = 5 * time.Second
	// snapshotWait bounds the random wait before writing a snapshot.
	snapshotWait = 20 * time.Second
)

// Config is what a Synchronizer needs.
type Config struct {
	Self     *encoder.Member
	Follower *follower.Follower
	// Fetch asks a member for what changed since version.
	Fetch   func(ctx context.Context, member *encoder.Member, version int64) (*encoder.Snapshot, error)
	Members func() []*encoder.Member
	// OnVersion is called after the version in force rose.
	OnVersion func(version int64)
	Log       *logrus.Logger
}

// offer is a member that announced a newer version.
type offer struct {
	version int64
	member  *encoder.Member
}

// Synchronizer keeps the settings of one node current.
type Synchronizer struct {
	config Config
	offers chan offer
	// snapshotting is set while a snapshot waits to be written.
	snapshotting atomic.Bool
}

// New returns a Synchronizer.
func New(config Config) *Synchronizer {
	return &Synchronizer{
		config: config,
		offers: make(chan offer, 1),
	}
}

// ObserveVersion notes that member announced version. It never blocks.
func (s *Synchronizer) ObserveVersion(version int64, member *encoder.Member) {
	if version <= s.config.Follower.State().Version {
		return
	}
	select {
	case s.offers <- offer{
		version: version,
		member:  member,
	}:
	default:
	}
}

// Run follows the log and the offers until ctx ends.
func (s *Synchronizer) Run(ctx context.Context) error {
	next := time.Duration(0)
	for {
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case o := <-s.offers:
			timer.Stop()
			s.takeOffer(ctx, o)
		case <-timer.C:
			s.poll(ctx)
		}
		next = s.period()
	}
}

// period returns the time until the next read of the log.
func (s *Synchronizer) period() time.Duration {
	if s.IsLogReader() || s.config.Follower.State().Version == 0 {
		return readerPeriod
	}
	return fallbackPeriod/2 + rand.N(fallbackPeriod)
}

// IsLogReader reports whether this node is one of those in its zone that read the
// log often: the members with the lowest hashes.
func (s *Synchronizer) IsLogReader() bool {
	return s.ZoneRank() < readersPerZone
}

// ZoneRank returns the number of living members of the zone that come before this
// node when a few of them are to do something for all.
func (s *Synchronizer) ZoneRank() int {
	self := s.config.Self
	own := xxhash.Sum64String(self.GetId())
	lower := 0
	for _, member := range s.config.Members() {
		if member.GetZone() != self.GetZone() || member.GetRegion() != self.GetRegion() || member.GetState() != encoder.MemberState_ALIVE {
			continue
		}
		if xxhash.Sum64String(member.GetId()) < own {
			lower++
		}
	}
	return lower
}

// poll reads the log to its end.
func (s *Synchronizer) poll(ctx context.Context) {
	before := s.config.Follower.State().Version
	for ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		more, err := s.config.Follower.Poll(ctx)
		cancel()
		if err != nil {
			if !errors.Is(err, logclient.ErrUnavailable) {
				s.config.Log.WithError(err).Warn("settings stream not read")
			}
			break
		}
		if !more {
			break
		}
	}
	s.changed(before, "log")
	if s.config.Follower.SnapshotDue(time.Now()) && s.IsLogReader() && s.snapshotting.CompareAndSwap(false, true) {
		go s.snapshot(ctx)
	}
}

// takeOffer fetches a newer version, at first from the member that announced it
// and then from the log.
func (s *Synchronizer) takeOffer(ctx context.Context, o offer) {
	before := s.config.Follower.State().Version
	if o.version <= before {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	snapshot, err := s.config.Fetch(ctx, o.member, before)
	if err == nil {
		err = s.config.Follower.Merge(snapshot)
	}
	if err != nil {
		s.config.Log.WithError(err).WithField("member", o.member.GetId()).Warn("settings not taken from member; reading the log")
		s.poll(ctx)
		return
	}
	s.changed(before, o.member.GetId())
}

func (s *Synchronizer) changed(before int64, source string) {
	if version := s.config.Follower.State().Version; version > before {
		s.ReportVersion(version, source)
	}
}

// ReportVersion reports a version that was put in force.
func (s *Synchronizer) ReportVersion(version int64, source string) {
	s.config.Log.WithFields(logrus.Fields{
		"version": version,
		"source":  source,
	}).Info("settings in force")
	s.config.OnVersion(version)
}

// snapshot appends a snapshot record unless another node does so first.
func (s *Synchronizer) snapshot(ctx context.Context) {
	defer s.snapshotting.Store(false)
	select {
	case <-ctx.Done():
		return
	case <-time.After(rand.N(snapshotWait)):
	}
	if !s.config.Follower.SnapshotDue(time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := s.config.Follower.WriteSnapshot(ctx); err != nil {
		s.config.Log.WithError(err).Warn("settings snapshot not written")
	}
}
