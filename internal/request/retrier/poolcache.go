package retrier

import (
	"sync"
	"time"
)

// poolLifetime is the minimum time for which a pool is kept after its last use, so
// that a request that its client sends again does not get a new allowance.
const poolLifetime = 10 * time.Second

// maxCachedPools is the number of recently used pools from which unused ones are
// dropped early.
const maxCachedPools = 100_000

// PoolCache holds the pools of recent requests by request ID. It has two
// generations: a pool that is used moves to the recent one, and rotate drops the
// older one. Its methods are safe for concurrent use.
type PoolCache struct {
	mu        sync.Mutex
	recent    map[string]*cacheEntry
	older     map[string]*cacheEntry
	rotatedAt time.Time
}

type cacheEntry struct {
	pool *Pool
}

// NewPoolCache returns an empty cache.
func NewPoolCache() *PoolCache {
	return &PoolCache{
		recent: make(map[string]*cacheEntry),
	}
}

// FindOrCreate returns the pool of a request and reports whether it existed, which
// means that the request is a copy of an earlier one. A new pool holds the given
// allowance.
func (c *PoolCache) FindOrCreate(now time.Time, requestID string, allowance uint32) (*Pool, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	if entry := c.recent[requestID]; entry != nil {
		return entry.pool, true
	}
	if entry := c.older[requestID]; entry != nil {
		c.recent[requestID] = entry
		return entry.pool, true
	}
	entry := &cacheEntry{
		pool: NewPool(allowance),
	}
	c.recent[requestID] = entry
	return entry.pool, false
}

// rotate drops the pools that were not used for poolLifetime, or sooner if the
// recent generation is full.
func (c *PoolCache) rotate(now time.Time) {
	if now.Sub(c.rotatedAt) < poolLifetime && len(c.recent) < maxCachedPools {
		return
	}
	if now.Sub(c.rotatedAt) >= 2*poolLifetime {
		c.recent = make(map[string]*cacheEntry)
	}
	c.older = c.recent
	c.recent = make(map[string]*cacheEntry)
	c.rotatedAt = now
}
