// Package synchronizer keeps the settings of a node up to date. A few nodes of
// each availability zone poll the platform's log often. The other nodes fetch
// changes from members that announce a newer version.
//
// # Usage
//
//	s := synchronizer.New(synchronizer.Config{Follower: f, Fetch: fetch, Members: members})
//	go s.Run(ctx)
//	s.ObserveVersion(version, member)
package synchronizer

import (
	"context"
	"math/rand/v2"
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
	Log       *logrus.Logger
}

// announcement is a newer settings version and the member that announced it.
type announcement struct {
	version int64
	member  *encoder.Member
}

// Synchronizer keeps the settings of one node up to date.
type Synchronizer struct {
	config        Config
	announcements chan announcement
	// behindSince is when the node learned of a version that it does not have yet, as
	// Unix time in nanoseconds, or 0.
	behindSince atomic.Int64
	// snapshotting is set while a snapshot is scheduled or being written.
	snapshotting atomic.Bool
}

// New returns a Synchronizer.
func New(config Config) *Synchronizer {
	return &Synchronizer{
		config:        config,
		announcements: make(chan announcement, 1),
	}
}

// ObserveVersion queues a version that a member announced, if it is newer than the
// one in force. It never blocks: it drops the announcement while another one is
// queued.
func (s *Synchronizer) ObserveVersion(version int64, member *encoder.Member) {
	if version <= s.config.Follower.State().Version {
		return
	}
	s.behindSince.CompareAndSwap(0, time.Now().UnixNano())
	select {
	case s.announcements <- announcement{
		version: version,
		member:  member,
	}:
	default:
	}
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
		case a := <-s.announcements:
			timer.Stop()
			s.fetchAnnounced(ctx, a)
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

// fetchAnnounced fetches a newer version from a member. If no member has it, it reads the
// log.
func (s *Synchronizer) fetchAnnounced(ctx context.Context, a announcement) {
	for _, member := range s.sources(a) {
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
	s.behindSince.Store(0)
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
