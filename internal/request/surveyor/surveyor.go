// Package surveyor detects whether the local backend server is a leaf service, which
// is one that makes no calls of its own. A call to a leaf service can be repeated
// without repeating calls further downstream. It also tells which calls the runs of each route
// make (Paths).
//
// # Usage
//
//	detector := surveyor.New()
//	detector.RecordRun(now)
//	detector.RecordCall(now)
//	leaf := detector.IsLeaf(now)
package surveyor

import (
	"sync"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/fader"
)

// Parameters of the detection.
const (
	// halfLife is the time after which a run or call counts half. It is long enough that
	// a backend server with about 7 or more runs a second reaches minRuns, and short
	// enough to notice a new version of the backend server soon.
	halfLife = 10 * time.Second
	// minRuns is the decayed number of runs that a result needs.
	minRuns = 100
	// maxCallsPerRun is the number of calls per run up to which a backend server is
	// still a leaf service. It is above zero because requests of clients on unknown
	// routes may be mistaken for calls of the backend server.
	maxCallsPerRun = 0.1
)

// LeafDetector compares the number of calls that the local backend server makes with
// the number of its runs. Its methods are safe for concurrent use.
type LeafDetector struct {
	mu    sync.Mutex
	fader fader.Fader
	runs  float64
	calls float64
}

// New returns a LeafDetector without runs and calls.
func New() *LeafDetector {
	return &LeafDetector{
		fader: fader.New(halfLife),
	}
}

// RecordRun records a run of the backend server.
func (d *LeafDetector) RecordRun(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	d.runs++
}

// RecordCall records a call that the backend server made, or may have made.
func (d *LeafDetector) RecordCall(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	d.calls++
}

// IsLeaf reports whether the backend server is known to make no calls. It returns
// false while there are too few runs.
func (d *LeafDetector) IsLeaf(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	return d.runs >= minRuns && d.calls <= maxCallsPerRun*d.runs
}

func (d *LeafDetector) decay(now time.Time) {
	factor := d.fader.DecayFactor(now)
	d.runs *= factor
	d.calls *= factor
}
