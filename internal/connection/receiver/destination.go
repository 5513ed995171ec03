package receiver

import "github.com/laburnumshelf/laburnumshelf/internal/version/describer"

// pickDestination returns the service that gets a request. draw is a random number from 0 to below 1.
// It reports false if no destination has a weight above 0.
func pickDestination(destinations []describer.Destination, draw float64) (describer.ServiceName, bool) {
	largest := 0.0
	for _, destination := range destinations {
		largest = max(largest, destination.Weight)
	}
	if largest == 0 {
		return describer.ServiceName{}, false
	}
	// The sum of the weights themselves may exceed the range of float64.
	total := 0.0
	for _, destination := range destinations {
		total += destination.Weight / largest
	}
	rest := draw * total
	var picked describer.ServiceName
	for _, destination := range destinations {
		if destination.Weight == 0 {
			continue
		}
		picked = destination.Service
		rest -= destination.Weight / largest
		if rest < 0 {
			break
		}
	}
	return picked, true
}
