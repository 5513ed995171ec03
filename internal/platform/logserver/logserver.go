// Package logserver is a small stand-in for the platform's append-only log,
// with limited retention and faults that tests and experiments set.
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
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

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
}

var _ logclient.Log = (*Store)(nil)

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

// Requests returns the number of appends and reads received.
func (s *Store) Requests() (appends, reads int64) {
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
	st := s.stream(name)
	offset := st.earliest + int64(len(st.records))
	st.records = append(st.records, logclient.Record{
		Offset:  offset,
		Time:    time.Now(),
		Payload: payload,
	})
	s.trim(st)
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
		st = &stream{}
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
		for drop < len(st.records) && time.Since(st.records[drop].Time) > s.retention.MaxAge {
			drop++
		}
	}
	st.records = st.records[drop:]
	st.earliest += int64(drop)
}

const defaultReadLimit = 100

// Handler serves the store over HTTP, and its faults under /faults.
func (s *Store) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST("/streams/:stream/records", s.handleAppend)
	e.GET("/streams/:stream/records", s.handleRead)
	e.PUT("/faults", s.handleFaults)
	return e
}

func (s *Store) handleAppend(c echo.Context) error {
	payload, err := io.ReadAll(io.LimitReader(c.Request().Body, logclient.MaxRecordBytes+1))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if len(payload) > logclient.MaxRecordBytes {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, "record exceeds the size limit")
	}
	offset, err := s.Append(c.Request().Context(), c.Param("stream"), payload)
	if errors.Is(err, logclient.ErrOutcomeUnknown) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return c.JSON(http.StatusCreated, logclient.Appended{
		Offset: offset,
	})
}

func (s *Store) handleRead(c echo.Context) error {
	from, err := strconv.ParseInt(c.QueryParam("from"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "from is not an offset")
	}
	limit, err := strconv.Atoi(c.QueryParam("limit"))
	if err != nil || limit <= 0 {
		limit = defaultReadLimit
	}
	batch, err := s.Read(c.Request().Context(), c.Param("stream"), from, limit)
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return c.JSON(http.StatusOK, batch)
}

func (s *Store) handleFaults(c echo.Context) error {
	var faults Faults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	s.SetFaults(faults)
	return c.NoContent(http.StatusNoContent)
}
