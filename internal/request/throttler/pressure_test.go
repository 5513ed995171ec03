package throttler

import (
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// TestPressureOfAnotherPathDoesNotThrottle fills the path of one route. A route with few
// requests, whose own path has room, must not be throttled by that.
func TestPressureOfAnotherPathDoesNotThrottle(t *testing.T) {
	throttler, now := newThrottler()
	policy := PolicyFor(describer.Normal)
	refused := 0
	for i := range 1000 {
		now = now.Add(20 * time.Millisecond)
		throttler.Admit(now, "full", policy)
		throttler.RecordPressure(now, "full", 2)
		if i%100 != 0 {
			continue
		}
		if !throttler.Admit(now, "free", policy) {
			refused++
		}
		throttler.RecordPressure(now, "free", 0.3)
		throttler.RecordResult(now, "free", 0)
	}
	if refused > 0 {
		t.Errorf("got %d requests refused on a path with room, want none", refused)
	}
}

// TestRouteIsReleasedWhileAnotherPathIsFull lets the requests of one route fail for a while.
// Once they are served again, the route must be released, although the path of another route
// stays full.
func TestRouteIsReleasedWhileAnotherPathIsFull(t *testing.T) {
	throttler, now := newThrottler()
	policy := PolicyFor(describer.Normal)
	step := func(failed float64) bool {
		now = now.Add(200 * time.Millisecond)
		throttler.RecordPressure(now, "full", 2)
		admitted := throttler.Admit(now, "r", policy)
		if admitted {
			throttler.RecordResult(now, "r", failed)
		}
		return admitted
	}
	for range 100 {
		step(1)
	}
	for range 25 {
		step(0)
	}
	refused := 0
	for range 100 {
		if !step(0) {
			refused++
		}
	}
	if refused > 5 {
		t.Errorf("from 5 s after the failures: got %d of 100 requests refused, want at most 5", refused)
	}
}
