package admitter

import (
	"math"
	"time"
)

// Limiter parameters.
const (
	minLimit = 2
	growth   = 1.3
	// trialShare is the share of the limit that a trial leaves in use.
	trialShare = 0.75
	// keptRate is the share of the throughput that a trial must keep for the
	// lower limit to stay.
	keptRate = 0.9
	// stableShare bounds the change of the mean call time between two windows
	// that can be compared.
	stableShare = 0.25
	// tolerance is the growth of service times that is taken for noise.
	tolerance = 1.5
	// failedShare is what a window with overload failures leaves of the limit.
	failedShare = 0.9
	minWindow   = 100 * time.Millisecond
	// windowTimes is the number of mean call times that a window spans.
	windowTimes   = 2
	minCompleted  = 10
	baselineRise  = 1.002
	maxRouteCount = 256
)

// Limiter finds the concurrency limit of one backend server from its own
// observations.
//
// When calls wait and service times are normal, the limit grows. When service
// times have grown, the limiter lowers the limit on trial: if the throughput
// stays, the calls were competing for capacity and the lower limit is kept; if
// it falls too, the calls became slow for another reason, so the limit returns
// and the new service times count as normal.
//
// Service times exclude what the backend server waits for its own calls.
type Limiter struct {
	slots int
	limit float64

	windowStart time.Time
	completed   int
	total       time.Duration
	observed    float64
	expected    float64
	saturated   bool
	failed      bool
	routes      map[string]*routeTimes

	meanTotal time.Duration
	// steady tells that the mean call time of the last window was that of the
	// one before.
	steady bool
	trial  trialPhase
	// rateBefore and limitBefore are those before the trial.
	rateBefore  float64
	limitBefore float64
}

// trialPhase is how far a trial of a lower limit is.
type trialPhase uint8

const (
	noTrial trialPhase = iota
	// settling waits until the calls admitted before the trial have ended.
	settling
	measuring
)

// routeTimes is the service time of one route.
type routeTimes struct {
	// baseline is the normal mean, in seconds.
	baseline float64
	sum      float64
	count    int
}

// NewLimiter returns a limiter for a backend server that announced slots, which
// it trusts until the first trial.
func NewLimiter(slots int, now time.Time) *Limiter {
	return &Limiter{
		slots:       slots,
		limit:       math.Max(minLimit, float64(slots)),
		windowStart: now,
		routes:      make(map[string]*routeTimes),
	}
}

// SetSlots changes the upper bound of the limit.
func (l *Limiter) SetSlots(slots int) {
	l.slots = slots
	l.limit = l.clamp(l.limit)
}

// Limit returns the number of calls that may run at once.
func (l *Limiter) Limit() int {
	return int(l.limit)
}

// MeanTotal returns the mean time that calls held their slots lately, or 0
// before the first window.
func (l *Limiter) MeanTotal() time.Duration {
	return l.meanTotal
}

// Saturated notes that a call had to wait for the limit.
func (l *Limiter) Saturated() {
	l.saturated = true
}

// Failed notes that the backend server refused or failed a call for overload.
func (l *Limiter) Failed() {
	l.failed = true
}

// Done notes one completed call: its route, the time the backend server itself
// spent on it and the time it held its slot.
func (l *Limiter) Done(now time.Time, route string, service, total time.Duration) {
	times := l.routes[route]
	if times == nil && len(l.routes) < maxRouteCount {
		times = &routeTimes{}
		l.routes[route] = times
	}
	if times != nil {
		times.sum += service.Seconds()
		times.count++
	}
	l.completed++
	l.total += total
	elapsed := now.Sub(l.windowStart)
	mean := l.total / time.Duration(l.completed)
	if l.completed >= minCompleted && elapsed >= minWindow && elapsed >= windowTimes*mean {
		l.update(elapsed)
		l.windowStart = now
	}
}

// update ends a window.
func (l *Limiter) update(elapsed time.Duration) {
	rate := float64(l.completed) / elapsed.Seconds()
	mean := l.total / time.Duration(l.completed)
	change := math.Abs(float64(mean - l.meanTotal))
	l.steady = change <= stableShare*float64(l.meanTotal)
	l.meanTotal = mean
	l.measure()
	l.adjust(rate)
	l.completed = 0
	l.total = 0
	l.saturated = false
	l.failed = false
	for _, times := range l.routes {
		times.sum = 0
		times.count = 0
	}
}

// measure sums the service times of the window and those that would be normal,
// and lowers the baselines to what was seen.
func (l *Limiter) measure() {
	l.observed, l.expected = 0, 0
	for _, times := range l.routes {
		if times.count == 0 {
			continue
		}
		mean := times.sum / float64(times.count)
		if times.baseline == 0 || mean < times.baseline {
			times.baseline = mean
		}
		l.observed += times.sum
		l.expected += times.baseline * float64(times.count)
		// A slow rise forgets the luckiest window.
		times.baseline *= baselineRise
	}
}

// adjust sets the limit for the next window.
func (l *Limiter) adjust(rate float64) {
	inflated := l.expected > 0 && l.observed > tolerance*l.expected
	switch {
	case l.trial == settling:
		l.trial = measuring
	case l.trial == measuring:
		l.endTrial(rate)
	case l.failed:
		l.limit = l.clamp(l.limit * failedShare)
	case l.saturated && inflated && l.steady:
		l.trial = settling
		l.rateBefore = rate
		l.limitBefore = l.limit
		l.limit = l.clamp(l.limit * trialShare)
	case l.saturated && !inflated:
		l.limit = l.clamp(l.limit*growth + 1)
	}
}

func (l *Limiter) endTrial(rate float64) {
	l.trial = noTrial
	if rate >= keptRate*l.rateBefore {
		return
	}
	l.limit = l.limitBefore
	for _, times := range l.routes {
		if times.count > 0 {
			times.baseline = times.sum / float64(times.count)
		}
	}
}

func (l *Limiter) clamp(limit float64) float64 {
	if l.slots > 0 {
		limit = math.Min(limit, float64(l.slots))
	}
	return math.Max(limit, minLimit)
}
