package dispatcher

import (
	"context"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
)

// Quota limits the requests of organisations.
type Quota interface {
	// Take decides on one request of a client. It may wait for a short time. If it refuses
	// the request, it returns the time after which the organisation's next one fits.
	Take(ctx context.Context, call *caller.Call) (admitted bool, retryAfter time.Duration)
	// Return takes back an admission of a call that has reached no backend server.
	Return(call *caller.Call)
}

// hasQuota reports whether the call counts for a quota. Calls of backend servers carry no key of
// an organisation.
func (o *outboundCall) hasQuota() bool {
	return o.call.Organisation != "" && o.d.config.Quota != nil
}

// takeQuota refuses the call if its organisation has used up its quota. All attempts of the call
// count as one request.
func (o *outboundCall) takeQuota(ctx context.Context) *caller.Answer {
	if !o.hasQuota() {
		return nil
	}
	admitted, retryAfter := o.d.config.Quota.Take(ctx, o.call)
	if admitted {
		return nil
	}
	o.d.record(o.call, recorder.Refuse, caller.ReasonQuota, caller.NotRun, "", 0)
	answer := caller.NewFailure(caller.NotRun, caller.ReasonQuota)
	answer.RetryAfter = retryAfter
	return answer
}

// returnQuota takes the call out of the quota if no attempt has reached a backend server.
func (o *outboundCall) returnQuota() {
	if o.hasQuota() && !o.reachedBackend {
		o.d.config.Quota.Return(o.call)
	}
}
