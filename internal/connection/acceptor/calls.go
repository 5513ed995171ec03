package acceptor

import (
	"context"
	"expvar"

	"github.com/laburnumshelf/laburnumshelf/internal/request/weigher"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// refusedCalls counts calls that did not fit into the budget.
var refusedCalls = expvar.NewInt("refusedCalls")

// callKey identifies an attempt of a call.
type callKey struct {
	id      string
	attempt uint32
}

func keyOf(head *encoder.CallHead) callKey {
	return callKey{
		id:      head.GetCallId(),
		attempt: head.GetAttempt(),
	}
}

// idleCalls returns a channel that is closed once no call is open.
func (a *Acceptor) idleCalls() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.idle == nil {
		a.idle = make(chan struct{})
		if a.open == 0 {
			close(a.idle)
		}
	}
	return a.idle
}

func (a *Acceptor) beginCall(key callKey, cancel context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open++
	a.running[key] = cancel
}

// cancelCall cancels a call whose caller has left.
func (a *Acceptor) cancelCall(head *encoder.CallHead) {
	a.mu.Lock()
	cancel := a.running[keyOf(head)]
	a.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (a *Acceptor) endCall(key callKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open--
	delete(a.running, key)
	if a.open > 0 || a.idle == nil {
		return
	}
	select {
	case <-a.idle:
	default:
		close(a.idle)
	}
}

// callWeight returns the weight of a call in the budget.
func callWeight(head *encoder.CallHead) int64 {
	size := len(head.GetPath())
	for _, header := range head.GetHeaders() {
		size += len(header.GetName()) + len(header.GetValue())
	}
	return weigher.OpenCall(size, len(head.GetHeaders()))
}

// admit takes the weight of a call from the budget. A query for an outcome is always admitted,
// because it ends at once.
func (a *Acceptor) admit(weight int64, resolveOnly bool) bool {
	if a.config.Budget.GrowInbound(weight) {
		return true
	}
	if !resolveOnly {
		refusedCalls.Add(1)
		return false
	}
	a.config.Budget.Charge(weight)
	return true
}
