package retrier

import (
	"sync"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/fader"
)

// shareHalfLife is the time after which a run counts half in a RepeatShare.
const shareHalfLife = 2 * time.Second

// RepeatShare measures which part of the recent runs of a backend server are repeats. Its
// methods are safe for concurrent use.
type RepeatShare struct {
	mu      sync.Mutex
	fader   fader.Fader
	runs    float64
	repeats float64
}

// NewRepeatShare returns a RepeatShare without runs.
func NewRepeatShare() *RepeatShare {
	return &RepeatShare{
		fader: fader.New(shareHalfLife),
	}
}

// RecordRun records a run, and whether it is a repeat.
func (s *RepeatShare) RecordRun(now time.Time, repeat bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.runs++
	if repeat {
		s.repeats++
	}
}

// Share returns the part of the recent runs, from 0 to 1, that are repeats.
func (s *RepeatShare) Share(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	if s.repeats == 0 {
		return 0
	}
	return s.repeats / s.runs
}

func (s *RepeatShare) decay(now time.Time) {
	factor := s.fader.DecayFactor(now)
	s.runs *= factor
	s.repeats *= factor
}
