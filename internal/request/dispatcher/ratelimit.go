package dispatcher

import (
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// rateLimitedWait is the longest time that a call waits at a backend server with a rate limit
// while another target of the service has room.
const rateLimitedWait = 50 * time.Millisecond

// hasRoomElsewhere reports whether a target other than the one chosen last has room for another
// call.
func (o *outboundCall) hasRoomElsewhere() bool {
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	return o.d.router.HasRoom(time.Now(), o.call.Service, o.member.GetId())
}

// shortenWait lets the call wait only briefly if its target has a rate limit and another
// target has room.
func (o *outboundCall) shortenWait(call *caller.Call) {
	if call.RateLimit > 0 && call.MaxQueueWait > rateLimitedWait && o.hasRoomElsewhere() {
		call.MaxQueueWait = rateLimitedWait
	}
}

// isOverloaded reports whether an attempt that ended with the answer shows that the service as
// a whole lacks capacity. A rate limit is one of a single target.
func (o *outboundCall) isOverloaded(answer *caller.Answer) bool {
	if answer.Reason == caller.ReasonRateLimited {
		return !o.hasRoomElsewhere()
	}
	return o.d.overloaded(o.call.Service)
}

// pressure returns the pressure that the answer reports for the service. If a target with a
// rate limit is the fullest one on the path, it is the utilization of all targets of the
// service, because the others may have room.
// The caller must hold o.d.mu.
func (o *outboundCall) pressure(now time.Time, answer *caller.Answer) float64 {
	load := answer.Load
	if load.RateLimit == 0 || load.Pressure > load.Utilization() || o.member == nil {
		return load.Pressure
	}
	return min(load.Pressure, o.d.router.Utilization(now, o.call.Service))
}
