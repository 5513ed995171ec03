package executor

import (
	"expvar"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/accountant"
	"github.com/laburnumshelf/laburnumshelf/internal/request/admitter"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/estimator"
)

// serverLoadReports counts the answers in which the backend server reports its load.
var serverLoadReports = expvar.NewInt("serverLoadReports")

// RouteCosts returns what is known of the costs of the routes that the backend server runs.
func (e *Executor) RouteCosts() map[string]estimator.RouteCost {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.account.RouteCosts(time.Now())
}

// submitWork accounts for a call that asks for a slot. It returns nil if the backend server
// does not report its speed.
func (e *Executor) submitWork(call *caller.Call) *accountant.Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !e.account.Active(now) {
		return nil
	}
	return e.account.Submit(now, estimator.KeyOf(call))
}

// startWork accounts for a call that got a slot.
func (e *Executor) startWork(work *accountant.Call, ticket *admitter.Ticket) {
	if work == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account.Start(ticket.StartTime(), work)
}

// dropWork forgets a call that does not run.
func (e *Executor) dropWork(work *accountant.Call) {
	if work == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account.Remove(work)
}

// finishWork accounts for the end of a run. The caller holds e.mu.
func (e *Executor) finishWork(now time.Time, work *accountant.Call, complete bool) {
	if work != nil {
		e.account.Finish(now, work, complete)
	}
}

// observeServerLoad records what a start of the backend server reports of its load. Where load is
// balanced by work, a server that reports no speed counts as one of the usual speed; the
// callers' nodes learn from run times how far it differs.
func (e *Executor) observeServerLoad(start int, notice caller.Notice) {
	if !notice.HasLoad {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if start != e.starts {
		return
	}
	serverLoadReports.Add(1)
	now, load := time.Now(), notice.Load
	if load.Slowdown > 0 {
		e.speedReported = now
	} else if e.config.BalancesByWork != nil && e.config.BalancesByWork() {
		load.Slowdown = 1
	}
	e.account.RecordServerLoad(now, load)
}

// runTimeOf returns the time for which a call has held its slot, or 0 if the backend server
// does not report its speed.
func (e *Executor) runTimeOf(ticket *admitter.Ticket) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !e.account.Active(now) {
		return 0
	}
	return now.Sub(ticket.StartTime())
}
