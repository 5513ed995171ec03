package router

// Limits holds the utilizations at which the router spills over to more distant
// targets.
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

// prefersOwnRegion reports whether the best target of the node's own region is
// preferred to the best one of another region. Where traffic between regions has a
// price, the other one must be less utilized by at least minRegionGain.
func (l Limits) prefersOwnRegion(best, other float64) bool {
	return l.RegionSpillover > l.ZoneSpillover && other > best-minRegionGain
}

// spilloverFrom returns the utilization at which the router tries the tier after
// level.
func (l Limits) spilloverFrom(level tier) float64 {
	if level == sameZone {
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
