package throttler

import (
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/fader"
)

// Parameters of the throttling by pressure. It answers demand far above the capacity of a
// service that many routes reach: the less urgent routes leave room there before the
// requests of the urgent ones fail.
const (
	// minPressureWindow is the shortest time between two changes because of pressure. A
	// window without reports lasts maxPressureWindow.
	minPressureWindow = 250 * time.Millisecond
	maxPressureWindow = 500 * time.Millisecond
	// peakHalfLife is the time in which the peak falls by half.
	peakHalfLife = 500 * time.Millisecond
	// A window lowers the probability at most by the factor minDecrease and raises it
	// at most by maxIncrease.
	minDecrease = 0.25
	maxIncrease = 1.8
	// minPressure is the pressure that a raise assumes at least.
	minPressure = 0.1
)

// pressureWindow collects the pressure that answers to requests of one route report.
type pressureWindow struct {
	start   time.Time
	sum     float64
	reports int
	// last is the mean pressure of the last window, or 0 if it had no reports.
	last float64
	// decreased reports whether the last window lowered the probability. The next
	// window does not lower it again, because its requests were admitted before.
	decreased bool
}

// peak is the highest recent pressure of all routes. It falls exponentially.
type peak struct {
	fader fader.Fader
	value float64
}

func (p *peak) record(now time.Time, pressure float64) {
	p.value = max(p.value*p.fader.DecayFactor(now), pressure)
}

func (p *peak) at(now time.Time) float64 {
	p.value *= p.fader.DecayFactor(now)
	return p.value
}

// RecordPressure records the pressure that the answer to an admitted request reports.
func (t *Throttler) RecordPressure(now time.Time, route string, pressure float64) {
	r := t.routeState(now, route)
	r.pressure.sum += pressure
	r.pressure.reports++
	t.peak.record(now, pressure)
}

// isOver reports whether the window has lasted long enough.
func (w *pressureWindow) isOver(now time.Time) bool {
	length := now.Sub(w.start)
	return length >= maxPressureWindow || (w.reports > 0 && length >= minPressureWindow)
}

// endPressureWindow adjusts the admission probability of a route in proportion to the
// pressure, if the current window is over.
func (t *Throttler) endPressureWindow(now time.Time, r *routeState, policy Policy) {
	w := &r.pressure
	if !w.isOver(now) {
		return
	}
	// Without reports, the peak of all routes is an upper bound: where it is low, the path
	// of this route has room too. Where it is high, that may be another path.
	mean, tooHigh := t.peak.at(now), false
	w.last = 0
	if w.reports > 0 {
		mean = w.sum / float64(w.reports)
		w.last = mean
		tooHigh = policy.MaxPressure > 0 && mean > policy.MaxPressure
	}
	w.start, w.sum, w.reports = now, 0, 0
	switch {
	case tooHigh && !w.decreased:
		r.admitProbability = max(r.admitProbability*max(policy.MaxPressure/mean, minDecrease), minAdmitProbability)
		r.calmWindows = 0
	case mean < policy.CalmPressure && !r.failing:
		r.admitProbability = min(r.admitProbability*min(policy.CalmPressure/max(mean, minPressure), maxIncrease), 1)
	}
	w.decreased = tooHigh && !w.decreased
}
