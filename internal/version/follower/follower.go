// Package follower replays the settings stream of the platform's log and keeps
// the version in force, which never falls.
//
// Records in offset order are the only truth. When retention has passed records
// that were not applied yet, the follower waits for a snapshot record or for a
// peer's snapshot.
//
// # Usage
//
//	f := follower.New(log)
//	more, err := f.Poll(ctx)
//	settings := f.State().Settings()
//	err = f.Merge(snapshotFromPeer)
package follower

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/laburnumshelf/laburnumshelf/internal/platform/logclient"
	"github.com/laburnumshelf/laburnumshelf/internal/version/checker"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Stream is the name of the settings stream on the platform's log.
const Stream = "laburnumshelf-settings"

// readLimit bounds the records of one read.
const readLimit = 200

var errEmptyRecord = errors.New("record holds neither a publication nor a snapshot")

func conflictDetail(publication *encoder.Publication, current *encoder.Document) string {
	if current == nil {
		return fmt.Sprintf("conflict: %s does not exist, but the change is based on version %d; publish it with base 0",
			publication.GetPath(), publication.GetBaseVersion())
	}
	return fmt.Sprintf("conflict: %s is at version %d by %s, but the change is based on version %d; get the new version and publish again",
		publication.GetPath(), current.GetVersion(), current.GetAuthor(), publication.GetBaseVersion())
}

// Follower keeps the settings in force. Its methods are safe for concurrent use.
type Follower struct {
	log logclient.Log

	mu sync.Mutex
	// cursor is the next offset to read; it runs ahead of state.Version only
	// across a gap that retention left.
	cursor       int64
	lastSnapshot int64
	snapshotTime time.Time
	badRecords   int64
	state        State
}

// New returns a Follower with no settings. A nil log leaves peers as the only
// source.
func New(log logclient.Log) *Follower {
	return &Follower{
		log:          log,
		state:        NewState(),
		snapshotTime: time.Now(),
	}
}

// State returns the state in force.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// BadRecords returns the number of undecodable records skipped.
func (f *Follower) BadRecords() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.badRecords
}

// Merge takes a peer's snapshot when it is newer than the state in force.
func (f *Follower) Merge(snapshot *encoder.Snapshot) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSnapshot = max(f.lastSnapshot, snapshot.GetCovers())
	return f.restore(snapshot)
}

// ApplyDocument takes a document that its source has accepted already at the given
// version. An older version than the one in force changes nothing.
func (f *Follower) ApplyDocument(version int64, path checker.Path, content []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, err := f.state.ApplyDocument(version, path, content)
	if err != nil {
		return err
	}
	f.advance(next)
	return nil
}

// Poll reads and applies one batch. It reports whether more records wait.
func (f *Follower) Poll(ctx context.Context) (bool, error) {
	if f.log == nil {
		return false, logclient.ErrUnavailable
	}
	f.mu.Lock()
	from := f.cursor
	f.mu.Unlock()
	batch, err := f.log.Read(ctx, Stream, from, readLimit)
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, record := range batch.Records {
		if !f.apply(record) {
			return true, nil
		}
	}
	return f.cursor < batch.Next && len(batch.Records) > 0, nil
}

// HasGap reports whether records were read that cannot be applied, because the
// log no longer retains what came before them.
func (f *Follower) HasGap() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cursor > f.state.Version
}

// Snapshot schedule.
const (
	// snapshotRecords is the number of records after which a snapshot is due.
	snapshotRecords = 200
	// snapshotAge is the age at which a snapshot is due again even without
	// changes, so that retention by age never passes the last one.
	snapshotAge = 30 * time.Minute
)

// SnapshotDue reports whether a new snapshot record should be written.
func (f *Follower) SnapshotDue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.log == nil || f.state.Version == 0 || f.cursor > f.state.Version {
		return false
	}
	return f.cursor-f.lastSnapshot >= snapshotRecords || now.Sub(f.snapshotTime) >= snapshotAge
}

// WriteSnapshot appends the state in force as a snapshot record.
func (f *Follower) WriteSnapshot(ctx context.Context) error {
	payload, err := proto.Marshal(&encoder.Record{
		Kind: &encoder.Record_Snapshot{
			Snapshot: f.State().Snapshot(0),
		},
	})
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	_, err = f.log.Append(ctx, Stream, payload)
	return err
}

// apply handles one record and reports whether the next one of the batch
// follows; f.mu is held.
func (f *Follower) apply(raw logclient.Record) bool {
	record, err := DecodeRecord(raw.Payload)
	if err != nil {
		f.badRecords++
	}
	f.cursor = max(f.cursor, raw.Offset+1)
	if snapshot := record.GetSnapshot(); snapshot != nil {
		f.lastSnapshot = raw.Offset + 1
		f.snapshotTime = time.Now()
		before := f.state.Version
		if raw.Offset > before && f.restore(snapshot) != nil {
			f.badRecords++
		}
		if f.state.Version > before && f.state.Version < raw.Offset {
			// The records between the snapshot's cover and the snapshot
			// itself still have to be read.
			f.cursor = f.state.Version
			return false
		}
	}
	if raw.Offset == f.state.Version {
		f.advance(f.state.Apply(raw.Offset, record.GetPublication()))
	}
	return true
}

// restore replaces the state by a newer snapshot; f.mu is held.
func (f *Follower) restore(snapshot *encoder.Snapshot) error {
	next, err := f.state.Restore(snapshot)
	if err != nil {
		return err
	}
	if next.Version > f.state.Version {
		f.advance(next)
	}
	return nil
}

func (f *Follower) advance(next State) {
	f.state = next
	f.cursor = max(f.cursor, next.Version)
}

// ApplyRecord takes one record read by the caller.
func (f *Follower) ApplyRecord(raw logclient.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(raw)
}
