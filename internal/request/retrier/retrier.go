// Package retrier bounds the additional attempts of calls: an allowance for
// each request, shared by its whole call graph, and a ratio budget for each
// caller node and service.
//
// # Usage
//
//	pool := retrier.NewPool(3)
//	grant := pool.Take()
//	pool.Return(unspent)
//	budget := retrier.NewBudget(0.1, 3, 100)
//	budget.Attempted()
//	if budget.Withdraw() { ... }
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Pool is the allowance of one inbound call, shared by the calls made for it.
// What is out on grants and what is left never exceeds the initial allowance,
// so the attempts of a whole call graph are bounded by construction.
type Pool struct {
	mu   sync.Mutex
	left uint32
}

// NewPool returns a pool that holds allowance attempts.
func NewPool(allowance uint32) *Pool {
	return &Pool{
		left: allowance,
	}
}

// Grant grants half of what is left, rounded up, so that parallel calls each
// get a part and a single call gets most.
func (p *Pool) Grant() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	grant := p.left - p.left/2
	p.left -= grant
	return grant
}

// Spend removes one attempt and reports whether there was one.
func (p *Pool) Spend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left == 0 {
		return false
	}
	p.left--
	return true
}

// Return gives back the unspent part of a grant.
func (p *Pool) Return(unspent uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left += unspent
}

// Remaining returns the attempts that are not granted.
func (p *Pool) Remaining() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.left
}

// Budget bounds retries to a share of first attempts.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	maximum float64
	balance float64
}

// NewBudget returns a budget that earns ratio for each first attempt, starts
// with reserve and holds at most maximum retries.
func NewBudget(ratio, reserve, maximum float64) *Budget {
	return &Budget{
		ratio:   ratio,
		maximum: maximum,
		balance: reserve,
	}
}

// RecordAttempt earns for one first attempt.
func (b *Budget) RecordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.ratio, b.maximum)
}

// Withdraw takes one retry and reports whether the budget allowed it.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Delay returns a random delay whose bound doubles with each attempt.
func Delay(attempt uint32, base, limit time.Duration) time.Duration {
	bound := base << min(attempt, 16)
	if bound > limit || bound <= 0 {
		bound = limit
	}
	return rand.N(bound)
}
