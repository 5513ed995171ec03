package surveyor

import (
	"testing"
	"time"
)

// recordRuns records runs at 50 a second, each with some calls.
func recordRuns(detector *LeafDetector, now *time.Time, runs int, callsEach float64) {
	due := 0.0
	for range runs {
		*now = now.Add(20 * time.Millisecond)
		detector.RecordRun(*now)
		for due += callsEach; due >= 1; due-- {
			detector.RecordCall(*now)
		}
	}
}

func TestServicesWithFewCallsPerRunAreLeaves(t *testing.T) {
	for _, test := range []struct {
		name  string
		runs  int
		calls float64
		want  bool
	}{
		{"too few runs to tell", 50, 0, false},
		{"no calls", 300, 0, true},
		{"a few requests of clients on unknown routes", 300, 0.02, true},
		{"a call for every run", 300, 1, false},
		{"five calls for every run", 300, 5, false},
	} {
		detector := New()
		now := time.Unix(100, 0)
		recordRuns(detector, &now, test.runs, test.calls)
		if got := detector.IsLeaf(now); got != test.want {
			t.Errorf("%s: got leaf %v, want %v", test.name, got, test.want)
		}
	}
}

func TestNewVersionThatMakesCallsIsNoLeafService(t *testing.T) {
	detector := New()
	now := time.Unix(100, 0)
	recordRuns(detector, &now, 1000, 0)
	recordRuns(detector, &now, 100, 1)
	if detector.IsLeaf(now) {
		t.Error("2 s after the backend server began to make calls: got a leaf service, want none")
	}
}
