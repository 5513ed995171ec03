// Package publisher appends settings changes to the platform's log and reports
// what replay decided about them.
//
// A lost answer is resolved by reading the stream for the publication's ID. A
// repeated append of the same publication is harmless, because replay accepts it
// at most once.
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

	"github.com/laburnumshelf/laburnumshelf/internal/platform/logclient"
	"github.com/laburnumshelf/laburnumshelf/internal/version/follower"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// ErrConflict marks a change that lost against another one.
var ErrConflict = errors.New("the change was not accepted")

// ErrGap reports records that the log no longer retains and no snapshot covers.
var ErrGap = errors.New("the log no longer retains earlier settings and has no snapshot of them; start a node that still has them, it writes one")

// maxAppends bounds the appends of one publication.
const maxAppends = 8

// Change is one settings change to publish.
type Change struct {
	Path string
	// BaseVersion is the version the change was made from; 0 for a new path.
	BaseVersion int64
	Document    []byte
	Author      string
}

// Publish appends the change and returns its verdict. The error is marked
// ErrConflict when replay rejected it.
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
		return verdict, errors.Mark(errors.New(verdict.GetDetail()), ErrConflict)
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

// appendOnce looks for the publication first, so that an earlier append whose
// answer was lost is found instead of repeated.
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
		return nil, errors.New("the log accepted the publication but does not show it yet")
	}
	return verdict, nil
}

// LoadState replays the whole retained settings stream.
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

// HistoryEntry is one retained publication and what replay decided about it.
type HistoryEntry struct {
	Publication *encoder.Publication
	Verdict     *encoder.Verdict
}

// History replays the retained stream and returns its publications in order.
func History(ctx context.Context, log logclient.Log) ([]HistoryEntry, error) {
	// The final state holds the recent verdicts; replaying record by record
	// gives those of publications that it no longer holds.
	const readLimit = 200
	f := follower.New(log)
	var list []HistoryEntry
	for from := int64(0); ; {
		batch, err := log.Read(ctx, follower.Stream, from, readLimit)
		if err != nil {
			return nil, err
		}
		for _, raw := range batch.Records {
			f.ApplyRecord(raw)
			from = raw.Offset + 1
			list = appendJudged(list, raw, f.State())
		}
		if len(batch.Records) == 0 || from >= batch.Next {
			return list, nil
		}
	}
}

func appendJudged(list []HistoryEntry, raw logclient.Record, state follower.State) []HistoryEntry {
	record, err := follower.DecodeRecord(raw.Payload)
	if err != nil || record.GetPublication() == nil {
		return list
	}
	publication := record.GetPublication()
	verdict := state.Verdict(publication.GetId())
	if verdict == nil {
		verdict = &encoder.Verdict{
			PublicationId: publication.GetId(),
			Version:       raw.Offset + 1,
			Detail:        "not judged: earlier records are no longer retained",
		}
	}
	return append(list, HistoryEntry{
		Publication: publication,
		Verdict:     verdict,
	})
}
