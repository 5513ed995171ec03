// Package throttler refuses requests at their entry when most of their kind
// would fail further down, before any work is done for them.
//
// The entry need not know where the bottleneck is or what a request costs there:
// it compares the requests of a route with those that were served, and lets
// through little more than what is served. All nodes together settle near the
// load that the bottleneck can take.
//
// # Usage
//
//	t := throttler.New(rng)
//	if !t.Admit(now, "r-7") { refuse }
//	t.Served(now, "r-7")
package throttler

import (
	"math"
	"math/rand/v2"
	"time"
)

// Throttle parameters.
const (
	// memory is the time constant of the counts: long against a request, short
	// against a surge.
	memory = 2 * time.Second
	// headroom is how many requests are let through for each one served; the
	// excess finds out when there is room again.
	headroom = 1.15
	// spare is the number of failures within the memory that refuse nothing,
	// since few requests say little.
	spare = 3
	// maxRefused leaves some requests of each route to find out.
	maxRefused = 0.9
)

// Throttler decides for each route by itself. It is not safe for concurrent use;
// its owner holds one lock around every method.
type Throttler struct {
	rng    *rand.Rand
	routes map[string]*counts
}

// counts are the requests of one route, fading over time.
type counts struct {
	at       time.Time
	requests float64
	served   float64
}

// New returns a Throttler that refuses nothing yet.
func New(rng *rand.Rand) *Throttler {
	return &Throttler{
		rng:    rng,
		routes: make(map[string]*counts),
	}
}

// Admit counts a request and reports whether it may pass.
func (t *Throttler) Admit(now time.Time, route string) bool {
	c := t.fade(now, route)
	refused := c.refusedShare()
	c.requests++
	return refused == 0 || t.rng.Float64() >= refused
}

// Served counts a request that was served, or whose failure says nothing about
// the load.
func (t *Throttler) Served(now time.Time, route string) {
	t.fade(now, route).served++
}

// fade returns the counts of a route as they are now.
func (t *Throttler) fade(now time.Time, route string) *counts {
	c := t.routes[route]
	if c == nil {
		c = &counts{
			at: now,
		}
		t.routes[route] = c
	}
	kept := math.Exp(-float64(now.Sub(c.at)) / float64(memory))
	c.requests *= kept
	c.served *= kept
	c.at = now
	return c
}

// refusedShare returns the share of requests to refuse.
func (c *counts) refusedShare() float64 {
	excess := c.requests - headroom*c.served - spare
	if excess <= 0 {
		return 0
	}
	return min(excess/(c.requests+1), maxRefused)
}
