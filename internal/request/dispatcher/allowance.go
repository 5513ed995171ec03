package dispatcher

import (
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/retrier"
)

// initPool sets the pool that retries draw on. Without MaxTargets, a charged or resent
// call spends one attempt from it at once, and is refused if there is none.
func (o *outboundCall) initPool(now time.Time) *caller.Answer {
	resent := false
	if o.call.MaxTargets > 0 {
		o.pool = retrier.NewPool(maxRetriesWithMaxTargets)
		return nil
	}
	if o.parent != nil {
		o.pool = retrier.NewPool(o.parent.Pool.Grant())
	} else {
		o.pool, resent = o.d.poolCache.FindOrCreate(now, o.call.RequestID, o.settings.RetryAllowance)
	}
	if o.d.config.Switches.NoRetryAllowance {
		o.pool = retrier.NewPool(maxAttempts)
		return nil
	}
	if (o.call.Charged || resent) && !o.pool.Spend() {
		return o.refuse(caller.NotRun, caller.ReasonAllowance)
	}
	return nil
}

// lendAllowance takes all attempts in the pool but one, to send them along for the child
// calls of this call. The last one allows a retry if the attempt is lost and the lent
// allowance with it.
func (o *outboundCall) lendAllowance() uint32 {
	lent := uint32(0)
	for o.pool.Remaining() > 1 && o.pool.Spend() {
		lent++
	}
	return lent
}

// reclaimAllowance takes back the allowance that an attempt left unspent: immediately if
// the answer has no body, otherwise when the body is closed.
func (o *outboundCall) reclaimAllowance(answer *caller.Answer) {
	if answer.Body == nil {
		o.pool.Return(answer.UnspentAllowance())
		return
	}
	answer.Body = &releasingBody{
		ReadCloser: answer.Body,
		release: func() {
			o.pool.Return(answer.UnspentAllowance())
		},
	}
}
