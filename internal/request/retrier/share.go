package retrier

import (
	"sync"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/fader"
)

// shareHalfLife is the time after which what first attempts earned counts half.
// Whatever the load, the repeats of any 10 s stay under 1.3 times the share of the
// first attempts of that time and the 10 s before.
const shareHalfLife = 2 * time.Second

// DecayingBudget bounds repeats to a share of the recent first attempts of the same node.
// The shares of all nodes add up to that of all first attempts, however many nodes
// there are and whether they reach each other. Its methods are safe for concurrent
// use.
type DecayingBudget struct {
	mu      sync.Mutex
	ratio   float64
	fade    fader.Fader
	balance float64
}

// NewDecayingBudget returns a Share that has earned nothing yet.
func NewDecayingBudget(ratio float64) *DecayingBudget {
	return &DecayingBudget{
		ratio: ratio,
		fade:  fader.New(shareHalfLife),
	}
}

// RecordAttempt earns for one first attempt.
func (s *DecayingBudget) RecordAttempt(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balance = s.balance*s.fade.DecayFactor(now) + s.ratio
}

// Withdraw takes one repeat and reports whether it was earned.
func (s *DecayingBudget) Withdraw(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balance *= s.fade.DecayFactor(now)
	if s.balance < 1 {
		return false
	}
	s.balance--
	return true
}
