package surveyor

import (
	"testing"
	"time"
)

// run counts runs, each with some calls, at 50 a second.
func run(s *LeafDetector, now *time.Time, runs int, callsEach float64) {
	due := 0.0
	for range runs {
		*now = now.Add(20 * time.Millisecond)
		s.RecordRun(*now)
		for due += callsEach; due >= 1; due-- {
			s.RecordCall(*now)
		}
	}
}

func TestLeafMakesNoCalls(t *testing.T) {
	for _, test := range []struct {
		name  string
		runs  int
		calls float64
		want  bool
	}{
		{"too few runs to tell", 50, 0, false},
		{"no calls", 300, 0, true},
		{"some requests of clients on new routes", 300, 0.02, true},
		{"a call for every run", 300, 1, false},
		{"five calls for every run", 300, 5, false},
	} {
		survey := New()
		now := time.Unix(100, 0)
		run(survey, &now, test.runs, test.calls)
		if got := survey.IsLeaf(now); got != test.want {
			t.Errorf("%s: got leaf %v, want %v", test.name, got, test.want)
		}
	}
}

func TestNewVersionThatMakesCallsIsNoLeaf(t *testing.T) {
	survey := New()
	now := time.Unix(100, 0)
	run(survey, &now, 1000, 0)
	run(survey, &now, 100, 1)
	if survey.IsLeaf(now) {
		t.Error("2 s after the backend server began to make calls: got leaf, want none")
	}
}
