// Package attributor separates calls that fail because of overload from calls that
// fail for other reasons, such as lost answers or faulty backend servers.
//
// A node keeps one table of the failed calls of its backend server. With every answer
// it sends, the node reports the table's overload ratio: the part of the recent
// failures, from 0 to 1, that is due to overload. A caller whose request fails there
// uses that ratio for its own failure. The ratio is thus passed upstream, although
// calls carry no reference to their parent calls.
//
// # Usage
//
//	table := attributor.NewTable()
//	table.RecordFailure(now, attributor.OverloadRatio(answer, load))
//	ratio := table.OverloadRatio(now)
package attributor

import (
	"sync"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/fader"
)

// Attribution parameters.
const (
	// halfLife is the time after which a failure counts half. It is only a few times
	// the timeout of calls, so that a cause that has ended is forgotten soon.
	halfLife = time.Second
	// minFailures is the weight of recent failures below which the overload ratio is
	// 0.
	minFailures = 0.5
)

// Table holds the decaying counts of failed calls of one backend server. Its methods
// are safe for concurrent use.
type Table struct {
	mu               sync.Mutex
	fader            fader.Fader
	failures         float64
	overloadFailures float64
}

// NewTable returns a table without failures.
func NewTable() *Table {
	return &Table{
		fader: fader.New(halfLife),
	}
}

// RecordFailure records one failed call. overloadRatio is the part of the failure,
// from 0 to 1, that is due to overload.
func (t *Table) RecordFailure(now time.Time, overloadRatio float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.failures++
	t.overloadFailures += overloadRatio
}

// OverloadRatio returns the part of the recent failures, from 0 to 1, that is due to
// overload.
func (t *Table) OverloadRatio(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	if t.failures < minFailures {
		return 0
	}
	return t.overloadFailures / t.failures
}

func (t *Table) decay(now time.Time) {
	factor := t.fader.DecayFactor(now)
	t.failures *= factor
	t.overloadFailures *= factor
}

// OverloadRatio returns the part of the failure of one call, from 0 to 1, that is due
// to overload. load is the last load report of the call's target. A refusal for
// overload counts as 1, and so does any failure at a target without a free slot. A
// failed answer, a timeout or a cancellation at any other target counts with the
// overload ratio that the target reports for its backend server's own calls. Other
// failures count as 0, such as a lost connection or a refusal by a backend server
// with free slots.
func OverloadRatio(answer *caller.Answer, load caller.Load) float64 {
	full := load.Limit > 0 && load.Utilization() >= 1
	switch {
	case answer.Reason == caller.ReasonRefusedByBackend && !full:
		return 0
	case answer.Reason.IsOverload() || full:
		return 1
	case answer.Outcome == caller.Answered, answer.Reason == caller.ReasonTimeout, answer.Reason == caller.ReasonCanceled:
		return load.OverloadRatio
	default:
		return 0
	}
}
