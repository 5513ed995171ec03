// Package publisher appends settings changes to the platform's log and reports
// whether they were accepted. Every reader of the stream decides that alike, by
// applying its records in order (see package follower).
//
// If the response to an append is lost, Publish reads the stream to find out
// whether it contains the publication's ID. Appending a publication twice is safe,
// because it is accepted at most once.
//
// # Usage
//
//	verdict, err := publisher.Publish(ctx, log, publisher.Change{
//		Path: "/county/services/allot", BaseVersion: 7, Document: content, Author: "asha",
//	})
package publisher

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/laburnumshelf/laburnumshelf/internal/version/follower"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/logclient"
)

// ErrRejected marks a change that was rejected, for example because another
// change was accepted first.
var ErrRejected = errors.New("the change was not accepted")

// ErrGap is returned if the log no longer retains earlier records and contains no
// snapshot that covers them.
var ErrGap = errors.New("the log no longer retains earlier settings and contains no snapshot of them; start a node that still has these settings, so that it writes a snapshot")

// maxAppends is the maximum number of attempts to append one publication.
const maxAppends = 8

// Change is one settings change to publish.
type Change struct {
	Path string
	// BaseVersion is the document version on which the change is based, or 0 for a
	// new path.
	BaseVersion int64
	Document    []byte
	Author      string
}

// Publish appends the change and returns its verdict. If the change was
// rejected, the error is marked ErrRejected.
func Publish(ctx context.Context, log logclient.Log, change Change) (*encoder.Verdict, error) {
	publication := newPublication(change)
	payload, err := proto.Marshal(newRecord(publication))
	if err != nil {
		return nil, errors.Wrap(err, "encode publication")
	}
	verdict, err := backoff.Retry(ctx, func() (*encoder.Verdict, error) {
		return appendOnce(ctx, log, publication.GetId(), payload)
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()), backoff.WithMaxTries(maxAppends))
	if err != nil {
		return nil, errors.Wrapf(err, "publish %s as publication %s", change.Path, publication.GetId())
	}
	if !verdict.GetAccepted() {
		return verdict, errors.Mark(errors.New(verdict.GetDetail()), ErrRejected)
	}
	return verdict, nil
}

func newPublication(change Change) *encoder.Publication {
	return &encoder.Publication{
		Id:           uuid.NewString(),
		Path:         change.Path,
		BaseVersion:  change.BaseVersion,
		Document:     change.Document,
		Author:       change.Author,
		TimeUnixNano: time.Now().UnixNano(),
	}
}

func newRecord(publication *encoder.Publication) *encoder.Record {
	return &encoder.Record{
		Kind: &encoder.Record_Publication{
			Publication: publication,
		},
	}
}

// appendOnce appends the publication unless the stream already contains it. An
// earlier append may have taken effect although its response was lost.
func appendOnce(ctx context.Context, log logclient.Log, id string, payload []byte) (*encoder.Verdict, error) {
	state, err := LoadState(ctx, log)
	if errors.Is(err, ErrGap) {
		return nil, backoff.Permanent(err)
	}
	if err != nil {
		return nil, err
	}
	if verdict := state.Verdict(id); verdict != nil {
		return verdict, nil
	}
	if _, err := log.Append(ctx, follower.Stream, payload); err != nil {
		return nil, err
	}
	state, err = LoadState(ctx, log)
	if err != nil {
		return nil, err
	}
	verdict := state.Verdict(id)
	if verdict == nil {
		return nil, errors.New("the log accepted the publication, but a read of the log does not return it yet")
	}
	return verdict, nil
}

// LoadState replays the retained settings stream and returns the resulting state.
// It returns ErrGap if a gap in the stream prevents that.
func LoadState(ctx context.Context, log logclient.Log) (follower.State, error) {
	f := follower.New(log)
	for {
		more, err := f.Poll(ctx)
		if err != nil {
			return follower.State{}, err
		}
		if !more && f.HasGap() {
			return follower.State{}, ErrGap
		}
		if !more {
			return f.State(), nil
		}
	}
}

// HistoryEntry is one retained publication with its verdict.
type HistoryEntry struct {
	Publication *encoder.Publication
	Verdict     *encoder.Verdict
}

// History replays the retained stream and returns its publications in offset
// order.
func History(ctx context.Context, log logclient.Log) ([]HistoryEntry, error) {
	// A State retains only the most recent verdicts. Reading the verdict after
	// each record finds the older ones, too.
	const readLimit = 200
	f := follower.New(log)
	var entries []HistoryEntry
	for from := int64(0); ; {
		batch, err := log.Read(ctx, follower.Stream, from, readLimit)
		if err != nil {
			return nil, err
		}
		for _, raw := range batch.Records {
			f.ApplyRecord(raw)
			from = raw.Offset + 1
			entries = appendEntry(entries, raw, f.State())
		}
		if len(batch.Records) == 0 || from >= batch.Next {
			return entries, nil
		}
	}
}

// appendEntry appends the publication in raw, if there is one. state is the state
// after that record.
func appendEntry(entries []HistoryEntry, raw logclient.Record, state follower.State) []HistoryEntry {
	record, err := follower.DecodeRecord(raw.Payload)
	if err != nil || record.GetPublication() == nil {
		return entries
	}
	publication := record.GetPublication()
	verdict := state.Verdict(publication.GetId())
	if verdict == nil {
		verdict = &encoder.Verdict{
			PublicationId: publication.GetId(),
			Version:       raw.Offset + 1,
			Detail:        "verdict unknown: earlier records are no longer retained",
		}
	}
	return append(entries, HistoryEntry{
		Publication: publication,
		Verdict:     verdict,
	})
}
