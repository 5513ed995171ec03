package responder

import (
	"sync"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// RunCounter counts what the stand-ins ran. Its methods are safe for concurrent
// use.
type RunCounter struct {
	mu         sync.Mutex
	runs       int64
	perRequest map[string]int
	bound      map[runKey]int
}

type runKey struct {
	service   describer.ServiceName
	route     string
	requestID string
}

// NewRunCounter returns an empty ledger.
func NewRunCounter() *RunCounter {
	return &RunCounter{
		perRequest: make(map[string]int),
		bound:      make(map[runKey]int),
	}
}

// RecordRun notes one run.
func (l *RunCounter) RecordRun(service describer.ServiceName, route, requestID string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs++
	l.perRequest[requestID]++
	if once {
		l.bound[runKey{
			service:   service,
			route:     route,
			requestID: requestID,
		}]++
	}
}

// RunCount returns the number of runs of one non-idempotent route for a request.
func (l *RunCounter) RunCount(service describer.ServiceName, route, requestID string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bound[runKey{
		service:   service,
		route:     route,
		requestID: requestID,
	}]
}

// Totals are the sums over a run.
type Totals struct {
	Runs       int64
	Duplicates int64
	// MaxRunsPerRequest is the most runs that one request caused.
	MaxRunsPerRequest int
}

// Totals returns the sums so far. A duplicate is a run of a non-idempotent
// route beyond the first for one request.
func (l *RunCounter) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := Totals{
		Runs: l.runs,
	}
	for _, n := range l.bound {
		totals.Duplicates += int64(n - 1)
	}
	for _, n := range l.perRequest {
		totals.MaxRunsPerRequest = max(totals.MaxRunsPerRequest, n)
	}
	return totals
}
