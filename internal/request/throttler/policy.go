package throttler

import "github.com/laburnumshelf/laburnumshelf/internal/version/describer"

// Policy sets how the admission probability of a route reacts to failures and to pressure.
type Policy struct {
	// The probability is raised while the failure ratio is at most
	// LowFailureRatio, and lowered when it exceeds HighFailureRatio. The low
	// ratio is not 0 because backend servers also fail some requests for reasons
	// of their own, and some of these failures are mistaken for overload.
	LowFailureRatio  float64
	HighFailureRatio float64
	// DecreaseFactor times the failure ratio is the fraction by which the
	// probability is lowered.
	DecreaseFactor float64
	// MaxPressure is the pressure, the utilization of the fullest service that the
	// route's requests reach, above which the probability is lowered before requests
	// fail. The room is thus left to the routes without such a limit, whose
	// MaxPressure is 0.
	MaxPressure float64
	// CalmPressure is the pressure up to which the probability is raised in
	// proportion to the room.
	CalmPressure float64
}

// Critical requests are admitted until a third of them fail, because the requests that
// would use the freed capacity are worth less. Other requests are throttled when the
// services on their path fill up, and before a tenth of them fails, because the work done
// for a request that fails takes capacity from other requests at the bottleneck.
var (
	criticalPolicy = Policy{
		LowFailureRatio:  0.15,
		HighFailureRatio: 0.35,
		DecreaseFactor:   0.4,
		CalmPressure:     0.95,
	}
	defaultPolicy = Policy{
		LowFailureRatio:  0.04,
		HighFailureRatio: 0.08,
		DecreaseFactor:   0.8,
		MaxPressure:      1.1,
		CalmPressure:     0.95,
	}
)

// PolicyFor returns the policy for requests of a criticality.
func PolicyFor(criticality describer.Criticality) Policy {
	if criticality == describer.Critical {
		return criticalPolicy
	}
	return defaultPolicy
}
