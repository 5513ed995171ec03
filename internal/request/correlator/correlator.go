// Package correlator learns which requests to the local backend server cause its calls to
// other services.
//
// Nothing in a call names the request that it is made for. A backend server that runs requests
// of several routes therefore seems to call the same services for all of them, and a route that
// makes no calls is throttled with the others when a service downstream is full. The table
// fits, by least squares, the number of calls in each window to the requests of each route that
// started or ended in it. The error of the fit gives the probability that a route causes calls:
// a request that makes any makes one at least.
//
// # Usage
//
//	table := correlator.New()
//	table.RecordStart(now, route)
//	table.RecordCall(now, calledRoute)
//	table.RecordEnd(now, route)
//	if calls, known := table.Calls(route, calledRoute); known && calls == 0 { ... }
package correlator

import (
	"math"
	"sync"
	"time"
)

// Parameters of the fit.
const (
	// window is the time over which requests and calls are counted. It is longer than most
	// requests that make calls.
	window = 500 * time.Millisecond
	// halfLife is the time after which a window counts half.
	halfLife = 30 * time.Second
	// minWindows is the number of windows that a result needs, beside one for each route.
	minWindows = 4
	// minCalls is the number of calls for each request that divides routes that cause calls
	// from those that do not: half of the least number that a request makes.
	minCalls = 0.5
	// maxRoutes bounds the inbound routes and the called routes that are compared. The
	// others count as causing all calls.
	maxRoutes = 8
	// minActive is the decayed sum of squared requests, or of calls, below which a route gives
	// its place to a new one. Routes come and go with the settings.
	minActive = 0.5
)

// Table relates the calls of the local backend server to the requests that it runs. Its methods
// are safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	start   time.Time
	windows float64
	// inbound holds the index of each inbound route in the arrays below.
	inbound map[string]int
	// requests holds, for each inbound route, half of the starts and ends in the window.
	requests [maxRoutes]float64
	// total is the decayed sum of all requests, and products those of the products of two
	// inbound routes' requests.
	total    float64
	products matrix
	called   map[string]*calledRoute
}

// calledRoute holds the calls on one route that the backend server makes.
type calledRoute struct {
	calls float64
	// total is the decayed sum of calls.
	total float64
	// squares is the decayed sum of the squares of calls, and products the decayed sums of
	// calls times the requests of each inbound route.
	squares  float64
	products [maxRoutes]float64
	// fitted reports whether there is a fit. perRequest holds, for each inbound route, the
	// calls that a request makes, and probabilities the probability that it makes any.
	fitted        bool
	perRequest    [maxRoutes]float64
	probabilities [maxRoutes]float64
}

// New returns an empty Table.
func New() *Table {
	return &Table{
		inbound: make(map[string]int),
		called:  make(map[string]*calledRoute),
	}
}

// RecordStart records that the backend server starts to run a request.
func (t *Table) RecordStart(now time.Time, route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	i, ok := t.inbound[route]
	if !ok {
		if i, ok = t.freeIndex(); !ok {
			return
		}
		t.inbound[route] = i
		for _, c := range t.called {
			c.probabilities[i] = 1
		}
	}
	t.requests[i] += 0.5
}

// freeIndex returns the index of a new inbound route, that of one without recent requests if the
// arrays are full.
func (t *Table) freeIndex() (int, bool) {
	if len(t.inbound) < maxRoutes {
		return len(t.inbound), true
	}
	for route, i := range t.inbound {
		if t.requests[i] > 0 || t.products[i][i] >= minActive {
			continue
		}
		delete(t.inbound, route)
		for j := range maxRoutes {
			t.products[i][j], t.products[j][i] = 0, 0
		}
		for _, c := range t.called {
			c.products[i], c.perRequest[i] = 0, 0
		}
		return i, true
	}
	return 0, false
}

// RecordEnd records the end of a request that was started.
func (t *Table) RecordEnd(now time.Time, route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if i, ok := t.inbound[route]; ok {
		t.requests[i] += 0.5
	}
}

