package router

// Limits is the utilizations from which targets further away are tried.
type Limits struct {
	// ZoneSpillover is that from which the node's zone is left, RegionSpill its region.
	ZoneSpillover   float64
	RegionSpillover float64
}

// DefaultLimits returns the limits for which the way between regions has no
// price.
func DefaultLimits() Limits {
	return Limits{
		ZoneSpillover:   defaultSpill,
		RegionSpillover: defaultSpill,
	}
}

// stays reports whether a target of another region is not so much less busy than
// the best one of the own region that it is worth the way.
func (l Limits) stays(best, other float64) bool {
	return l.RegionSpillover > l.ZoneSpillover && other > best-regionGain
}

// leaves returns the utilization from which a tier is left.
func (l Limits) leaves(level tier) float64 {
	if level == sameZone {
		return l.ZoneSpillover
	}
	return l.RegionSpillover
}

// tier is how near a target is.
type tier int

const (
	sameZone tier = iota
	sameRegion
	otherRegion
	tiers
)
