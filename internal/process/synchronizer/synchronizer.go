// Package synchronizer keeps the settings of a node up to date. A few nodes of
// each availability zone poll the platform's log often. The other nodes fetch
// changes from members that announce a newer version.
//
// Where an operator writes the settings to a table of the store, a few nodes of each
// region read it. After each read they confirm their version to the other nodes of the
// region. A node that gets no confirmation for a while reads the table itself, so that its
// settings stay up to date whatever happens to the readers.
//
// # Usage
//
//	s := synchronizer.New(synchronizer.Config{Follower: f, Fetch: fetch, Members: members})
//	go s.Run(ctx)
//	s.ObserveVersion(version, member)
//	if s.ReadReason() != "" {
//		// Read the operator's table.
//		s.ReportRead(asOf)
//	}
package synchronizer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/version/follower"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/logclient"
)

// Synchronization parameters.
const (
	// readersPerZone is the number of nodes in an availability zone that read the
	// log every readerPeriod.
	readersPerZone = 3
	readerPeriod   = time.Second
	// fallbackPeriod is the mean time between two reads by the other nodes.
	fallbackPeriod = time.Minute
	requestTimeout = 5 * time.Second
	// fetchTimeout limits the time to get a version from one member, so that another
	// one can be asked before the version must be in force.
	fetchTimeout = 700 * time.Millisecond
	// maxBehind is how long a node may know of a newer version without having it
	// before it no longer relies on other nodes.
	maxBehind = 500 * time.Millisecond
	// maxUnconfirmed is how long a node relies on the last confirmation of its version.
	// A reader confirms more often (see watcher), so a node can miss one confirmation of
	// one reader. A node that reads after this time still has a change in force within
	// two seconds.
	maxUnconfirmed = 1200 * time.Millisecond
	// maxSnapshotDelay limits the random delay before a snapshot is written. The
	// delay lets one of the readers write it before the others start.
	maxSnapshotDelay = 20 * time.Second
)

// Config holds the parameters of a Synchronizer.
type Config struct {
	Self     *encoder.Member
	Follower *follower.Follower
	// Fetch requests the changes since version from a member.
	Fetch func(ctx context.Context, member *encoder.Member, version int64) (*encoder.Snapshot, error)
	// Members returns the members that are not dead.
	Members func() []*encoder.Member
	// OnVersion is called after a newer version has been put in force.
	OnVersion func(version int64)
	// Confirm tells members that version was the newest one in the operator's table
	// before age. It may be nil where there is no such table.
	Confirm func(version int64, age time.Duration, members []*encoder.Member)
	Log     *logrus.Logger
}

// announcement is a newer settings version and the member that announced it.
type announcement struct {
	version int64
	member  *encoder.Member
}

// Synchronizer keeps the settings of one node up to date.
type Synchronizer struct {
	config Config
	// announced gets a value when pending is set.
	announced chan struct{}
	// snapshotting is set while a snapshot is scheduled or being written.
	snapshotting atomic.Bool

	mu sync.Mutex
	// pending is the newest announcement that has not been fetched, or nil.
	pending *announcement
	// newest is the newest version that this node knows of. behindSince is the time at
	// which it learned of a version that it still does not have, or zero.
	newest      int64
	behindSince time.Time
	// confirmed is the last time at which, as far as this node knows, the version in force
	// was the newest in the operator's table.
	confirmed time.Time
	// assigned is this node's part in reading the operator's table.
	assigned assignment
}

// New returns a Synchronizer.
func New(config Config) *Synchronizer {
	return &Synchronizer{
		config:    config,
		announced: make(chan struct{}, 1),
	}
}

// ObserveVersion queues a version that a member announced, if it is newer than the
// one in force. It never blocks: of the announcements that wait, it keeps the newest one,
// and of equal ones the one from this node's region.
func (s *Synchronizer) ObserveVersion(version int64, member *encoder.Member) {
	if version <= s.config.Follower.State().Version {
		return
	}
	s.mu.Lock()
	s.newest = max(s.newest, version)
	if s.behindSince.IsZero() {
		s.behindSince = time.Now()
	}
	if p := s.pending; p == nil || version > p.version || (version == p.version && s.inRegion(member) && !s.inRegion(p.member)) {
		s.pending = &announcement{
			version: version,
			member:  member,
		}
	}
	s.mu.Unlock()
	select {
	case s.announced <- struct{}{}:
	default:
	}
}

