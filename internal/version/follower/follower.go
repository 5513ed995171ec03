// Package follower replays the settings stream of the platform's log and holds
// the settings in force. Their version never decreases.
//
// The records of the stream in offset order are the single source of truth. If the
// log has removed records that were not applied yet, the follower cannot continue
// until it gets a snapshot, from a record of the stream or from a peer.
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

	"github.com/laburnumshelf/laburnumshelf/internal/version/checker"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/logclient"
)

// Stream is the name of the settings stream on the platform's log.
const Stream = "laburnumshelf-settings"

// readLimit is the maximum number of records of one read.
const readLimit = 200

var errEmptyRecord = errors.New("record holds neither a publication nor a snapshot")

// conflictDetail returns the reason for rejecting a publication whose base version
// is not the version of the current document.
func conflictDetail(publication *encoder.Publication, current *encoder.Document) string {
	if current == nil {
		return fmt.Sprintf("conflict: %s does not exist, but the change is based on version %d; publish it with base 0",
			publication.GetPath(), publication.GetBaseVersion())
	}
	return fmt.Sprintf("conflict: %s is at version %d by %s, but the change is based on version %d; get the new version and publish again",
		publication.GetPath(), current.GetVersion(), current.GetAuthor(), publication.GetBaseVersion())
}

// Follower holds the settings in force. Its methods are safe for concurrent use.
type Follower struct {
	log logclient.Log

	mu sync.Mutex
	// cursor is the offset of the next record to read. It exceeds state.Version
	// only if the log has removed records that were not applied.
	cursor int64
	// lastSnapshot is the offset after the latest snapshot record, or the version
	// of a peer's snapshot if that is higher.
	lastSnapshot int64
	// snapshotTime is the time at which the latest snapshot record was read, or
	// the Follower was created.
	snapshotTime time.Time
	badRecords   int64
	state        State
	// leftOut is the newest version that could not be applied.
	leftOut LeftOut
}

// New returns a Follower without settings. If log is nil, the follower gets its
// settings only from Merge and ApplyDocument.
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

// BadRecords returns the number of records that were skipped because they could
// not be decoded or were snapshots with an invalid document.
func (f *Follower) BadRecords() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.badRecords
}

// Merge applies a peer's snapshot if it is newer than the state in force.
func (f *Follower) Merge(snapshot *encoder.Snapshot) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSnapshot = max(f.lastSnapshot, snapshot.GetCovers())
	err := f.restore(snapshot)
	if err != nil {
		f.leaveOut(snapshot.GetCovers(), err)
	}
	return err
}

// ApplyDocument applies a document that its source has already accepted as the
// given version. It has no effect if the version is not newer than the one in
// force. position is the one after the document's record.
func (f *Follower) ApplyDocument(version int64, path checker.Path, content []byte, position int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, err := f.state.ApplyDocument(version, path, content, position)
	if err != nil {
		f.leaveOut(version, err)
		return err
	}
	f.advance(next)
	return nil
}

// Poll reads and applies one batch of records. It reports whether more records
// remain to be read.
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
		if !f.applyRecord(record) {
			return true, nil
		}
	}
	return f.cursor < batch.Next && len(batch.Records) > 0, nil
}

// HasGap reports whether Poll has read records that cannot be applied, because the
// log no longer retains the records before them.
func (f *Follower) HasGap() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cursor > f.state.Version
}

// Snapshot schedule.
const (
	// snapshotRecords is the number of records after which a snapshot is due.
	snapshotRecords = 200
	// snapshotAge is the age after which a snapshot is due even without changes.
	// Otherwise a log that removes records by age would remove the last snapshot.
	snapshotAge = 30 * time.Minute
)

// SnapshotDue reports whether a snapshot record should be written now.
func (f *Follower) SnapshotDue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.log == nil || f.state.Version == 0 || f.cursor > f.state.Version {
		return false
	}
	return f.cursor-f.lastSnapshot >= snapshotRecords || now.Sub(f.snapshotTime) >= snapshotAge
}

// WriteSnapshot appends a snapshot of the state in force to the stream.
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

// applyRecord applies one record. It reports whether the next record of the batch
// can be applied too. It returns false if the record is a snapshot after which
// earlier records must be read again. The caller holds f.mu.
func (f *Follower) applyRecord(raw logclient.Record) bool {
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
			// The snapshot does not include the records between the version
			// that it covers and its own offset. Read these next.
			f.cursor = f.state.Version
			return false
		}
	}
	if raw.Offset == f.state.Version {
		f.advance(f.state.Apply(raw.Offset, record.GetPublication()))
	}
	return true
}

// restore replaces the state with the snapshot if that is newer. The caller holds
// f.mu.
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

// ApplyRecord applies one record that the caller has read from the stream.
func (f *Follower) ApplyRecord(raw logclient.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyRecord(raw)
}
