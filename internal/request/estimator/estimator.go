// Package estimator estimates how long a call holds a slot of its backend server before the
// call runs. It answers a load of calls that look alike and differ in cost.
//
// The estimate starts from the mean of the route. A feature of the call (its path, the size of
// its body, its organisation, the calling service) refines it, if its errors on recent calls
// are lower than those of the route alone. Run times are learned relative to the slowdown of
// the server. How far the run time of a route follows the slowdown is learned as well: a call
// that mostly waits for its own calls does not become slower with its server.
//
// # Usage
//
//	table := estimator.New()
//	table.Observe(now, key, slowdown, runTime)
//	estimate := table.Estimate(now, key)
//	expected := estimate.At(slowdown)
package estimator

import (
	"math"
	"time"
)

// Parameters of the estimates.
const (
	// sampleWeight is the least weight of a run. The first runs are averaged.
	sampleWeight = 0.03
	// maxSampleRatio bounds a run time by a multiple of the mean, so that one outlier hardly
	// moves the mean. It is above the factor of the usual heavy tail (3% at 7 times).
	maxSampleRatio = 10
	// halfLife is the time in which the weight of earlier runs falls by half when no
	// run follows.
	halfLife = 20 * time.Second
	// maxRoutes bounds the routes. A new route beyond it takes the place of the one that was
	// not seen for the longest time.
	maxRoutes = 512
	// minRunTime is the shortest run time that is distinguished.
	minRunTime = 10 * time.Microsecond
	// minSlowdown and maxSlowdown bound the slowdowns that are taken into account.
	minSlowdown = 0.05
	maxSlowdown = 50.0
)

// Key describes what is known of a call before it runs.
type Key struct {
	Route string
	Path  string
	// Size is the size of the body in bytes, or negative if it is not known.
	Size         int64
	Organisation string
	// CallerService is the service whose node started the call.
	CallerService string
}

// Estimate is the expected cost of a call. The zero value means that nothing is known.
type Estimate struct {
	// Mean is the expected time that the call holds a slot, and Spread the standard
	// deviation, both at a slowdown of 1.
	Mean   time.Duration
	Spread time.Duration
	// Elasticity says how far the run time follows the slowdown: fully at 1, not at all at 0.
	Elasticity float64
	// Age is the time since the last run of the route.
	Age  time.Duration
	tail *tail
}

// At returns the expected run time at a slowdown, or the one at the usual speed if the slowdown
// is not known.
func (e Estimate) At(slowdown float64) time.Duration {
	return time.Duration(float64(e.Mean) * e.Factor(slowdown))
}

// Factor returns the factor by which the slowdown lengthens the call.
func (e Estimate) Factor(slowdown float64) float64 {
	slowdown = validSlowdown(slowdown)
	if e.Elasticity > 0.98 {
		return slowdown
	}
	return math.Pow(slowdown, e.Elasticity)
}

// Remaining returns the expected remaining run time of a call that has run for age at a
// slowdown. With a heavy tail it grows with the age.
func (e Estimate) Remaining(age time.Duration, slowdown float64) time.Duration {
	mean := e.At(slowdown)
	if mean <= 0 || e.tail == nil {
		return max(mean, 0)
	}
	return time.Duration(float64(mean) * e.tail.remaining(float64(age)/float64(mean)))
}

// Table holds the estimates of one service. It is not safe for concurrent use.
type Table struct {
	routes map[string]*route
	// values counts the values of the features of all routes.
	values int
}

// New returns an empty table.
func New() *Table {
	return &Table{
		routes: make(map[string]*route),
	}
}

// route is what is known of the calls of one route.
type route struct {
	updated time.Time
	// weight is the decayed number of runs.
	weight float64
	// mean is the mean run time in seconds at a slowdown of 1.
	mean       float64
	regression Regression
	tail       tail
	features   [featureCount]feature
	// routeError is the mean error of the estimate by the route alone.
	routeError float64
	// chosen is the feature that refines the estimate, or featureCount for none.
	chosen int
}

// Observe records a run: its time and the slowdown that was expected of the server when the
// run began, or 0 if none was known.
func (t *Table) Observe(now time.Time, key Key, slowdown float64, runTime time.Duration) {
	r := t.routes[key.Route]
	if r == nil {
		r = t.add(key.Route)
	}
	slowdown = validSlowdown(slowdown)
	r.decay(now)
	r.weight++
	weight := max(1/r.weight, sampleWeight)
	logRun := math.Log(max(runTime, minRunTime).Seconds())
	r.regression.Observe(slowdown, runTime, weight)
	logNormal := logRun - r.regression.Elasticity()*math.Log(slowdown)
	normal := math.Exp(logNormal)
	t.observeFeatures(r, key, normal)
	if r.weight > 1 {
		normal = min(normal, maxSampleRatio*r.mean)
	}
	r.mean += weight * (normal - r.mean)
	r.tail.observe(normal / r.mean)
}

// Estimate returns the expected cost of a call, or the zero value if its route is not known.
func (t *Table) Estimate(now time.Time, key Key) Estimate {
	r := t.routes[key.Route]
	if r == nil {
		return Estimate{}
	}
	factor := r.featureFactor(key)
	return Estimate{
		Mean:       seconds(r.mean * factor),
		Spread:     seconds(r.mean * factor * r.tail.spread()),
		Elasticity: r.regression.Elasticity(),
		Age:        now.Sub(r.updated),
		tail:       &r.tail,
	}
}

// Len returns the number of routes.
func (t *Table) Len() int {
	return len(t.routes)
}

// add adds a route. If there are too many, it removes the one with the oldest run.
func (t *Table) add(name string) *route {
	if len(t.routes) >= maxRoutes {
		oldest := ""
		for other, r := range t.routes {
			if oldest == "" || r.updated.Before(t.routes[oldest].updated) {
				oldest = other
			}
		}
		for _, f := range t.routes[oldest].features {
			t.values -= len(f.values)
		}
		delete(t.routes, oldest)
	}
	r := &route{
		chosen: featureCount,
	}
	t.routes[name] = r
	return r
}

// decay lowers the weight of the earlier runs by the time without one.
func (r *route) decay(now time.Time) {
	if idle := now.Sub(r.updated); !r.updated.IsZero() && idle > time.Second {
		r.weight *= math.Exp2(-float64(idle) / float64(halfLife))
	}
	r.weight = min(r.weight, 1/sampleWeight)
	r.updated = now
}

// validSlowdown returns a slowdown within its bounds, or 1 if it is not known.
func validSlowdown(slowdown float64) float64 {
	if slowdown <= 0 {
		return 1
	}
	return min(max(slowdown, minSlowdown), maxSlowdown)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
