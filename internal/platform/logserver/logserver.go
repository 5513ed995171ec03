// Package logserver is a small stand-in for the platform's store, with limited
// retention and faults that tests and experiments set.
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
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/platform/logclient"
)

// Retention limits what a stream keeps; zero fields do not limit.
type Retention struct {
	MaxRecords int
	MaxAge     time.Duration
}

// Faults are the failures the stand-in shows.
type Faults struct {
	// Down refuses every request.
	Down bool `json:"down"`
	// Delay holds every answer back.
	Delay time.Duration `json:"delay"`
	// LoseAnswers lets the next appends take effect and loses their answers.
	LoseAnswers int `json:"loseAnswers"`
}

// Store holds the streams. Its methods are safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	retention Retention
	faults    Faults
	streams   map[string]*stream
	appends   int64
	reads     int64
}

type stream struct {
	earliest int64
	records  []logclient.Record
	// times holds when each record was appended.
	times []time.Time
	// newest holds the newest value of each key of a table.
	newest map[string][]byte
	// grown is closed at the next append.
	grown chan struct{}
}

var _ logclient.Store = (*Store)(nil)

// New returns an empty Store.
func New(retention Retention) *Store {
	return &Store{
		retention: retention,
		streams:   make(map[string]*stream),
	}
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// RequestCounts returns the number of appends and reads received.
func (s *Store) RequestCounts() (appends, reads int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends, s.reads
}

// Append implements logclient.Log.
func (s *Store) Append(ctx context.Context, name string, payload []byte) (int64, error) {
	if err := s.wait(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	offset := s.stream(name).append(payload)
	s.trim(s.stream(name))
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return 0, errors.Mark(errors.New("answer lost"), logclient.ErrOutcomeUnknown)
	}
	return offset, nil
}

// Read implements logclient.Log.
func (s *Store) Read(ctx context.Context, name string, from int64, limit int) (logclient.Batch, error) {
	if err := s.wait(ctx); err != nil {
		return logclient.Batch{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	st := s.stream(name)
	s.trim(st)
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
func (s *stream) append(payload []byte) int64 {
	offset := s.earliest + int64(len(s.records))
	s.records = append(s.records, logclient.Record{
		Offset:  offset,
		Payload: payload,
	})
	s.times = append(s.times, time.Now())
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// wait applies the delay and outage faults.
func (s *Store) wait(ctx context.Context) error {
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

func (s *Store) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{
			newest: make(map[string][]byte),
			grown:  make(chan struct{}),
		}
		s.streams[name] = st
	}
	return st
}

func (s *Store) trim(st *stream) {
	drop := 0
	if s.retention.MaxRecords > 0 {
		drop = max(len(st.records)-s.retention.MaxRecords, 0)
	}
	if s.retention.MaxAge > 0 {
		for drop < len(st.records) && time.Since(st.times[drop]) > s.retention.MaxAge {
			drop++
		}
	}
	st.records = st.records[drop:]
	st.times = st.times[drop:]
	st.earliest += int64(drop)
}
