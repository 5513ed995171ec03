// Package logclient names what the product needs of the platform's store: an
// append-only log of streams, and tables that keep the newest value of each key.
//
// A stream is a named sequence of records with rising offsets. The platform
// keeps the records of a stream for a limited time, may be slow or away, and may
// lose the answer to an append that took effect. A table keeps the newest value
// of each key for good.
//
// # Usage
//
//	offset, err := store.Append(ctx, "settings", payload)
//	if errors.Is(err, logclient.ErrOutcomeUnknown) {
//		// Read the stream to learn whether the record is there.
//	}
//	batch, err := store.Read(ctx, "settings", from, 100)
//	newest, err := store.Newest(ctx, "members")
//	changes, err := store.Changes(ctx, "members", newest.Next, 2*time.Second)
package logclient

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrOutcomeUnknown marks an append that may have taken effect.
var ErrOutcomeUnknown = errors.New("the log's answer was lost; read the stream before appending again")

// ErrUnavailable marks a request that the log refused or that never reached it.
var ErrUnavailable = errors.New("the platform's log is not available; try again later")

// ErrCompacted marks a read of changes that are no longer kept.
var ErrCompacted = errors.New("the table's changes are no longer kept; read its newest values")

// MaxRecordBytes bounds one record.
const MaxRecordBytes = 256 << 10

// Log is the platform's append-only log.
type Log interface {
	// Append adds payload to stream and returns its offset.
	Append(ctx context.Context, stream string, payload []byte) (int64, error)
	// Read returns up to limit records of stream from offset from on. A from
	// below the earliest retained offset starts at the earliest one.
	Read(ctx context.Context, stream string, from int64, limit int) (Batch, error)
}

// Table is the platform's keyed tables.
type Table interface {
	// Put sets the value of a key.
	Put(ctx context.Context, table, key string, value []byte) error
	// Newest returns the newest value of each key.
	Newest(ctx context.Context, table string) (EntryBatch, error)
	// Changes returns the values set from offset from on, and waits for one up
	// to wait. The error is marked ErrCompacted when they are no longer kept.
	Changes(ctx context.Context, table string, from int64, wait time.Duration) (EntryBatch, error)
}

// Store is all that the product uses of the platform.
type Store interface {
	Log
	Table
}

// Record is one record of a stream.
type Record struct {
	Offset  int64
	Payload []byte
}

// Batch is the answer to one read.
type Batch struct {
	// Earliest is the lowest offset still retained.
	Earliest int64
	// Next is the offset that the next append will get.
	Next    int64
	Records []Record
}

// Entry is one value of a table. A key that was dropped has no value.
type Entry struct {
	Key   string
	Value []byte
}

// EntryBatch is what was read of a table.
type EntryBatch struct {
	Entries []Entry
	// Next is the offset from which to read the changes that follow.
	Next int64
}
