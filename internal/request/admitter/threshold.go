package admitter

import (
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// Threshold parameters.
const (
	// admissionWindow is the window of the threshold and of the bulkhead's averages.
	admissionWindow = 100 * time.Millisecond
	// arrivalAverageWeight is the weight of a new window in the moving averages of
	// arrivals.
	arrivalAverageWeight = 0.25
	// raiseUtilization is the fraction of the capacity that arrivals at or above the
	// threshold may use while the target is saturated.
	raiseUtilization = 1.02
	// lowerUtilization is a fraction of the capacity. While the target is not
	// saturated, the threshold falls if the arrivals at or above it use less.
	lowerUtilization = 0.97
	// lowerFactor is the fraction of the spare capacity that one window makes
	// available to lower levels.
	lowerFactor = 0.5
	// densityLevels is the number of levels from the threshold upward whose arrivals
	// estimate the demand of the levels below it.
	densityLevels = 64
	// minStep and maxStep bound the fall of the threshold in one window, in levels.
	minStep = 2
	maxStep = 64
	// maxThreshold is the highest threshold. Calls of the highest level of the highest
	// criticality still pass it.
	maxThreshold = caller.PriorityLevels - 1
)

// Threshold is the lowest priority that the target queues while it has no free slot.
// It is set so that the arrivals at or above it match the capacity. It rises while
// the target is saturated and falls, in proportion to the spare capacity, as soon as
// there is any. A level is one value of caller.Priority.
type Threshold struct {
	value       float64
	windowStart time.Time
	saturated   bool
	arrivals    [caller.PriorityLevels]float64
	// rates holds the moving average of arrivals per window at each level.
	rates [caller.PriorityLevels]float64
}

// Value returns the threshold. While there is no free slot, the target refuses calls
// of lower priority.
func (t *Threshold) Value() caller.Priority {
	return caller.Priority(t.value)
}

// RecordArrival records one arriving call.
func (t *Threshold) RecordArrival(priority caller.Priority) {
	t.arrivals[min(priority, maxThreshold)]++
}

// RecordSaturation records that a queued call waited for at least
// Config.QueueTimeout, or that a call was dropped from the queue.
func (t *Threshold) RecordSaturation() {
	t.saturated = true
}

// AdvanceWindow ends the window if it is over. Capacity is the number of calls per
// second that the target can serve, or 0 while that is unknown.
func (t *Threshold) AdvanceWindow(now time.Time, capacity float64) {
	if t.windowStart.IsZero() {
		t.windowStart = now
	}
	elapsed := now.Sub(t.windowStart)
	if elapsed < admissionWindow {
		return
	}
	t.updateRates(elapsed)
	perWindow := capacity * admissionWindow.Seconds()
	switch {
	case capacity == 0:
	case t.saturated:
		t.raise(perWindow * raiseUtilization)
	default:
		t.lower(perWindow*lowerUtilization, elapsed)
	}
	t.windowStart = now
	t.saturated = false
}

// updateRates adds the window's arrivals to the moving averages. A longer window
// counts as several.
func (t *Threshold) updateRates(elapsed time.Duration) {
	windows := float64(elapsed) / float64(admissionWindow)
	weight := min(arrivalAverageWeight*windows, 1)
	for level := range t.rates {
		t.rates[level] += weight * (t.arrivals[level]/windows - t.rates[level])
		t.arrivals[level] = 0
	}
}

// raise sets the threshold to the lowest level for which the arrivals at or above it
// fit the capacity, if that is higher than the current one.
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

// lower moves the threshold down by a step that makes part of the spare capacity
// available to lower levels.
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
		step = lowerFactor * spare * densityLevels / near
	}
	windows := max(1, float64(elapsed/admissionWindow))
	t.value = max(0, t.value-min(max(step, minStep), maxStep)*windows)
}
