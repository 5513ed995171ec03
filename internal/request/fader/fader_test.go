package fader

import (
	"testing"
	"time"
)

func TestWeightHalvesInEachHalfLife(t *testing.T) {
	fade := New(2 * time.Second)
	now := time.Unix(100, 0)
	fade.DecayFactor(now)
	for _, test := range []struct {
		after time.Duration
		want  float64
	}{
		{0, 1},
		{2 * time.Second, 0.5},
		{4 * time.Second, 0.25},
		{-time.Second, 1},
	} {
		now = now.Add(test.after)
		if got := fade.DecayFactor(now); got != test.want {
			t.Errorf("after %v: got %v, want %v", test.after, got, test.want)
		}
	}
}
