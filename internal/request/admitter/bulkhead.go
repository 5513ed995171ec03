package admitter

import "time"

// Bulkhead parameters.
const (
	// bulkheadUtilization is the ratio of the limit in use above which slow routes
	// are held to their in-flight limit.
	bulkheadUtilization = 0.75
	// inFlightFactor multiplies the average number of running calls of a slow route;
	// the product is its in-flight limit.
	inFlightFactor = 1.25
	// inFlightAverageWeight is the weight of a new window in the average of in-flight
	// calls.
	inFlightAverageWeight = 0.05
	// slowAgeRatio is the mean age of running calls, as a ratio of the baseline
	// call time, above which a route is slow. In a steady state the ratio is one half.
	slowAgeRatio = 0.75
	// averageFreeze is the number of seconds after a refusal during which the average
	// of in-flight calls is not updated, so that it does not grow with the excess
	// calls that are still admitted.
	averageFreeze = 5.0
	// baselineWindow is the least time between two updates of the baselines.
	baselineWindow = time.Second
	// minChildWaitRatio is the fraction of its call time that a route must spend
	// waiting for child calls to be regarded as slow because of them.
	minChildWaitRatio = 0.2
)

// Bulkhead prevents a route whose calls became slow, for example because a service
// that it calls did, from taking the slots of the other routes.
type Bulkhead struct {
	routes        map[string]*routeLoad
	windowStart   time.Time
	baselineStart time.Time
}

// routeLoad holds the running calls and the call time statistics of one route.
type routeLoad struct {
	inFlight int
	// startTimeSum is the sum of the start times of running calls, in seconds
	// since the admitter was created.
	startTimeSum float64
	// averageInFlight is the moving average of the number of running calls.
	averageInFlight float64
	// baseline is the lowest mean call time of the recent windows, in seconds. It
	// rises slowly, so that it follows lasting changes.
	baseline     float64
	callTimeSum  float64
	childWaitSum float64
	completed    int
	// averageFrozenUntil is the time, in seconds since the admitter was created,
	// until which averageInFlight is not updated.
	averageFrozenUntil float64
	// waitsForChildren reports whether the route spends at least minChildWaitRatio of
	// its call time waiting for child calls.
	waitsForChildren bool
}

// NewBulkhead returns a bulkhead without routes.
func NewBulkhead() *Bulkhead {
	return &Bulkhead{
		routes: make(map[string]*routeLoad),
	}
}

// route returns the load of a route. New routes beyond maxRouteCount share one
// entry.
func (b *Bulkhead) route(name string) *routeLoad {
	load := b.routes[name]
	if load != nil {
		return load
	}
	if len(b.routes) >= maxRouteCount {
		name = ""
	}
	if load = b.routes[name]; load == nil {
		load = &routeLoad{}
		b.routes[name] = load
	}
	return load
}

// RecordStart records the start of a call. startSeconds is the time in seconds since
// the admitter was created.
func (b *Bulkhead) RecordStart(name string, startSeconds float64) {
	load := b.route(name)
	load.inFlight++
	load.startTimeSum += startSeconds
}

// RecordFinish records the end of a call that started at startSeconds.
// childWait is the part of its call time in which it waited for child calls.
func (b *Bulkhead) RecordFinish(name string, startSeconds float64, callTime, childWait time.Duration) {
	load := b.route(name)
	load.inFlight--
	load.startTimeSum -= startSeconds
	load.callTimeSum += callTime.Seconds()
	load.childWaitSum += childWait.Seconds()
	load.completed++
}

// slow reports whether the mean age of the running calls exceeds slowAgeRatio times
// the baseline call time.
func (l *routeLoad) slow(nowSeconds float64) bool {
	if l.inFlight == 0 || l.baseline == 0 {
		return false
	}
	return nowSeconds-l.startTimeSum/float64(l.inFlight) > slowAgeRatio*l.baseline
}

// ShouldRefuse reports whether a new call of the route must be refused: the route is
// slow because of its child calls and has reached its in-flight limit. A refusal
// freezes the average of in-flight calls.
func (b *Bulkhead) ShouldRefuse(name string, nowSeconds float64) bool {
	load := b.route(name)
	if !load.waitsForChildren || !load.slow(nowSeconds) || float64(load.inFlight) < inFlightFactor*load.averageInFlight {
		return false
	}
	load.averageFrozenUntil = nowSeconds + averageFreeze
	return true
}

// AdvanceWindow updates the averages of in-flight calls once per admissionWindow, and
// the baselines once per baselineWindow. nowSeconds is now in seconds since the
// admitter was created.
func (b *Bulkhead) AdvanceWindow(now time.Time, nowSeconds float64) {
	if now.Sub(b.windowStart) < admissionWindow {
		return
	}
	b.windowStart = now
	baselineEnded := now.Sub(b.baselineStart) >= baselineWindow
	if baselineEnded {
		b.baselineStart = now
	}
	for _, load := range b.routes {
		if !load.slow(nowSeconds) && nowSeconds >= load.averageFrozenUntil {
			load.averageInFlight += inFlightAverageWeight * (float64(load.inFlight) - load.averageInFlight)
		}
		if baselineEnded {
			load.updateBaseline()
		}
	}
}

// updateBaseline updates the baseline call time and waitsForChildren from the calls
// that ended in the last baselineWindow.
func (l *routeLoad) updateBaseline() {
	if l.completed == 0 {
		return
	}
	mean := l.callTimeSum / float64(l.completed)
	l.baseline *= baselineRise
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	}
	l.waitsForChildren = l.childWaitSum >= minChildWaitRatio*l.callTimeSum
	l.callTimeSum = 0
	l.childWaitSum = 0
	l.completed = 0
}
