// Package logclient defines the interfaces of the platform's store: an append-only
// log of streams, and tables that keep the newest value of each key.
//
// A stream is a named sequence of records with increasing offsets. The store retains
// the records of a stream for a limited time. It may be slow or unavailable, and the
// answer to an append may be lost although the append took effect. A table keeps the
// newest value of each key without a time limit.
//
// # Usage
//
//	offset, err := store.Append(ctx, "settings", payload)
//	if errors.Is(err, logclient.ErrOutcomeUnknown) {
//		// Read the stream to find out whether the record was appended.
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

// ErrUnavailable marks a failed read, or an append that the store refused and that
// certainly took no effect.
var ErrUnavailable = errors.New("the platform's store is not available; try again later")

// ErrCompacted marks a read of changes that are no longer retained.
var ErrCompacted = errors.New("the table's changes are no longer kept; read its newest values")

// MaxRecordBytes bounds the size of a record.
const MaxRecordBytes = 256 << 10

// Log is the platform's append-only log.
type Log interface {
	// Append adds payload to stream and returns its offset.
	Append(ctx context.Context, stream string, payload []byte) (int64, error)
	// Read returns up to limit records of stream, starting at offset from or at the
	// earliest retained offset, whichever is higher.
	Read(ctx context.Context, stream string, from int64, limit int) (Batch, error)
}

// Tables gives access to the platform's keyed tables.
type Tables interface {
	// Put sets the value of a key. An empty value deletes the key.
	Put(ctx context.Context, table, key string, value []byte) error
	// Newest returns the newest value of each key.
	Newest(ctx context.Context, table string) (EntryBatch, error)
	// Changes returns the values set at position from or later. If there are none, it
	// waits up to wait for one. The error is marked ErrCompacted if changes at from
	// are no longer retained, or if from is of another era than the store.
	Changes(ctx context.Context, table string, from int64, wait time.Duration) (EntryBatch, error)
}

// Store combines the log and the tables of the platform's store.
type Store interface {
	Log
	Tables
}

// Record is one record of a stream.
type Record struct {
	Offset  int64
	Payload []byte
}

// Batch is the answer to one read.
type Batch struct {
	// Earliest is the lowest retained offset.
	Earliest int64
	// Next is the offset that the next append will get.
	Next    int64
	Records []Record
}

// Entry is a key of a table and its value. A deleted key has an empty value.
type Entry struct {
	Key   string
	Value []byte
	// Next is a position after the entry's record. Later values of the key are at this
	// position or after it.
	Next int64
}

// EntryBatch is the result of a read of a table.
type EntryBatch struct {
	Entries []Entry
	// Next is the position at which the following changes start.
	Next int64
}