// RecordCall records a call of the backend server.
func (t *Table) RecordCall(now time.Time, route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	c := t.called[route]
	if c == nil {
		if !t.hasPlace() {
			return
		}
		c = &calledRoute{}
		for i := range c.probabilities {
			c.probabilities[i] = 1
		}
		t.called[route] = c
	}
	c.calls++
}

// hasPlace reports whether a new called route fits, and removes one without recent calls if need be.
func (t *Table) hasPlace() bool {
	if len(t.called) < maxRoutes {
		return true
	}
	for route, c := range t.called {
		if c.total+c.calls < minActive {
			delete(t.called, route)
			return true
		}
	}
	return false
}

// Probability returns the probability that requests of a route cause calls on the called route.
// It is 1 while nothing is known.
func (t *Table) Probability(route, called string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.inbound[route]
	c := t.called[called]
	if !ok || c == nil {
		return 1
	}
	return c.probabilities[i]
}

// Calls returns the number of calls on the called route that a request of a route makes, or 0 if it
// probably makes none. Before there is a fit, the calls are divided among all requests alike, and
// known is false.
func (t *Table) Calls(route, called string) (calls float64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.called[called]
	if c == nil {
		// A called route that has no place in the table counts as called once.
		if len(t.called) >= maxRoutes {
			return 1, false
		}
		return 0, true
	}
	if i, ok := t.inbound[route]; ok && c.fitted {
		if c.probabilities[i] < 0.5 {
			return 0, true
		}
		return c.perRequest[i], true
	}
	if t.total == 0 {
		return 0, false
	}
	return c.total / t.total, false
}

// advance ends the current window if it is over.
func (t *Table) advance(now time.Time) {
	if t.start.IsZero() {
		t.start = now
	}
	elapsed := now.Sub(t.start)
	if elapsed < window {
		return
	}
	t.start = now
	t.decay(elapsed)
	// After a pause the counts belong to different times.
	if elapsed < 2*window {
		t.addWindow()
	}
	t.requests = [maxRoutes]float64{}
	for _, c := range t.called {
		c.calls = 0
	}
}

// decay lets the sums decay over the elapsed time.
func (t *Table) decay(elapsed time.Duration) {
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	t.windows *= factor
	t.total *= factor
	n := len(t.inbound)
	for i := range n {
		for j := range n {
			t.products[i][j] *= factor
		}
	}
	for _, c := range t.called {
		c.total *= factor
		c.squares *= factor
		for i := range n {
			c.products[i] *= factor
		}
	}
}

// addWindow adds the counts of the window to the sums and fits the calls to them.
func (t *Table) addWindow() {
	t.windows++
	n := len(t.inbound)
	for i := range n {
		t.total += t.requests[i]
		for j := range n {
			t.products[i][j] += t.requests[i] * t.requests[j]
		}
	}
	for _, c := range t.called {
		c.total += c.calls
		c.squares += c.calls * c.calls
		for i := range n {
			c.products[i] += c.calls * t.requests[i]
		}
	}
	if t.windows < minWindows+float64(n) {
		return
	}
	inverse, ok := t.products.invert(n)
	if !ok {
		return
	}
	for _, c := range t.called {
		c.fit(inverse, n, t.windows)
	}
}

// fit estimates for each inbound route the probability that its requests cause the calls.
func (c *calledRoute) fit(inverse matrix, n int, windows float64) {
	var perRequest [maxRoutes]float64
	explained := 0.0
	for i := range n {
		for j := range n {
			perRequest[i] += inverse[i][j] * c.products[j]
		}
		explained += perRequest[i] * c.products[i]
	}
	c.fitted = true
	c.perRequest = perRequest
	variance := max(c.squares-explained, 0) / (windows - float64(n))
	for i := range n {
		deviation := math.Sqrt(variance * max(inverse[i][i], 0))
		c.probabilities[i] = normalCDF(perRequest[i]-minCalls, deviation)
	}
}

// normalCDF returns the probability that a normally distributed value with the given standard
// deviation and mean 0 is below x.
func normalCDF(x, deviation float64) float64 {
	if deviation == 0 {
		if x < 0 {
			return 0
		}
		return 1
	}
	return math.Erfc(-x/(deviation*math.Sqrt2)) / 2
}
