// Package surveyor tells whether the local backend server makes calls of its own.
// A call to one that makes none may be repeated without repeating anything below.
//
// # Usage
//
//	survey := surveyor.New()
//	survey.Ran(now)
//	survey.Called(now)
//	leaf := survey.Leaf(now)
package surveyor

import (
	"sync"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/fader"
)

// Survey parameters.
const (
	// halfLife is the time after which a run or call counts half: long enough for a
	// judgment at a few runs a second, short enough to follow a new version.
	halfLife = 10 * time.Second
	// minRuns is the weight of the runs that a judgment needs.
	minRuns = 100
	// maxCallShare is the calls for each run up to which a backend server counts as
	// one that makes none: clients' requests whose route is not known yet may be
	// taken for its calls.
	maxCallShare = 0.1
)

// LeafDetector counts the runs of the local backend server and the calls that it makes.
// Its methods are safe for concurrent use.
type LeafDetector struct {
	mu    sync.Mutex
	fade  fader.Fader
	runs  float64
	calls float64
}

// New returns a Survey that has seen nothing.
func New() *LeafDetector {
	return &LeafDetector{
		fade: fader.New(halfLife),
	}
}

// RecordRun counts a run.
func (s *LeafDetector) RecordRun(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.runs++
}

// RecordCall counts a call that the backend server made, or may have made.
func (s *LeafDetector) RecordCall(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.calls++
}

// IsLeaf reports whether the backend server is known to make no calls.
func (s *LeafDetector) IsLeaf(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	return s.runs >= minRuns && s.calls <= maxCallShare*s.runs
}

func (s *LeafDetector) decay(now time.Time) {
	weight := s.fade.DecayFactor(now)
	s.runs *= weight
	s.calls *= weight
}
