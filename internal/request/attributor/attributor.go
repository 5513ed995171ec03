// Package attributor tells calls that fail for lack of capacity from those that
// fail for other causes, such as lost answers or faulty backend servers.
//
// A node keeps one table of the calls that its backend server makes, and reports
// the table's strain with every answer of its own. A caller that sees a request
// fail there takes the strain as the cause, so that it travels up the call graph
// although no call names the one that it is made for.
//
// # Usage
//
//	table := attributor.NewTable()
//	table.Failed(now, attributor.Strain(answer, load))
//	strain := table.Strain(now)
package attributor

import (
	"sync"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/fader"
)

// Attribution parameters.
const (
	// halfLife is the time after which a failure counts half: a few of the
	// calls' timeouts, so that causes that have ended are forgotten soon.
	halfLife = time.Second
	// minFailures is the weight of recent failures from which they tell a cause.
	minFailures = 0.5
)

// Table is the recent failures of the calls of one backend server. Its methods are
// safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	fade     fader.Fader
	failed   float64
	strained float64
}

// NewTable returns a table without failures.
func NewTable() *Table {
	return &Table{
		fade: fader.New(halfLife),
	}
}

// RecordFailure counts one failed call and the part of the failure, from 0 to 1, that is
// due to a lack of capacity.
func (t *Table) RecordFailure(now time.Time, strain float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.failed++
	t.strained += strain
}

// OverloadRatio returns the part of the recent failures that is due to a lack of
// capacity.
func (t *Table) OverloadRatio(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	if t.failed < minFailures {
		return 0
	}
	return t.strained / t.failed
}

func (t *Table) decay(now time.Time) {
	weight := t.fade.Weight(now)
	t.failed *= weight
	t.strained *= weight
}

// OverloadRatio returns the part of a failed call that is due to a lack of capacity. Load
// is what its last target reported; a target without a free slot lacks capacity
// itself, any other passes on what its backend server's calls fail of.
func OverloadRatio(answer *caller.Answer, load caller.Load) float64 {
	full := load.Limit > 0 && load.Utilization() >= 1
	switch {
	case answer.Reason == caller.ReasonRefusedByBackend && !full:
		return 0
	case answer.Reason.Overload() || full:
		return 1
	case answer.Outcome == caller.Answered, answer.Reason == caller.ReasonTimeout, answer.Reason == caller.ReasonCanceled:
		return load.Strain
	default:
		return 0
	}
}
