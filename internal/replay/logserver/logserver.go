// Package logserver simulates the platform's store in memory. Tests and experiments
// set its retention limits and its faults.
//
// # Usage
//
//	store := logserver.New(logserver.Retention{MaxRecords: 1000})
//	offset, err := store.Append(ctx, "settings", payload)
//	store.SetFaults(logserver.Faults{Down: true})
//	http.ListenAndServe(address, store.Handler())
package logserver

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/wire/logclient"
)

// Retention limits the records that a topic retains. A zero field means no limit.
type Retention struct {
	MaxRecords int
	MaxAge     time.Duration
}

// Faults are the faults that a Store simulates.
type Faults struct {
	// Down makes the store refuse every request.
	Down bool `json:"down"`
	// Delay is the time by which every answer is delayed.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the number of coming appends that take effect but whose answers
	// are lost.
	LoseAnswers int `json:"loseAnswers"`
}

// Store is a simulated store. Its methods are safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	retention Retention
	faults    Faults
	topics    map[string]*topic
	// era rises by one with each Restore.
	era     int64
	appends int64
	reads   int64
	// kept is the copy for the next drill.
	kept atomic.Pointer[Copy]
}

// topic holds the records of a stream, or of a table and its changes.
type topic struct {
	// earliest is the offset of the first of records.
	earliest int64
	records  []logclient.Record
	// appendTimes holds the time at which each of records was appended.
	appendTimes []time.Time
	// newest maps each key of a table to its newest value.
	newest map[string][]byte
	// appended is closed at the next append.
	appended chan struct{}
}

var _ logclient.Store = (*Store)(nil)

// New returns an empty Store.
func New(retention Retention) *Store {
	return &Store{
		retention: retention,
		topics:    make(map[string]*topic),
	}
}

// SetFaults replaces the faults that the store simulates.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// RequestCounts returns the numbers of appends and reads that were executed. Requests
// that a fault refused are not counted.
func (s *Store) RequestCounts() (appends, reads int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends, s.reads
}

// Append implements logclient.Log.
func (s *Store) Append(ctx context.Context, name string, payload []byte) (int64, error) {
	if err := s.applyFaults(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	offset := s.findOrCreateTopic(name).append(payload)
	s.applyRetention(s.findOrCreateTopic(name))
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return 0, errors.Mark(errors.New("answer lost"), logclient.ErrOutcomeUnknown)
	}
	return offset, nil
}

// Read implements logclient.Log.
func (s *Store) Read(ctx context.Context, name string, from int64, limit int) (logclient.Batch, error) {
	if err := s.applyFaults(ctx); err != nil {
		return logclient.Batch{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	st := s.findOrCreateTopic(name)
	s.applyRetention(st)
	batch := logclient.Batch{
		Earliest: st.earliest,
		Next:     st.earliest + int64(len(st.records)),
	}
	start := max(from-st.earliest, 0)
	if start >= int64(len(st.records)) {
		return batch, nil
	}
	end := min(start+int64(limit), int64(len(st.records)))
	batch.Records = append(batch.Records, st.records[start:end]...)
	return batch, nil
}

// append adds a record and returns its offset.
func (s *topic) append(payload []byte) int64 {
	offset := s.earliest + int64(len(s.records))
	s.records = append(s.records, logclient.Record{
		Offset:  offset,
		Payload: payload,
	})
	s.appendTimes = append(s.appendTimes, time.Now())
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// applyFaults applies the faults Delay and Down.
func (s *Store) applyFaults(ctx context.Context) error {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return errors.Mark(ctx.Err(), logclient.ErrUnavailable)
		}
	}
	if faults.Down {
		return errors.Mark(errors.New("log is down"), logclient.ErrUnavailable)
	}
	return nil
}

func (s *Store) findOrCreateTopic(name string) *topic {
	st := s.topics[name]
	if st == nil {
		st = &topic{
			newest:   make(map[string][]byte),
			appended: make(chan struct{}),
		}
		s.topics[name] = st
	}
	return st
}

// applyRetention removes the records that exceed the retention limits.
func (s *Store) applyRetention(st *topic) {
	drop := 0
	if s.retention.MaxRecords > 0 {
		drop = max(len(st.records)-s.retention.MaxRecords, 0)
	}
	if s.retention.MaxAge > 0 {
		for drop < len(st.records) && time.Since(st.appendTimes[drop]) > s.retention.MaxAge {
			drop++
		}
	}
	st.records = st.records[drop:]
	st.appendTimes = st.appendTimes[drop:]
	st.earliest += int64(drop)
}
