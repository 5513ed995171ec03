// Package retrier bounds the additional attempts of calls. Each request has an
// allowance, which its whole call graph shares. Each caller node also has a budget
// per service that limits retries to a ratio of first attempts. A DecayingBudget
// limits repeats, which are second attempts at calls that a backend server may have
// run or has refused.
//
// # Usage
//
//	pool := retrier.NewPool(3)
//	grant := pool.Grant()
//	pool.Return(unspent)
//	budget := retrier.NewBudget(0.1, 3, 100)
//	budget.RecordAttempt()
//	if budget.Withdraw() { ... }
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Pool holds the attempts that remain of an allowance: that of a request, of an
// inbound call, or of one call. The calls made for an inbound call share its pool.
// As long as only granted attempts are returned, the sum of open grants and the
// remainder never exceeds the initial allowance. This bounds the attempts of a whole
// call graph by construction.
type Pool struct {
	mu        sync.Mutex
	remaining uint32
}

// NewPool returns a pool that holds the given number of attempts.
func NewPool(allowance uint32) *Pool {
	return &Pool{
		remaining: allowance,
	}
}

// Grant takes half of the remaining attempts, rounded up, and returns their number.
// Parallel calls thus each get a part, and a single call gets at least half.
func (p *Pool) Grant() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	grant := p.remaining - p.remaining/2
	p.remaining -= grant
	return grant
}

// Spend takes one attempt and reports whether there was one.
func (p *Pool) Spend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.remaining == 0 {
		return false
	}
	p.remaining--
	return true
}

// Return puts the unspent attempts of a grant back.
func (p *Pool) Return(unspent uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remaining += unspent
}

// Remaining returns the number of attempts that are neither granted nor spent.
func (p *Pool) Remaining() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.remaining
}

// Budget bounds retries to a ratio of first attempts.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	maximum float64
	balance float64
}

// NewBudget returns a budget that starts with initial retries, earns ratio retries
// for each first attempt and holds at most maximum retries.
func NewBudget(ratio, initial, maximum float64) *Budget {
	return &Budget{
		ratio:   ratio,
		maximum: maximum,
		balance: initial,
	}
}

// RecordAttempt records a first attempt, which earns a fraction of a retry.
func (b *Budget) RecordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.ratio, b.maximum)
}

// Withdraw takes one retry and reports whether the budget had one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Delay returns a random delay below base * 2^attempt, or below limit if that is less.
// The bound thus doubles with each attempt.
func Delay(attempt uint32, base, limit time.Duration) time.Duration {
	bound := base << min(attempt, 16)
	if bound > limit || bound <= 0 {
		bound = limit
	}
	return rand.N(bound)
}
