package admitter

import (
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// Threshold parameters.
const (
	thresholdWindow = 100 * time.Millisecond
	minStep         = 4
	maxStep         = 128
	// keptShare is the share of the capacity that the threshold leaves
	// admitted while the target is overloaded.
	keptShare = 1.05
	// maxThreshold leaves the highest level of the highest criticality open.
	maxThreshold = caller.PriorityLevels - 1
)

// Threshold finds the lowest priority that the target can serve. It rises to
// what the arrivals of an overloaded window allow, and falls in growing steps
// once the overload is over.
type Threshold struct {
	value       caller.Priority
	step        int
	windowStart time.Time
	arrivals    [caller.PriorityLevels]uint32
	total       uint32
	admitted    uint32
	shed        uint32
}

// Value returns the threshold; calls of lower priority are refused.
func (t *Threshold) Value() caller.Priority {
	return t.value
}

// Arrived notes one call.
func (t *Threshold) Arrived(now time.Time, priority caller.Priority) {
	t.arrivals[min(priority, maxThreshold)]++
	t.total++
	t.roll(now)
}

// Started notes one call that got a slot.
func (t *Threshold) Started() {
	t.admitted++
}

// Shed notes one call that waited in vain or found the queue full.
func (t *Threshold) Shed() {
	t.shed++
}

// roll ends the window when it is over.
func (t *Threshold) roll(now time.Time) {
	if t.windowStart.IsZero() {
		t.windowStart = now
	}
	elapsed := now.Sub(t.windowStart)
	if elapsed < thresholdWindow {
		return
	}
	if t.shed > 0 {
		t.raise()
	} else {
		t.lower(elapsed)
	}
	t.windowStart = now
	t.arrivals = [caller.PriorityLevels]uint32{}
	t.total = 0
	t.admitted = 0
	t.shed = 0
}

// raise sets the threshold so that the window's arrivals at or above it match
// what was admitted.
func (t *Threshold) raise() {
	t.step = minStep
	keep := uint32(float64(t.admitted)*keptShare) + 1
	sum := uint32(0)
	for level := maxThreshold; level >= 0; level-- {
		sum += t.arrivals[level]
		if sum > keep {
			t.value = max(t.value, min(caller.Priority(level+1), maxThreshold))
			return
		}
	}
}

func (t *Threshold) lower(elapsed time.Duration) {
	for ; elapsed >= thresholdWindow && t.value > 0; elapsed -= thresholdWindow {
		t.step = min(max(t.step, minStep)*2, maxStep)
		t.value -= min(t.value, caller.Priority(t.step))
	}
}
