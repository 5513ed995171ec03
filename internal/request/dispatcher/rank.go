package dispatcher

import (
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/throttler"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// throttleKey returns the key of the throttler's state for a call: its route and, if its
// organisation has a rank, the criticality of that, because requests of different policies must
// not share an admission probability. A route has at most one more state for each criticality.
func throttleKey(call *caller.Call) string {
	if !call.Ranked {
		return call.Route
	}
	return call.Route + "\x00" + call.Priority.Criticality().String()
}

// throttlePolicy returns the policy by which a call is throttled.
func throttlePolicy(call *caller.Call) throttler.Policy {
	if !call.Ranked {
		return throttler.PolicyFor(call.Priority.Criticality())
	}
	return throttler.PolicyForOrganisation(call.RouteCriticality(), call.BelowTop)
}

// routeCriticality returns the criticality of the call's route.
func routeCriticality(call *caller.Call) describer.Criticality {
	if call.Ranked {
		return call.RouteCriticality()
	}
	return call.Priority.Criticality()
}
