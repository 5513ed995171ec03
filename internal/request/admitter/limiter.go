package admitter

import (
	"math"
	"time"
)

// Limiter parameters.
const (
	minLimit     = 2
	growthFactor = 1.3
	// trialFactor multiplies the limit for the duration of a trial.
	trialFactor = 0.75
	// minThroughputRatio is the fraction of the throughput that must remain during a
	// trial for the lower limit to be kept.
	minThroughputRatio = 0.9
	// maxSteadyChange bounds the relative change of the mean call time between two
	// windows whose throughput can be compared.
	maxSteadyChange = 0.25
	// inflationTolerance is the ratio of the service times to their baselines up to
	// which the difference is regarded as noise.
	inflationTolerance = 1.5
	// failureFactor multiplies the limit after a window with overload failures.
	failureFactor = 0.9
	minWindow     = 100 * time.Millisecond
	// windowCallTimes is the number of mean call times that a window spans at least.
	windowCallTimes = 2
	minCompleted    = 10
	// baselineRise multiplies the baselines in each window of the limiter, and in each
	// baselineWindow of the bulkhead.
	baselineRise = 1.002
	// maxRouteCount bounds the number of routes with statistics of their own.
	maxRouteCount = 256
)

// Limiter adapts the concurrency limit of one backend server to its measured
// service times and throughput.
//
// When calls find no free slot and service times are normal, the limit grows. When
// calls find no free slot and service times have grown, the limiter starts a trial
// with a lower limit. If the throughput stays the same, the calls were competing for
// capacity and the lower limit is kept. If the throughput falls too, the calls became
// slow for another reason: the limit is restored and the new service times become the
// baseline. After a window with overload failures, the limit is lowered at once,
// unless a trial is in progress.
//
// Service times exclude the time that the backend server waits for child calls.
type Limiter struct {
	slots int
	limit float64

	windowStart time.Time
	completed   int
	callTimeSum time.Duration
	// totalServiceTime is the sum of the service times in the last window, in seconds.
	totalServiceTime float64
	// expectedServiceTime is the sum that the baselines predict for the same calls, in
	// seconds.
	expectedServiceTime float64
	limitReached        bool
	overloaded          bool
	routes              map[string]*routeTimes

	meanCallTime time.Duration
	// steady reports whether the mean call time of the last window was close to that
	// of the window before.
	steady bool
	trial  trialPhase
	// throughputBefore and limitBefore are the values before the trial.
	throughputBefore float64
	limitBefore      float64
}

// trialPhase is the phase of a trial with a lower limit.
type trialPhase uint8

const (
	noTrial trialPhase = iota
	// settling lasts one window, so that the calls admitted before the trial can end.
	settling
	measuring
)

// routeTimes holds the service times of one route.
type routeTimes struct {
	// baseline is the mean service time without overload, in seconds.
	baseline       float64
	serviceTimeSum float64
	count          int
}

// NewLimiter returns a limiter for a backend server that announced slots. The
// announced number, but at least minLimit, is the limit until the first adjustment.
func NewLimiter(slots int, now time.Time) *Limiter {
	return &Limiter{
		slots:       slots,
		limit:       math.Max(minLimit, float64(slots)),
		windowStart: now,
		routes:      make(map[string]*routeTimes),
	}
}

// SetSlots changes the upper bound of the limit; 0 means that there is none. The
// limit stays at least minLimit.
func (l *Limiter) SetSlots(slots int) {
	l.slots = slots
	l.limit = l.clamp(l.limit)
}

// Limit returns the number of calls that may run at once.
func (l *Limiter) Limit() int {
	return int(l.limit)
}

// MeanCallTime returns the mean time that calls held their slots in the last
// window, or 0 before the end of the first window.
func (l *Limiter) MeanCallTime() time.Duration {
	return l.meanCallTime
}

// RecordLimitReached records that a call found no free slot, or found other calls in
// the queue.
func (l *Limiter) RecordLimitReached() {
	l.limitReached = true
}

// RecordOverload records that the backend server refused or failed a call in a way
// that counts as overload.
func (l *Limiter) RecordOverload() {
	l.overloaded = true
}

// RecordFinish records one completed call: its route, the service time of the
// backend server itself and the time that the call held its slot. It ends the
// window when the window is long enough.
func (l *Limiter) RecordFinish(now time.Time, route string, serviceTime, callTime time.Duration) {
	times := l.routes[route]
	if times == nil && len(l.routes) < maxRouteCount {
		times = &routeTimes{}
		l.routes[route] = times
	}
	if times != nil {
		times.serviceTimeSum += serviceTime.Seconds()
		times.count++
	}
	l.completed++
	l.callTimeSum += callTime
	elapsed := now.Sub(l.windowStart)
	mean := l.callTimeSum / time.Duration(l.completed)
	if l.completed >= minCompleted && elapsed >= minWindow && elapsed >= windowCallTimes*mean {
		l.endWindow(elapsed)
		l.windowStart = now
	}
}

// endWindow adjusts the limit and starts a new window.
func (l *Limiter) endWindow(elapsed time.Duration) {
	throughput := float64(l.completed) / elapsed.Seconds()
	mean := l.callTimeSum / time.Duration(l.completed)
	change := math.Abs(float64(mean - l.meanCallTime))
	l.steady = change <= maxSteadyChange*float64(l.meanCallTime)
	l.meanCallTime = mean
	l.sumServiceTimes()
	l.adjustLimit(throughput)
	l.completed = 0
	l.callTimeSum = 0
	l.limitReached = false
	l.overloaded = false
	for _, times := range l.routes {
		times.serviceTimeSum = 0
		times.count = 0
	}
}

// sumServiceTimes sums the service times of the window and the times expected from
// the baselines. It lowers a baseline to the mean of the window if that is lower.
func (l *Limiter) sumServiceTimes() {
	l.totalServiceTime, l.expectedServiceTime = 0, 0
	for _, times := range l.routes {
		if times.count == 0 {
			continue
		}
		mean := times.serviceTimeSum / float64(times.count)
		if times.baseline == 0 || mean < times.baseline {
			times.baseline = mean
		}
		l.totalServiceTime += times.serviceTimeSum
		l.expectedServiceTime += times.baseline * float64(times.count)
		// The slow rise keeps one exceptionally fast window from setting the
		// baseline forever.
		times.baseline *= baselineRise
	}
}

// adjustLimit sets the limit for the next window and runs the trials.
func (l *Limiter) adjustLimit(throughput float64) {
	inflated := l.expectedServiceTime > 0 && l.totalServiceTime > inflationTolerance*l.expectedServiceTime
	switch {
	case l.trial == settling:
		l.trial = measuring
	case l.trial == measuring:
		l.endTrial(throughput)
	case l.overloaded:
		l.limit = l.clamp(l.limit * failureFactor)
	case l.limitReached && inflated && l.steady:
		l.trial = settling
		l.throughputBefore = throughput
		l.limitBefore = l.limit
		l.limit = l.clamp(l.limit * trialFactor)
	case l.limitReached && !inflated:
		l.limit = l.clamp(l.limit*growthFactor + 1)
	}
}

func (l *Limiter) endTrial(throughput float64) {
	l.trial = noTrial
	if throughput >= minThroughputRatio*l.throughputBefore {
		return
	}
	l.limit = l.limitBefore
	for _, times := range l.routes {
		if times.count > 0 {
			times.baseline = times.serviceTimeSum / float64(times.count)
		}
	}
}

func (l *Limiter) clamp(limit float64) float64 {
	if l.slots > 0 {
		limit = math.Min(limit, float64(l.slots))
	}
	return math.Max(limit, minLimit)
}
