package fader

import (
	"testing"
	"time"
)

func TestDecayFactorHalvesInEachHalfLife(t *testing.T) {
	decay := New(2 * time.Second)
	now := time.Unix(100, 0)
	decay.DecayFactor(now)
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
		if got := decay.DecayFactor(now); got != test.want {
			t.Errorf("after %v: got %v, want %v", test.after, got, test.want)
		}
	}
}
