// Package fader makes sums decay exponentially with time, so that recent events count
// most.
//
// # Usage
//
//	decay := fader.New(2 * time.Second)
//	sum *= decay.DecayFactor(now)
//	sum++
package fader

import (
	"math"
	"time"
)

// Fader measures the decay of a sum that halves in each half-life. It is not safe for
// concurrent use.
type Fader struct {
	halfLife time.Duration
	updated  time.Time
}

// New returns a Fader with the given half-life.
func New(halfLife time.Duration) Fader {
	return Fader{
		halfLife: halfLife,
	}
}

// DecayFactor returns the factor by which a sum has decayed since the last call of
// DecayFactor. The first call returns 0, which leaves a sum that starts at 0 as it is.
// The factor is 1 if the clock went backwards.
func (f *Fader) DecayFactor(now time.Time) float64 {
	elapsed := max(now.Sub(f.updated), 0)
	f.updated = now
	return math.Exp2(-float64(elapsed) / float64(f.halfLife))
}
