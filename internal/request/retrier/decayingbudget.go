package retrier

import (
	"sync"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/fader"
)

// budgetHalfLife is the time after which earned repeats count half. At a steady load,
// the repeats in any 10 s are at most about 1.3 * ratio * (first attempts in 10 s). At
// a varying load, they are at most ratio * (first attempts in those 10 s and the 10 s
// before), plus 1/32 of what older first attempts earned.
const budgetHalfLife = 2 * time.Second

// DecayingBudget bounds repeats to a ratio of the recent first attempts of the same
// node. A repeat sends a call to a second backend server after one that may have run
// it, or that refused it. The budgets of all nodes add up to the same ratio of all
// first attempts. This holds for any number of nodes, even if they cannot reach each
// other. Its methods are safe for concurrent use.
type DecayingBudget struct {
	mu      sync.Mutex
	ratio   float64
	fader   fader.Fader
	balance float64
}

// NewDecayingBudget returns an empty budget that earns ratio repeats for each first
// attempt.
func NewDecayingBudget(ratio float64) *DecayingBudget {
	return &DecayingBudget{
		ratio: ratio,
		fader: fader.New(budgetHalfLife),
	}
}

// RecordAttempt records a first attempt, which earns a fraction of a repeat.
func (b *DecayingBudget) RecordAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = b.balance*b.fader.DecayFactor(now) + b.ratio
}

// Charge takes one repeat that is not up to this node, even if the budget has none. The
// balance may then be negative.
func (b *DecayingBudget) Charge(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = b.balance*b.fader.DecayFactor(now) - 1
}

// Withdraw takes one repeat and reports whether the budget had one.
func (b *DecayingBudget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance *= b.fader.DecayFactor(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
