package admitter

import (
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// Threshold parameters.
const (
	thresholdWindow = 100 * time.Millisecond
	// windowWeight is the weight of a new window in the moving averages.
	windowWeight = 0.25
	// raiseShare is the share of the capacity that arrivals above the threshold
	// may use while the target is saturated.
	raiseShare = 1.02
	// lowerShare is the share of the capacity below which the threshold falls.
	lowerShare = 0.97
	// lowerGain is the part of the spare capacity given back in one window.
	lowerGain = 0.5
	// densityLevels is the number of levels above the threshold from which the
	// demand below it is estimated.
	densityLevels = 64
	minStep       = 2
	maxStep       = 64
	// maxThreshold leaves the highest level of the highest criticality open.
	maxThreshold = caller.PriorityLevels - 1
)

// Threshold finds the lowest priority that the target can serve, so that the
// arrivals above it match the capacity. It rises while the target is saturated
// and falls, in proportion to the spare capacity, as soon as there is any.
type Threshold struct {
	value       float64
	windowStart time.Time
	saturated   bool
	arrivals    [caller.PriorityLevels]float64
	// rates is the moving average of arrivals per window at each level.
	rates [caller.PriorityLevels]float64
}

// Value returns the threshold; calls of lower priority are refused.
func (t *Threshold) Value() caller.Priority {
	return caller.Priority(t.value)
}

// Arrived notes one call.
func (t *Threshold) Arrived(priority caller.Priority) {
	t.arrivals[min(priority, maxThreshold)]++
}

// Saturated notes a call that waited for long or found the queue full.
func (t *Threshold) Saturated() {
	t.saturated = true
}

// Roll ends the window when it is over. Capacity is the calls per second that
// the target can serve; 0 means that it is not known yet.
func (t *Threshold) Roll(now time.Time, capacity float64) {
	if t.windowStart.IsZero() {
		t.windowStart = now
	}
	elapsed := now.Sub(t.windowStart)
	if elapsed < thresholdWindow {
		return
	}
	t.average(elapsed)
	perWindow := capacity * thresholdWindow.Seconds()
	switch {
	case capacity == 0:
	case t.saturated:
		t.raise(perWindow * raiseShare)
	default:
		t.lower(perWindow*lowerShare, elapsed)
	}
	t.windowStart = now
	t.saturated = false
}

// average takes the window's arrivals into the moving averages. A window that
// lasted longer counts as several.
func (t *Threshold) average(elapsed time.Duration) {
	windows := float64(elapsed) / float64(thresholdWindow)
	weight := min(windowWeight*windows, 1)
	for level := range t.rates {
		t.rates[level] += weight * (t.arrivals[level]/windows - t.rates[level])
		t.arrivals[level] = 0
	}
}

// raise sets the threshold to the level above which arrivals fit the capacity,
// if that is higher.
func (t *Threshold) raise(capacity float64) {
	sum := 0.0
	for level := maxThreshold; level >= int(t.value); level-- {
		sum += t.rates[level]
		if sum > capacity {
			t.value = float64(min(level+1, maxThreshold))
			return
		}
	}
}

// lower gives back part of the spare capacity.
func (t *Threshold) lower(capacity float64, elapsed time.Duration) {
	if t.value == 0 {
		return
	}
	above, near := 0.0, 0.0
	from := int(t.value)
	for level := from; level <= maxThreshold; level++ {
		above += t.rates[level]
		if level < from+densityLevels {
			near += t.rates[level]
		}
	}
	spare := capacity - above
	if spare <= 0 {
		return
	}
	step := float64(maxStep)
	if near > 0 {
		step = lowerGain * spare * densityLevels / near
	}
	windows := max(1, float64(elapsed/thresholdWindow))
	t.value = max(0, t.value-min(max(step, minStep), maxStep)*windows)
}
