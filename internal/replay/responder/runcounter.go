package responder

import (
	"sync"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// RunCounter counts the runs of requests at the simulated backend servers. Its
// methods are safe for concurrent use.
type RunCounter struct {
	mu            sync.Mutex
	runs          int64
	perRequest    map[string]int
	nonIdempotent map[runKey]int
}

type runKey struct {
	service   describer.ServiceName
	route     string
	requestID string
}

// NewRunCounter returns a counter without runs.
func NewRunCounter() *RunCounter {
	return &RunCounter{
		perRequest:    make(map[string]int),
		nonIdempotent: make(map[runKey]int),
	}
}

// RecordRun counts one run. nonIdempotent reports whether the route must run at
// most once for each request.
func (c *RunCounter) RecordRun(service describer.ServiceName, route, requestID string, nonIdempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs++
	c.perRequest[requestID]++
	if nonIdempotent {
		c.nonIdempotent[runKey{
			service:   service,
			route:     route,
			requestID: requestID,
		}]++
	}
}

// RunCount returns how often a non-idempotent route ran for a request. Runs of
// idempotent routes are not counted by request and route.
func (c *RunCounter) RunCount(service describer.ServiceName, route, requestID string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nonIdempotent[runKey{
		service:   service,
		route:     route,
		requestID: requestID,
	}]
}

// Totals holds the sums over a replay.
type Totals struct {
	Runs       int64
	Duplicates int64
	// MaxRunsPerRequest is the largest number of runs that one request caused,
	// over all services.
	MaxRunsPerRequest int
}

// Totals returns the sums so far. A duplicate is a run of a non-idempotent
// route beyond the first for one request.
func (c *RunCounter) Totals() Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	totals := Totals{
		Runs: c.runs,
	}
	for _, n := range c.nonIdempotent {
		totals.Duplicates += int64(n - 1)
	}
	for _, n := range c.perRequest {
		totals.MaxRunsPerRequest = max(totals.MaxRunsPerRequest, n)
	}
	return totals
}
