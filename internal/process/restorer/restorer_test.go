package restorer

import (
	"testing"
	"time"
)

// TestLargeFleetWritesInABurst guards against a fleet that exceeds what the store takes when it has
// come back, and against a small fleet that is slow to write.
func TestLargeFleetWritesInABurst(t *testing.T) {
	for members, want := range map[int]time.Duration{1: time.Second, 60: time.Second, 1800: 18 * time.Second} {
		if got := Spread(Announcement, members); got != want {
			t.Errorf("%d members: got a spread of %s, want %s", members, got, want)
		}
		perSecond := make(map[int]int)
		for range members {
			perSecond[int(Delay(Announcement, members)/time.Second)]++
		}
		for second, writes := range perSecond {
			if limit := writesPerSecond * 3 / 2; writes > limit {
				t.Errorf("%d members: got %d writes in second %d, want at most %d", members, writes, second, limit)
			}
		}
	}
	if got := Spread(Leaving, 1800); got != time.Second {
		t.Errorf("leavings: got a spread of %s, want 1s", got)
	}
}
