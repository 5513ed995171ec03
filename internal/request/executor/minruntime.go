package executor

import "time"

// Parameters of the minimum run time of a route.
const (
	// riseRate is the fraction of the difference that a longer run adds to the
	// minimum. The difference counts at most as much as the minimum itself, so one run
	// raises the minimum by at most this fraction of it. A run that was suspended with
	// its node says nothing about the route and must not raise it far.
	riseRate = 0.01
	// maxMinRunTimeAge is the time without a run after which the minimum is ignored.
	// Otherwise a route whose calls are refused as hopeless would never run again.
	maxMinRunTimeAge = 2 * time.Second
)

// minRunTime tracks the minimum time that runs of one route take.
type minRunTime struct {
	minimum   time.Duration
	updatedAt time.Time
}

// current returns the minimum run time, or 0 if there is no recent one.
func (m minRunTime) current(now time.Time) time.Duration {
	if now.Sub(m.updatedAt) > maxMinRunTimeAge {
		return 0
	}
	return m.minimum
}

// withRun adds the time of one run. The minimum falls at once and rises slowly.
func (m minRunTime) withRun(now time.Time, runTime time.Duration) minRunTime {
	previous := m.minimum
	if previous == 0 || runTime < previous {
		return minRunTime{
			minimum:   runTime,
			updatedAt: now,
		}
	}
	return minRunTime{
		minimum:   previous + time.Duration(riseRate*float64(min(runTime-previous, previous))),
		updatedAt: now,
	}
}