// ObserveConfirmation stores that version was the newest one in the operator's table before
// age. It counts only if this node has the version.
func (s *Synchronizer) ObserveConfirmation(version int64, age time.Duration, member *encoder.Member) {
	s.ObserveVersion(version, member)
	if version != s.config.Follower.State().Version {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if asOf := time.Now().Add(-age); asOf.After(s.confirmed) {
		s.confirmed = asOf
	}
}

// ReportRead stores that this node has read the operator's table and has every version
// that was in it at asOf. A reader confirms its version to its part of the region.
func (s *Synchronizer) ReportRead(asOf time.Time) {
	version := s.config.Follower.State().Version
	s.mu.Lock()
	if s.behindSince.Before(asOf) {
		s.newest = version
		s.behindSince = time.Time{}
	}
	s.mu.Unlock()
	if to := s.assignment().confirmTo; len(to) > 0 && s.config.Confirm != nil {
		s.config.Confirm(version, elapsed(asOf), to)
	}
}

// elapsed returns the time since t. A machine that is suspended may stop its monotonic clock,
// so the time of day counts if more time has passed by it.
func elapsed(t time.Time) time.Duration {
	return max(time.Since(t), time.Now().Round(0).Sub(t.Round(0)))
}

// Run polls the log and fetches announced versions until ctx is done.
func (s *Synchronizer) Run(ctx context.Context) error {
	next := time.Duration(0)
	for {
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-s.announced:
			timer.Stop()
			s.fetchAnnounced(ctx)
		case <-timer.C:
			s.poll(ctx)
		}
		next = s.pollPeriod()
	}
}

// pollPeriod returns the time until the next read of the log. A node without
// settings reads as often as a log reader.
func (s *Synchronizer) pollPeriod() time.Duration {
	if s.IsLogReader() || s.config.Follower.State().Version == 0 {
		return readerPeriod
	}
	return fallbackPeriod/2 + rand.N(fallbackPeriod)
}

// poll reads the log to its end. A log reader also schedules a snapshot if one is
// due.
func (s *Synchronizer) poll(ctx context.Context) {
	before := s.config.Follower.State().Version
	for ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		more, err := s.config.Follower.Poll(ctx)
		cancel()
		if err != nil {
			if !errors.Is(err, logclient.ErrUnavailable) {
				s.config.Log.WithError(err).Warn("cannot read settings log")
			}
			break
		}
		if !more {
			break
		}
	}
	s.reportIfNewer(before, "log")
	if s.config.Follower.SnapshotDue(time.Now()) && s.IsLogReader() && s.snapshotting.CompareAndSwap(false, true) {
		go s.writeSnapshot(ctx)
	}
}

// fetchAnnounced fetches the pending version from a member. If no member has it, it reads
// the log.
func (s *Synchronizer) fetchAnnounced(ctx context.Context) {
	s.mu.Lock()
	a := s.pending
	s.pending = nil
	s.mu.Unlock()
	if a == nil {
		return
	}
	for _, member := range s.sources(*a) {
		if s.config.Follower.State().Version >= a.version {
			return
		}
		s.fetch(ctx, member)
	}
	if s.config.Follower.State().Version < a.version {
		s.poll(ctx)
	}
}

// fetch merges the settings of a member.
func (s *Synchronizer) fetch(ctx context.Context, member *encoder.Member) {
	before := s.config.Follower.State().Version
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	snapshot, err := s.config.Fetch(ctx, member, before)
	if err == nil {
		err = s.config.Follower.Merge(snapshot)
	}
	if err != nil {
		s.config.Log.WithError(err).WithField("member", member.GetId()).Warn("cannot get settings from member")
		return
	}
	s.reportIfNewer(before, member.GetId())
}

// reportIfNewer reports the version in force if it is newer than before.
func (s *Synchronizer) reportIfNewer(before int64, source string) {
	if version := s.config.Follower.State().Version; version > before {
		s.ReportVersion(version, source)
	}
}

// ReportVersion logs a version that was put in force and passes it to OnVersion.
func (s *Synchronizer) ReportVersion(version int64, source string) {
	s.config.Log.WithFields(logrus.Fields{
		"version": version,
		"source":  source,
	}).Info("settings in force")
	s.mu.Lock()
	if version >= s.newest {
		s.behindSince = time.Time{}
	}
	s.mu.Unlock()
	s.config.OnVersion(version)
}

// writeSnapshot appends a snapshot record to the log after a random delay, unless
// another node has done so by then.
func (s *Synchronizer) writeSnapshot(ctx context.Context) {
	defer s.snapshotting.Store(false)
	select {
	case <-ctx.Done():
		return
	case <-time.After(rand.N(maxSnapshotDelay)):
	}
	if !s.config.Follower.SnapshotDue(time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := s.config.Follower.WriteSnapshot(ctx); err != nil {
		s.config.Log.WithError(err).Warn("cannot write settings snapshot")
	}
}
