package retrier

import (
	"sync"
	"time"
)

// poolLifetime is the minimum time for which a pool is kept after its last use, unless
// the cache rotates early. A request that its client sends again within this time does
// not get a new allowance.
const poolLifetime = 10 * time.Second

// maxRecentPools is the size of the recent generation at which the cache rotates
// early. The cache thus holds at most twice as many pools.
const maxRecentPools = 100_000

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
// means that the client sent the request again. A new pool holds the given allowance.
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

// rotate drops the older generation once poolLifetime has passed since the last
// rotation, or sooner if the recent generation is full. After twice that time it drops
// both, because no pool has been used for poolLifetime.
func (c *PoolCache) rotate(now time.Time) {
	if now.Sub(c.rotatedAt) < poolLifetime && len(c.recent) < maxRecentPools {
		return
	}
	if now.Sub(c.rotatedAt) >= 2*poolLifetime {
		c.recent = make(map[string]*cacheEntry)
	}
	c.older = c.recent
	c.recent = make(map[string]*cacheEntry)
	c.rotatedAt = now
}
