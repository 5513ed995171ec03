package admitter

import "time"

// Bulkhead parameters.
const (
	// bulkheadUtilization is the ratio of the limit in use above which slow routes
	// are held to their in-flight limit.
	bulkheadUtilization = 0.75
	// inFlightFactor times its average in-flight calls is the limit of a slow route.
	inFlightFactor = 1.25
	// averageWeight is the weight of one window in the average of in-flight calls.
	averageWeight = 0.05
	// slowAgeRatio is the mean age of running calls, as a ratio of the baseline
	// call time, above which a route is slow. In a steady state the ratio is half.
	slowAgeRatio = 0.75
	// averageFreeze is the number of seconds after a refusal during which the average
	// of in-flight calls is not updated, so that it does not grow with the excess
	// calls that are still admitted.
	averageFreeze  = 5.0
	baselineWindow = time.Second
	// minDownstreamRatio is the least ratio of its call time that a route spends
	// waiting for calls of its own before these are taken as the cause of its
	// slowness.
	minDownstreamRatio = 0.2
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
	// since the epoch of the admitter.
	startTimeSum float64
	// averageInFlight is the moving average of running calls.
	averageInFlight float64
	// baseline is the lowest mean call time of the recent windows, in seconds. It
	// rises slowly, so that it follows lasting changes.
	baseline          float64
	callTimeSum       float64
	downstreamWaitSum float64
	count             int
	// averageFrozenUntil is the time, in seconds since the epoch, until which
	// averageInFlight is not updated.
	averageFrozenUntil float64
	// waitsDownstream reports whether the route spends a large part of its time
	// waiting for calls of its own.
	waitsDownstream bool
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

// RecordStart records the start of a call at a time in seconds since the epoch.
func (b *Bulkhead) RecordStart(name string, at float64) {
	load := b.route(name)
	load.inFlight++
	load.startTimeSum += at
}

// RecordFinish records the end of a call that started at the given time, and the
// part of its time in which it waited for calls of its own.
func (b *Bulkhead) RecordFinish(name string, startedAt float64, callTime, downstreamWait time.Duration) {
	load := b.route(name)
	load.inFlight--
	load.startTimeSum -= startedAt
	load.callTimeSum += callTime.Seconds()
	load.downstreamWaitSum += downstreamWait.Seconds()
	load.count++
}

// slow reports whether the mean age of the running calls exceeds its limit in
// proportion to the baseline call time.
func (l *routeLoad) slow(at float64) bool {
	if l.inFlight == 0 || l.baseline == 0 {
		return false
	}
	return at-l.startTimeSum/float64(l.inFlight) > slowAgeRatio*l.baseline
}

// ShouldRefuse reports whether a new call of the route must be refused: the route is
// slow because of its own calls and has reached its in-flight limit. A refusal
// freezes the average of in-flight calls.
func (b *Bulkhead) ShouldRefuse(name string, at float64) bool {
	load := b.route(name)
	if !load.waitsDownstream || !load.slow(at) || float64(load.inFlight) < inFlightFactor*load.averageInFlight {
		return false
	}
	load.averageFrozenUntil = at + averageFreeze
	return true
}

// AdvanceWindow updates the averages of in-flight calls once per window, and the
// baselines once per baselineWindow.
func (b *Bulkhead) AdvanceWindow(now time.Time, at float64) {
	if now.Sub(b.windowStart) < thresholdWindow {
		return
	}
	b.windowStart = now
	baselineEnded := now.Sub(b.baselineStart) >= baselineWindow
	if baselineEnded {
		b.baselineStart = now
	}
	for _, load := range b.routes {
		if !load.slow(at) && at >= load.averageFrozenUntil {
			load.averageInFlight += averageWeight * (float64(load.inFlight) - load.averageInFlight)
		}
		if baselineEnded {
			load.updateBaseline()
		}
	}
}

// updateBaseline updates the baseline call time and waitsDownstream from the last
// window.
func (l *routeLoad) updateBaseline() {
	if l.count == 0 {
		return
	}
	mean := l.callTimeSum / float64(l.count)
	l.baseline *= baselineRise
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	}
	l.waitsDownstream = l.downstreamWaitSum >= minDownstreamRatio*l.callTimeSum
	l.callTimeSum = 0
	l.downstreamWaitSum = 0
	l.count = 0
}
