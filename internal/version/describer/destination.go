package describer

import "math"

// Destination is one service to which a host's route sends requests. Its part of
// the requests is its weight relative to the sum over the route's destinations.
type Destination struct {
	Service ServiceName
	// Weight is finite and not negative. A destination with the weight 0 gets no requests.
	Weight float64
}

// MaxWholeWeight is the highest weight that WholeWeights returns.
const MaxWholeWeight = 1_000_000

const (
	// maxWeightScale is the largest factor by which WholeWeights multiplies.
	maxWeightScale = 1_000_000
	// weightTolerance is the relative difference up to which a product counts as a whole number,
	// because decimal fractions are not exact in binary.
	weightTolerance = 1e-12
)

// WholeWeights returns whole numbers up to MaxWholeWeight with the same proportions as the weights:
// the weights, these multiplied by the lowest sufficient power of ten, or else these divided by the
// lowest weight above 0. It reports false if none of them are whole numbers.
func WholeWeights(destinations []Destination) ([]int64, bool) {
	for scale := 1.0; scale <= maxWeightScale; scale *= 10 {
		if weights, ok := scaleWeights(destinations, scale); ok {
			return weights, true
		}
	}
	lowest := math.Inf(1)
	for _, destination := range destinations {
		if destination.Weight > 0 {
			lowest = min(lowest, destination.Weight)
		}
	}
	return scaleWeights(destinations, 1/lowest)
}

// scaleWeights returns the weights multiplied by scale. It reports false if one of the products is no
// whole number up to MaxWholeWeight.
func scaleWeights(destinations []Destination, scale float64) ([]int64, bool) {
	weights := make([]int64, len(destinations))
	for i, destination := range destinations {
		scaled := destination.Weight * scale
		whole := math.Round(scaled)
		if scaled > MaxWholeWeight || math.Abs(scaled-whole) > weightTolerance*scaled {
			return nil, false
		}
		weights[i] = int64(whole)
	}
	return weights, true
}
