package throttler

import "github.com/laburnumshelf/laburnumshelf/internal/version/describer"

// maxPressureStep is the difference of MaxPressure between requests of organisations of two
// neighbouring criticalities. With 0.05, requests of the less important organisation were served
// more often than others in the test's crowd; with 0.2, the goodput fell from 0.920 to 0.900.
const maxPressureStep = 0.1

// PolicyForOrganisation returns the policy for requests on a route of an organisation with a rank.
// below is the number of criticalities by which the organisation is below the most important one
// of its team. Requests of that one have the policy of the route, as if there were no ranks. Those
// of others make room for them, the less important the earlier, whatever their route.
func PolicyForOrganisation(route describer.Criticality, below uint8) Policy {
	if below == 0 {
		return PolicyFor(route)
	}
	policy := defaultPolicy
	// MaxPressure stays at CalmPressure at least, so that requests are admitted again once
	// there is room.
	policy.MaxPressure = max(policy.MaxPressure-maxPressureStep*float64(below), policy.CalmPressure)
	return policy
}
