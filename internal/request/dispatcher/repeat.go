package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/retrier"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Repeat parameters. A repeat sends a call to a second backend server after one that
// may have run it, or that refused it. Calls that a backend server makes for a repeat are
// repeats too.
const (
	// repeatRatio is the fraction of a route's first attempts that may be repeated.
	// The platform that this program is deployed on permits repeats of at most 0.2 of
	// the first attempts in 10 s. The ratio is lower because the budget also stores what
	// earlier attempts earned (see package retrier).
	repeatRatio = 0.14
	// maxRepeatBudgets bounds the budgets that are kept. Routes come and go.
	maxRepeatBudgets = 8192
)

// routeKey identifies a route to a service. Each has a repeat budget of its own, because a
// repeat on a route that causes many calls would use up what other routes have earned.
type routeKey struct {
	service describer.ServiceName
	route   string
}

// repeatBudget returns the budget of repeats for the route of the call.
func (d *Dispatcher) repeatBudget(call *caller.Call) *retrier.DecayingBudget {
	key := routeKey{
		service: call.Service,
		route:   call.Route,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	repeatBudget := d.repeatBudgets[key]
	if repeatBudget == nil {
		if len(d.repeatBudgets) >= maxRepeatBudgets {
			clear(d.repeatBudgets)
		}
		repeatBudget = retrier.NewDecayingBudget(repeatRatio)
		d.repeatBudgets[key] = repeatBudget
	}
	return repeatBudget
}

// recordFirstAttempt records the first attempt of a call with MaxTargets in its repeat budget.
// Nothing in a call of a backend server names the run that it belongs to, so as many of them
// count as repeats as there are repeats among the runs of the local backend server.
func (o *outboundCall) recordFirstAttempt(now time.Time) {
	if o.d.IsInternal(o.call.Route) && rand.Float64() < o.d.repeatShare.Share(now) {
		o.call.Charged = true
	}
	budget := o.d.repeatBudget(o.call)
	if o.call.Charged {
		budget.Charge(now)
		return
	}
	budget.RecordAttempt(now)
}

// isRepeatAfter reports whether an attempt after the answer would be a repeat, which needs a
// permit of spendRepeat: an attempt has reached a backend server or may have.
func (o *outboundCall) isRepeatAfter(answer *caller.Answer) bool {
	return o.call.MaxTargets > 0 && (answer.ReachedBackend || answer.Outcome != caller.NotRun)
}

// repeatable reports whether the call may be sent to a second backend server, if the
// repeat budget permits it.
func (o *outboundCall) repeatable() bool {
	return o.call.MaxTargets > 1 && o.call.Body.Replayable() && !o.repeated
}

// spendRepeat reports whether to send the call to a second backend server, after one
// that may have run it or that refused it. If so, it takes one repeat from the budget. A call
// with a token is sent again only after a refusal.
func (o *outboundCall) spendRepeat(answer *caller.Answer) bool {
	if !o.repeatable() {
		o.noAttempt(recorder.NoRepeatOfCall)
		return false
	}
	refused := answer.Outcome == caller.NotRun
	now := time.Now()
	o.d.mu.Lock()
	internal := o.d.internalRoutes[o.call.Route]
	leaf := o.targetLoad(now, answer).IsLeaf
	o.d.mu.Unlock()
	failedAtLeaf := internal && leaf && (answer.Outcome != caller.Answered || answer.Status >= 500)
	if !refused && !failedAtLeaf {
		o.noAttempt(recorder.NoRepeatOfRuns)
		return false
	}
	return o.withdrawRepeat()
}

// withdrawRepeat takes one repeat from the budget, unless the service as a whole is overloaded.
func (o *outboundCall) withdrawRepeat() bool {
	if o.d.overloaded(o.call.Service) {
		o.noAttempt(recorder.NoRoomAtService)
		return false
	}
	o.repeated = o.d.repeatBudget(o.call).Withdraw(time.Now())
	if !o.repeated {
		o.noAttempt(recorder.NoRepeatInBudget)
	}
	return o.repeated
}
