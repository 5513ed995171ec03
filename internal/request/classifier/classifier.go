// Package classifier tells the routes that backend servers call from those that
// clients call, where nothing in a call names the one it is made for.
//
// Clients are spread over the machines of all services, and a backend server's
// calls come from the machines of its own service only. A route nearly all of
// whose calls began at the nodes of one service, or of a few out of many, is called
// by these services.
//
// # Usage
//
//	table.Observe("r-7", "allot")
//	inner := table.Inner("r-7")
package classifier

import "sync"

// Classification parameters.
const (
	// minCalls is the number of calls seen before a route is judged: with four
	// services, clients' calls all come from one by chance in less than one of
	// a million cases.
	minCalls = 20
	// innerShare is the share of the calls from one service that marks a route.
	innerShare = 0.9
	// jointShare is the share of the calls from a few services that marks a route;
	// maxCallers is how many these may be, and at most half of all services.
	jointShare = 0.95
	maxCallers = 3
	// maxCalls is where counts are halved, so that the judgment follows changes.
	maxCalls  = 400
	maxRoutes = 10_000
)

// Table counts where the calls of each route began. Its methods are safe for
// concurrent use.
type Table struct {
	mu     sync.Mutex
	routes map[string]*route
	// callers is the services at whose nodes calls began.
	callers map[string]bool
}

// route is the calls of one route by the service at whose node they began.
type route struct {
	total    int
	services map[string]int
}

// NewTable returns a table that knows no routes.
func NewTable() *Table {
	return &Table{
		routes:  make(map[string]*route),
		callers: make(map[string]bool),
	}
}

// Observe counts one call and reports whether its route is called by backend
// servers.
func (t *Table) Observe(name, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[name]
	if r == nil {
		if len(t.routes) >= maxRoutes {
			clear(t.routes)
		}
		r = &route{
			services: make(map[string]int),
		}
		t.routes[name] = r
	}
	if len(t.callers) < maxRoutes {
		t.callers[service] = true
	}
	r.total++
	r.services[service]++
	if r.total >= maxCalls {
		r.halve()
	}
	return r.inner(len(t.callers))
}

// IsInternal reports whether a route is called by backend servers.
func (t *Table) IsInternal(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[name]
	return r != nil && r.inner(len(t.callers))
}

// inner judges the route, where calls begin at the nodes of so many services.
func (r *route) inner(services int) bool {
	if r.total < minCalls {
		return false
	}
	var most [maxCallers]int
	for _, count := range r.services {
		for i := range most {
			if count > most[i] {
				count, most[i] = most[i], count
			}
		}
	}
	if float64(most[0]) >= innerShare*float64(r.total) {
		return true
	}
	joint := 0
	for _, count := range most[:min(maxCallers, services/2)] {
		joint += count
	}
	return float64(joint) >= jointShare*float64(r.total)
}

func (r *route) halve() {
	r.total = 0
	for service, count := range r.services {
		r.services[service] = count / 2
		r.total += count / 2
	}
}
