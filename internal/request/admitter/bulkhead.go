package admitter

import "time"

// Bulkhead parameters.
const (
	// bulkheadShare is the share of the limit in use from which routes are kept
	// to their normal part.
	bulkheadShare = 0.75
	// normalFactor times its normal calls is what a slow route may hold.
	normalFactor = 1.25
	// normalWeight is the weight of one window in the normal number of calls.
	normalWeight = 0.05
	// slowAge is the mean age of running calls, as a share of the normal call
	// time, from which a route counts as slow; half is usual.
	slowAge = 0.75
	// refusalMemory is the number of seconds after a refusal in which the normal
	// number of calls stays, so that it does not grow with what is let through.
	refusalMemory  = 5.0
	baselineWindow = time.Second
	// waitingShare is the least share of its time that a route spends waiting
	// for its own calls, if these are to be the cause of its slowness.
	waitingShare = 0.2
)

// Bulkhead keeps a route whose calls became slow, for example because a service
// below it did, from taking the slots of the other routes.
type Bulkhead struct {
	routes     map[string]*routeLoad
	rolled     time.Time
	baselineAt time.Time
}

// routeLoad is what one route holds.
type routeLoad struct {
	inFlight int
	// startedSum is the sum of the start times of running calls, in seconds
	// since the epoch of the admitter.
	startedSum float64
	// normal is the usual number of running calls.
	normal float64
	// baseline is the usual call time in seconds.
	baseline float64
	sum      float64
	waited   float64
	count    int
	// frozenUntil is until when normal stays as it is, in seconds since the
	// epoch.
	frozenUntil float64
	// waits tells that the route spends its time waiting for its own calls.
	waits bool
}

// NewBulkhead returns a bulkhead that knows no routes.
func NewBulkhead() *Bulkhead {
	return &Bulkhead{
		routes: make(map[string]*routeLoad),
	}
}

// route returns the load of a route; routes beyond the bound share one.
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

// Started notes the start of a call at a time in seconds since the epoch.
func (b *Bulkhead) Started(name string, at float64) {
	load := b.route(name)
	load.inFlight++
	load.startedSum += at
}

// Done notes the end of a call that started at the given time, and the part of
// its time in which it waited for its own calls.
func (b *Bulkhead) Done(name string, startedAt float64, total, waited time.Duration) {
	load := b.route(name)
	load.inFlight--
	load.startedSum -= startedAt
	load.sum += total.Seconds()
	load.waited += waited.Seconds()
	load.count++
}

// slow reports whether the running calls are older than usual.
func (l *routeLoad) slow(at float64) bool {
	if l.inFlight == 0 || l.baseline == 0 {
		return false
	}
	return at-l.startedSum/float64(l.inFlight) > slowAge*l.baseline
}

// Exceeded reports whether a slow route holds more than its part.
func (b *Bulkhead) Exceeded(name string, at float64) bool {
	load := b.route(name)
	if !load.waits || !load.slow(at) || float64(load.inFlight) < normalFactor*load.normal {
		return false
	}
	load.frozenUntil = at + refusalMemory
	return true
}

// Roll takes a window into what is usual.
func (b *Bulkhead) Roll(now time.Time, at float64) {
	if now.Sub(b.rolled) < thresholdWindow {
		return
	}
	b.rolled = now
	renew := now.Sub(b.baselineAt) >= baselineWindow
	if renew {
		b.baselineAt = now
	}
	for _, load := range b.routes {
		if !load.slow(at) && at >= load.frozenUntil {
			load.normal += normalWeight * (float64(load.inFlight) - load.normal)
		}
		if renew {
			load.renew()
		}
	}
}

// renew takes the calls of the last window into the usual call time.
func (l *routeLoad) renew() {
	if l.count == 0 {
		return
	}
	mean := l.sum / float64(l.count)
	l.baseline *= baselineRise
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	}
	l.waits = l.waited >= waitingShare*l.sum
	l.sum = 0
	l.waited = 0
	l.count = 0
}
