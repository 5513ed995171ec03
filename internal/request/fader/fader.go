// Package fader weakens sums with time, so that recent events count most.
//
// # Usage
//
//	fade := fader.New(2 * time.Second)
//	sum *= fade.Weight(now)
//	sum++
package fader

import (
	"math"
	"time"
)

// Fader halves in each half-life. It is not safe for concurrent use.
type Fader struct {
	halfLife time.Duration
	faded    time.Time
}

// New returns a Fader.
func New(halfLife time.Duration) Fader {
	return Fader{
		halfLife: halfLife,
	}
}

// DecayFactor returns what is left now of a sum of 1 at the last call. Time that runs
// backwards changes nothing.
func (f *Fader) DecayFactor(now time.Time) float64 {
	elapsed := max(now.Sub(f.faded), 0)
	f.faded = now
	return math.Exp2(-float64(elapsed) / float64(f.halfLife))
}
