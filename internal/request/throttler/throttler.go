// Package throttler refuses requests at the entry of the call graph, before any
// work is done for them, when many requests of the same route fail further down
// because of overload.
//
// The entry does not need to know where the bottleneck is or what a request costs
// there. Each route has an admission probability. The throttler lowers it when
// admitted requests fail and raises it when they succeed. All nodes together
// settle near the load that the bottleneck can handle.
//
// Less urgent routes are throttled earlier: when the answers to their requests report that a
// service on their path fills up (see package gauger). They thus make room for urgent
// requests before these fail.
//
// # Usage
//
//	t := throttler.New(rng)
//	if !t.Admit(now, "r-7", throttler.PolicyFor(criticality)) { refuse }
//	t.RecordPressure(now, "r-7", load.Pressure)
//	t.RecordResult(now, "r-7", overloadRatio)
package throttler

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/fader"
)

// Throttle parameters.
const (
	// minWindow is the shortest time between two changes of an admission
	// probability. It is long enough for the effect of the last change to show.
	minWindow = 500 * time.Millisecond
	// minResults is the number of results that a window needs before it ends.
	// After maxWindow it ends with fewer.
	minResults = 4
	maxWindow  = time.Second
	// minFailures keeps a single failure from lowering the probability.
	minFailures = 2
	// The n-th window with few failures since the last decrease raises the
	// probability by increaseStep * n^increaseExponent. The first steps are small
	// so that a probability that is nearly right does not overshoot. The steps
	// grow so that all requests are admitted again within 5 s.
	increaseStep     = 0.02
	increaseExponent = 1.5
	// minAdmitProbability keeps some requests of each route flowing, so that the
	// throttler notices when the overload ends.
	minAdmitProbability = 0.08
)

// Throttler keeps a separate admission probability for each route. It is not safe
// for concurrent use; the owner must hold one lock around every method call.
type Throttler struct {
	rng    *rand.Rand
	routes map[string]*routeState
	peak   peak
}

// routeState holds the admission probability of one route and the results of its
// current window.
type routeState struct {
	admitProbability float64
	windowStart      time.Time
	results          int
	// overloadFailures is the sum of the overload ratios of the results.
	overloadFailures float64
	pressure         pressureWindow
	// decreased reports whether the last window lowered the probability. The
	// current window does not lower it again, because requests that end in it may
	// have been admitted before the decrease.
	decreased bool
	// failing reports whether more requests failed in the last window than LowFailureRatio.
	failing bool
	// calmWindows counts the windows with few failures since the last decrease.
	calmWindows int
}

// New returns a Throttler that admits all requests.
func New(rng *rand.Rand) *Throttler {
	return &Throttler{
		rng:    rng,
		routes: make(map[string]*routeState),
		peak: peak{
			fader: fader.New(peakHalfLife),
		},
	}
}

// Admit reports whether a request of the route is admitted. It first adjusts the
// admission probability of the route if its current window is over.
func (t *Throttler) Admit(now time.Time, route string, policy Policy) bool {
	r := t.routeState(now, route)
	r.endWindow(now, policy)
	t.endPressureWindow(now, r, policy)
	return r.admitProbability >= 1 || t.rng.Float64() < r.admitProbability
}

// RecordResult records the end of an admitted request. overloadRatio is the part of
// the request's failure, from 0 to 1, that is due to overload. It is 0 for a request
// that succeeded or that failed for another reason, because admitting fewer requests
// would not prevent that failure.
func (t *Throttler) RecordResult(now time.Time, route string, overloadRatio float64) {
	r := t.routeState(now, route)
	r.results++
	r.overloadFailures += overloadRatio
}

func (t *Throttler) routeState(now time.Time, route string) *routeState {
	r := t.routes[route]
	if r == nil {
		r = &routeState{
			admitProbability: 1,
			windowStart:      now,
		}
		t.routes[route] = r
	}
	return r
}

// endWindow adjusts the admission probability if the current window is over, and
// starts the next window.
func (r *routeState) endWindow(now time.Time, policy Policy) {
	length := now.Sub(r.windowStart)
	if length < minWindow || (r.results < minResults && length < maxWindow) {
		return
	}
	failureRatio := 0.0
	if r.results > 0 {
		failureRatio = r.overloadFailures / float64(r.results)
	}
	r.failing = failureRatio > policy.LowFailureRatio
	switch {
	case failureRatio > policy.HighFailureRatio && r.overloadFailures >= minFailures:
		if !r.decreased {
			r.admitProbability = max(r.admitProbability*(1-policy.DecreaseFactor*failureRatio), minAdmitProbability)
		}
		r.decreased = !r.decreased
		r.calmWindows = 0
	case !r.failing && (policy.MaxPressure == 0 || r.pressure.last <= policy.CalmPressure):
		r.calmWindows++
		r.admitProbability = min(r.admitProbability+increaseStep*math.Pow(float64(r.calmWindows), increaseExponent), 1)
		r.decreased = false
	default:
		r.decreased = false
	}
	r.windowStart = now
	r.results = 0
	r.overloadFailures = 0
}
