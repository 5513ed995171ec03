package executor

import "time"

// Parameters of the least time that runs of a route take.
const (
	// riseShare is the share by which a longer run raises it, and also by which one
	// run may raise it at most: runs that stood still with their node say nothing.
	riseShare = 0.01
	// expectedAge is the time without a run after which it refuses nothing, so that
	// a route whose calls are refused as hopeless is tried again.
	expectedAge = 2 * time.Second
)

// expectation is the least time that runs of one route take.
type expectation struct {
	least time.Duration
	seen  time.Time
}

// at returns the least time to judge by, or 0 for none.
func (e expectation) at(now time.Time) time.Duration {
	if now.Sub(e.seen) > expectedAge {
		return 0
	}
	return e.least
}

// learn takes the time of one run: the least falls at once and rises slowly.
func (e expectation) learn(now time.Time, total time.Duration) expectation {
	known := e.least
	if known == 0 || total < known {
		return expectation{
			least: total,
			seen:  now,
		}
	}
	return expectation{
		least: known + time.Duration(riseShare*float64(min(total-known, known))),
		seen:  now,
	}
}
