package retrier

import (
	"sync"
	"time"
)

// ledgerLifetime is the time for which the allowance of a request outlives its
// last use, so that a client's resend does not get a new one.
const ledgerLifetime = 10 * time.Second

// maxLedgerEntries bounds the requests remembered.
const maxLedgerEntries = 100_000

// PoolCache keeps the allowance of recent requests by request ID. Its methods are
// safe for concurrent use.
type PoolCache struct {
	mu      sync.Mutex
	recent  map[string]*ledgerEntry
	older   map[string]*ledgerEntry
	rotated time.Time
}

type ledgerEntry struct {
	pool *Pool
}

// NewPoolCache returns an empty ledger.
func NewPoolCache() *PoolCache {
	return &PoolCache{
		recent: make(map[string]*ledgerEntry),
	}
}

// FindOrCreate returns the request's pool and whether an earlier copy of the request
// used it. A request seen first gets a new pool of the given allowance.
func (l *PoolCache) FindOrCreate(now time.Time, requestID string, allowance uint32) (*Pool, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	if entry := l.recent[requestID]; entry != nil {
		return entry.pool, true
	}
	if entry := l.older[requestID]; entry != nil {
		l.recent[requestID] = entry
		return entry.pool, true
	}
	entry := &ledgerEntry{
		pool: NewPool(allowance),
	}
	l.recent[requestID] = entry
	return entry.pool, false
}

// rotate drops the entries that were not used for a whole lifetime.
func (l *PoolCache) rotate(now time.Time) {
	if now.Sub(l.rotated) < ledgerLifetime && len(l.recent) < maxLedgerEntries {
		return
	}
	if now.Sub(l.rotated) >= 2*ledgerLifetime {
		l.recent = make(map[string]*ledgerEntry)
	}
	l.older = l.recent
	l.recent = make(map[string]*ledgerEntry)
	l.rotated = now
}
