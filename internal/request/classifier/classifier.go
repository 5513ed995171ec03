// Package classifier distinguishes internal routes, which backend servers call, from
// routes that clients call. It is needed where a call carries no reference to its
// parent call.
//
// Clients are spread over the machines of all services, but the calls of a backend
// server come only from the machines of its own service. If nearly all calls of a
// route begin at the nodes of one service, or of a few services out of many, the
// route is internal.
//
// # Usage
//
//	table.Observe("r-7", "allot")
//	internal := table.IsInternal("r-7")
package classifier

import "sync"

// Classification parameters.
const (
	// minCalls is the number of calls needed to classify a route. With four
	// services, the chance that all these calls come from one service although
	// clients make them is less than one in a million.
	minCalls = 20
	// singleCallerRatio is the fraction of calls from one service that makes a
	// route internal.
	singleCallerRatio = 0.9
	// jointCallerRatio is the fraction of calls from a few services that makes a
	// route internal. A few means at most maxJointCallers, and at most half of all
	// services.
	jointCallerRatio = 0.95
	maxJointCallers  = 3
	// maxCalls is the count at which the counts of a route are halved, so that the
	// classification follows changes.
	maxCalls = 400
	// maxRoutes bounds the stored routes, and also the stored services. A new route
	// beyond it drops all stored routes. A new service beyond it is not stored.
	maxRoutes = 10_000
)

// Table counts the calls of each route by the service at whose node they began. Its
// methods are safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	routes map[string]*route
	// callerServices is the set of services at whose nodes calls began.
	callerServices map[string]bool
}

// route counts the calls of one route by the service at whose node they began.
type route struct {
	total          int
	callsByService map[string]int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		routes:         make(map[string]*route),
		callerServices: make(map[string]bool),
	}
}

// Observe counts one call that began at a node of the service, and reports whether
// its route is internal.
func (t *Table) Observe(routeName, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[routeName]
	if r == nil {
		if len(t.routes) >= maxRoutes {
			clear(t.routes)
		}
		r = &route{
			callsByService: make(map[string]int),
		}
		t.routes[routeName] = r
	}
	if len(t.callerServices) < maxRoutes {
		t.callerServices[service] = true
	}
	r.total++
	r.callsByService[service]++
	if r.total >= maxCalls {
		r.halve()
	}
	return r.isInternal(len(t.callerServices))
}

// IsInternal reports whether a route is known to be internal.
func (t *Table) IsInternal(routeName string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[routeName]
	return r != nil && r.isInternal(len(t.callerServices))
}

// isInternal reports whether the route is internal. callerServiceCount is the number
// of services at whose nodes calls began, on any route.
func (r *route) isInternal(callerServiceCount int) bool {
	if r.total < minCalls {
		return false
	}
	var topCounts [maxJointCallers]int
	for _, count := range r.callsByService {
		for i := range topCounts {
			if count > topCounts[i] {
				count, topCounts[i] = topCounts[i], count
			}
		}
	}
	if float64(topCounts[0]) >= singleCallerRatio*float64(r.total) {
		return true
	}
	jointCalls := 0
	for _, count := range topCounts[:min(maxJointCallers, callerServiceCount/2)] {
		jointCalls += count
	}
	return float64(jointCalls) >= jointCallerRatio*float64(r.total)
}

func (r *route) halve() {
	r.total = 0
	for service, count := range r.callsByService {
		r.callsByService[service] = count / 2
		r.total += count / 2
	}
}
