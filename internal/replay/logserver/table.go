package logserver

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/wire/logclient"
	"github.com/laburnumshelf/laburnumshelf/platform"
)

// Put implements logclient.Tables.
func (s *Store) Put(ctx context.Context, table, key string, value []byte) error {
	record, err := platform.EncodeEntry(key, value)
	if err != nil {
		return err
	}
	_, err = s.appendToTopic(ctx, platform.KeyedPrefix+table, record)
	return err
}

// appendToTopic appends a record to a topic. If the topic is a table, it also sets the
// key of the record.
func (s *Store) appendToTopic(ctx context.Context, topic string, payload []byte) (int64, error) {
	offset, err := s.Append(ctx, topic, payload)
	written := err == nil || errors.Is(err, logclient.ErrOutcomeUnknown)
	if !written || !strings.HasPrefix(topic, platform.KeyedPrefix) {
		return offset, err
	}
	key, value, keyErr := platform.DecodeEntry(payload)
	if keyErr != nil {
		return 0, keyErr
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findOrCreateTopic(topic).set(key, value)
	return offset, err
}

// set sets the newest value of a key. An empty value deletes the key.
func (s *topic) set(key string, value []byte) {
	if len(value) == 0 {
		delete(s.newest, key)
		return
	}
	s.newest[key] = value
}

// Newest implements logclient.Tables.
func (s *Store) Newest(ctx context.Context, table string) (logclient.EntryBatch, error) {
	if err := s.applyFaults(ctx); err != nil {
		return logclient.EntryBatch{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	st := s.findOrCreateTopic(platform.KeyedPrefix + table)
	entries := logclient.EntryBatch{
		Next: logclient.Position(s.era, st.earliest+int64(len(st.records))),
	}
	for _, key := range slices.Sorted(maps.Keys(st.newest)) {
		entries.Entries = append(entries.Entries, logclient.Entry{
			Key:   key,
			Value: st.newest[key],
			Next:  entries.Next,
		})
	}
	return entries, nil
}

// Changes implements logclient.Tables.
func (s *Store) Changes(ctx context.Context, table string, from int64, wait time.Duration) (logclient.EntryBatch, error) {
	era, offset := logclient.SplitPosition(from)
	batch, err := s.readOrWait(ctx, platform.KeyedPrefix+table, offset, wait)
	if err != nil {
		return logclient.EntryBatch{}, err
	}
	if era != s.Era() {
		return logclient.EntryBatch{}, logclient.ErrCompacted
	}
	entries := logclient.EntryBatch{
		Next: logclient.Position(era, offset+int64(len(batch.Records))),
	}
	for _, record := range batch.Records {
		key, value, err := platform.DecodeEntry(record.Payload)
		if err != nil {
			return logclient.EntryBatch{}, err
		}
		entries.Entries = append(entries.Entries, logclient.Entry{
			Key:   key,
			Value: value,
			Next:  logclient.Position(era, record.Offset+1),
		})
	}
	return entries, nil
}

// readOrWait returns the records from an offset on. If there are none, it waits up to
// wait for one. If the offset is no longer retained, or beyond the end, it returns ErrCompacted and
// a batch with the earliest retained offset.
func (s *Store) readOrWait(ctx context.Context, name string, from int64, wait time.Duration) (logclient.Batch, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		appended := s.findOrCreateTopic(name).appended
		s.mu.Unlock()
		batch, err := s.Read(ctx, name, from, maxReadRecords)
		if err != nil {
			return logclient.Batch{}, err
		}
		if from < batch.Earliest || from > batch.Next {
			return batch, logclient.ErrCompacted
		}
		if len(batch.Records) > 0 || wait == 0 {
			return batch, nil
		}
		select {
		case <-appended:
		case <-deadline.C:
			return batch, nil
		case <-ctx.Done():
			return logclient.Batch{}, ctx.Err()
		}
	}
}
