// Package throttler refuses requests at their entry when many of their kind
// would fail further down for lack of capacity, before any work is done for them.
//
// The entry need not know where the bottleneck is or what a request costs there.
// It lets a share of each route's requests in, lowers the share when those let in
// fail, and raises it when they are served. All nodes together settle near the
// load that the bottleneck can take.
//
// # Usage
//
//	t := throttler.New(rng)
//	if !t.Admit(now, "r-7", policy) { refuse }
//	t.Ended(now, "r-7", failed)
package throttler

import (
	"math"
	"math/rand/v2"
	"time"
)

// Throttle parameters.
const (
	// window is the time between two changes of a share: long enough for the
	// outcome of the last change to show.
	window = 500 * time.Millisecond
	// minEnded is the number of ended requests that a window needs, and
	// maxWindow the time after which fewer are enough.
	minEnded  = 4
	maxWindow = time.Second
	// minFailures keeps a single failure from lowering the share.
	minFailures = 2
	// step raises the share in the first window without many failures. Later
	// windows raise it faster, by stepGrowth as power of their number, so that
	// all requests are let in again within 5 s, and a share that is nearly right
	// is raised with care.
	step       = 0.02
	stepGrowth = 1.5
	// leastShare leaves some requests of each route to find out.
	leastShare = 0.08
)

// Policy is how a route's share follows its failures.
type Policy struct {
	// LowFailureRatio is the share of failures that does not count as overload, and Many
	// that from which the share is lowered. Backend servers fail some requests
	// for reasons of their own.
	LowFailureRatio  float64
	HighFailureRatio float64
	// DecreaseFactor is the part of the failures by which the share is lowered.
	DecreaseFactor float64
}

// Throttler decides for each route by itself. It is not safe for concurrent use;
// its owner holds one lock around every method.
type Throttler struct {
	rng    *rand.Rand
	routes map[string]*route
}

// route is the share of a route's requests that are let in.
type route struct {
	share   float64
	started time.Time
	ended   int
	failed  float64
	// settling tells that the share was lowered in the last window, so that
	// what ends now was let in before.
	settling bool
	// calm is the number of windows since the share was lowered.
	calm int
}

// New returns a Throttler that lets all requests in.
func New(rng *rand.Rand) *Throttler {
	return &Throttler{
		rng:    rng,
		routes: make(map[string]*route),
	}
}

// Admit reports whether a request may pass.
func (t *Throttler) Admit(now time.Time, name string, policy Policy) bool {
	r := t.route(now, name)
	r.roll(now, policy)
	return r.share >= 1 || t.rng.Float64() < r.share
}

// RecordResult takes the outcome of a request that was let in: the part of it, from 0 to
// 1, that failed for lack of capacity. Failures of other causes would not end if
// fewer requests were let in.
func (t *Throttler) RecordResult(now time.Time, name string, failed float64) {
	r := t.route(now, name)
	r.ended++
	r.failed += failed
}

func (t *Throttler) route(now time.Time, name string) *route {
	r := t.routes[name]
	if r == nil {
		r = &route{
			share:   1,
			started: now,
		}
		t.routes[name] = r
	}
	return r
}

// roll ends the window when it is over.
func (r *route) roll(now time.Time, policy Policy) {
	length := now.Sub(r.started)
	if length < window || (r.ended < minEnded && length < maxWindow) {
		return
	}
	failures := 0.0
	if r.ended > 0 {
		failures = r.failed / float64(r.ended)
	}
	switch {
	case failures > policy.HighFailureRatio && r.failed >= minFailures:
		if !r.settling {
			r.share = max(r.share*(1-policy.DecreaseFactor*failures), leastShare)
		}
		r.settling = !r.settling
		r.calm = 0
	case failures <= policy.LowFailureRatio:
		r.calm++
		r.share = min(r.share+step*math.Pow(float64(r.calm), stepGrowth), 1)
		r.settling = false
	default:
		r.settling = false
	}
	r.started = now
	r.ended = 0
	r.failed = 0
}
