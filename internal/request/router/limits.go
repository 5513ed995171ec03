package router

// Limits holds the scores (estimated utilizations, see score) from which the router
// spills over to more distant targets. A RegionSpillover above ZoneSpillover means
// that traffic between regions has a price; see prefersOwnRegion.
type Limits struct {
	// ZoneSpillover applies to targets in the node's zone, RegionSpillover to all
	// others.
	ZoneSpillover   float64
	RegionSpillover float64
}

// DefaultLimits returns the limits for deployments where traffic between regions
// is free.
func DefaultLimits() Limits {
	return Limits{
		ZoneSpillover:   defaultSpillover,
		RegionSpillover: defaultSpillover,
	}
}

// prefersOwnRegion reports whether the best compared target of the node's own region
// is preferred to the one of another region. Where traffic between regions has a
// price, the score of the other one must be lower by at least minRegionGain.
func (l Limits) prefersOwnRegion(ownScore, otherScore float64) bool {
	return l.RegionSpillover > l.ZoneSpillover && otherScore > ownScore-minRegionGain
}

// spilloverFrom returns the score from which the router tries the next tier.
func (l Limits) spilloverFrom(currentTier tier) float64 {
	if currentTier == sameZone {
		return l.ZoneSpillover
	}
	return l.RegionSpillover
}

// tier is the distance of a target from the node. Nearer tiers have lower values.
type tier int

const (
	sameZone tier = iota
	sameRegion
	otherRegion
	tierCount
)
