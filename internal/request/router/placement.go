package router

import (
	"expvar"
	"math"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/estimator"
)

// Parameters of the placement by expected time.
const (
	// defaultCost is the cost of a call while none is known.
	defaultCost = 100 * time.Millisecond
	// zoneGain and regionGain are the gains in time, as a fraction of the run time, for
	// which a call leaves its zone or its region. Where traffic between regions has a price,
	// costlyRegionGain applies, and only a wait in the own region is a reason to leave it. The
	// gain must also be costlyWaitGain times the wait there: otherwise calls cross each other
	// between regions that are all full.
	zoneGain         = 0.1
	regionGain       = 0.2
	costlyRegionGain = 1
	costlyWaitGain   = 2
	// A costly region is also left from the utilization fullRegion of its target on, for one
	// whose utilization is lower by emptierRegion. Otherwise the entry would refuse requests
	// for the region that lacks servers while others have room.
	fullRegion    = 0.93
	emptierRegion = 0.2
	// doubtPenalty lengthens the expected time of a cautious call at a doubtful target, as a
	// fraction of the run time.
	doubtPenalty = 2
	// tailFactor is the expected excess over a bound, in standard deviations, at the
	// bound itself.
	tailFactor = 0.4
)

// placement holds the parameters that the replay of placement compares.
type placement struct {
	// samples is the number of targets of a tier that are compared.
	samples int
	// waitWeight is the weight of a wait against a run time. A call that waits lengthens the
	// wait of all calls behind it, which its own wait does not show.
	waitWeight float64
	// headroom is the fraction of the slots that is kept free: the reports are old, and
	// some servers become slower when they are nearly full.
	headroom float64
	// exact compares the expected numbers of open calls. Otherwise a random number within
	// their uncertainty is compared, so that nodes with the same old reports choose
	// different targets.
	exact bool
	// noAge ignores the age of the reports, and noSpeed the speeds of the targets.
	noAge   bool
	noSpeed bool
}

// defaultPlacement is the best one of the replay; see docs/design/placement.md.
var defaultPlacement = placement{
	samples:    2,
	waitWeight: 6,
	headroom:   0.1,
}

// placedByTime counts the choices by expected time.
var placedByTime = expvar.NewInt("placedByTime")

// placesByTime reports whether the calls of a service are placed by expected time: a
// target has reported its slowdown recently.
func (r *Router) placesByTime(now time.Time, g *targetGroup) bool {
	return g.speeds.mean > 0 && now.Sub(g.speeds.reported) < maxSpeedAge
}

// expectation is the time that a call is expected to take at a target. total contains the
// penalties as well.
type expectation struct {
	caller.Expectation
	total time.Duration
	// utilization is the number of open calls, with the new one, per slot.
	utilization float64
}

// chooseByTime chooses a candidate by the time at which the answer is expected. It compares a
// few random candidates of each tier, so that nodes with the same reports do not all choose the
// same target. A farther tier must be better by a sufficient gain.
func (r *Router) chooseByTime(now time.Time, g *targetGroup, constraints Constraints) (*Target, caller.Reason) {
	r.fillTiers(g)
	estimate := g.estimate(now, constraints.Cost)
	var best *Target
	var bestTime expectation
	reason := caller.ReasonNearest
	for currentTier, targets := range g.tiers {
		gain := r.gainFor(tier(currentTier), bestTime)
		leavesCostly := tier(currentTier) == otherRegion && r.isRegionCostly() && best != nil
		full := leavesCostly && bestTime.utilization >= fullRegion
		if len(targets) == 0 || leavesCostly && !full && bestTime.total-bestTime.Run < gain {
			continue
		}
		target, expected := r.pickFastest(now, g, targets, estimate, constraints.Cautious)
		emptier := full && expected.utilization <= bestTime.utilization-emptierRegion
		if best == nil || emptier || expected.total+gain < bestTime.total {
			if best != nil {
				reason = caller.ReasonSpill
			}
			best, bestTime = target, expected
		}
	}
	placedByTime.Add(1)
	if bestTime.Wait > bestTime.Run {
		reason = caller.ReasonLeastLoaded
	}
	return best, reason
}

// Expect returns what is expected of a call at a target, or the zero value if its service is
// not placed by time.
func (r *Router) Expect(now time.Time, target *Target, cost estimator.Key) caller.Expectation {
	g := r.services[ServiceOf(target.Member)]
	if g == nil || !r.placesByTime(now, g) {
		return caller.Expectation{}
	}
	return r.expect(now, g, target, g.estimate(now, cost), false).Expectation
}

// estimate returns the expected cost of a call.
func (g *targetGroup) estimate(now time.Time, cost estimator.Key) estimator.Estimate {
	estimate := g.costs.Estimate(now, cost)
	if estimate.Mean <= 0 {
		estimate.Mean = defaultCost
		estimate.Elasticity = 1
	}
	return estimate
}

// fillTiers sorts the candidates by tier.
func (r *Router) fillTiers(g *targetGroup) {
	for i := range g.tiers {
		g.tiers[i] = g.tiers[i][:0]
	}
	for _, target := range g.candidates {
		g.tiers[target.tier] = append(g.tiers[target.tier], target)
	}
}

func (r *Router) isRegionCostly() bool {
	return r.config.Limits.RegionSpillover > r.config.Limits.ZoneSpillover
}

// gainFor returns the gain in time for which a call is placed in a farther tier.
func (r *Router) gainFor(t tier, nearer expectation) time.Duration {
	gain := zoneGain
	if t == otherRegion {
		gain = regionGain
		if r.isRegionCostly() {
			return time.Duration(costlyRegionGain*float64(nearer.Run) + costlyWaitGain*float64(nearer.Wait))
		}
	}
	return time.Duration(gain * float64(nearer.Run))
}

// pickFastest compares a few random targets and returns the one with the shortest expected
// time. It changes the order of the targets.
func (r *Router) pickFastest(now time.Time, g *targetGroup, targets []*Target, estimate estimator.Estimate, cautious bool) (*Target, expectation) {
	n := min(r.config.placement.samples, len(targets))
	var best *Target
	var bestTime expectation
	for i := range n {
		if n < len(targets) {
			j := i + r.rng.IntN(len(targets)-i)
			targets[i], targets[j] = targets[j], targets[i]
		}
		expected := r.expect(now, g, targets[i], estimate, cautious)
		if best == nil || expected.total < bestTime.total || expected.total == bestTime.total && r.rng.IntN(i+1) == 0 {
			best, bestTime = targets[i], expected
		}
	}
	return best, bestTime
}

// expect returns the time that a call of the given cost is expected to take at a target.
func (r *Router) expect(now time.Time, g *targetGroup, target *Target, estimate estimator.Estimate, cautious bool) expectation {
	slowdown := g.expectedSlowdown(now, target)
	if r.config.placement.noSpeed {
		slowdown = 1
	}
	run := estimate.At(slowdown)
	fraction := r.slowStartFraction(now, target)
	wait, utilization := r.expectedWait(now, g, target, run, fraction)
	expected := expectation{
		utilization: utilization,
		Expectation: caller.Expectation{
			Wait:     wait,
			Run:      run,
			Distance: target.speed.distance,
			Slowdown: slowdown,
		},
	}
	expected.total = expected.Distance + expected.Run + time.Duration(r.config.placement.waitWeight*float64(expected.Wait))
	stalled := r.isStalled(now, target)
	if stalled {
		expected.total += expected.Run + minStallTime
	}
	if cautious && (stalled || fraction < 1 || target.consecutiveFailures > 0 || target.LoadAge(now) >= maxLoadAge) {
		expected.total += doubtPenalty * expected.Run
	}
	return expected
}

// expectedWait returns the time until a new call gets a slot of the target: the number of open
// calls that must end first, times the mean time between two ends. It also returns the utilization
// with the new call.
func (r *Router) expectedWait(now time.Time, g *targetGroup, target *Target, run time.Duration, fraction float64) (wait time.Duration, utilization float64) {
	load := target.RecentLoad(now)
	slots := target.limit() * fraction
	hold := float64(run)
	if open := load.InFlight + load.Queued; open > 0 && load.Work > 0 {
		hold = float64(load.Work) / float64(open)
	}
	open, variance := r.openCalls(now, g, target, hold)
	if !r.config.placement.exact {
		open += math.Sqrt(variance) * r.rng.NormFloat64()
		variance = 1
	}
	excess := open + 1 - slots*(1-r.config.placement.headroom)
	excess = (excess + math.Sqrt(excess*excess+4*tailFactor*tailFactor*variance)) / 2
	return time.Duration(excess * hold / slots), (open + 1) / slots
}

// openCalls returns the number of calls that are expected to run or wait at the target, and the
// variance of that number. The number reported last loses its weight over the time that a call
// holds a slot, to the mean of the earlier reports.
func (r *Router) openCalls(now time.Time, g *targetGroup, target *Target, hold float64) (mean, variance float64) {
	own := float64(min(target.sentSince, target.inFlight))
	if target.loadTime.IsZero() {
		mean = g.speeds.utilization * target.limit()
		return mean + own, 1 + mean
	}
	keep := 1.0
	if !r.config.placement.noAge && hold > 0 {
		keep = math.Exp(-float64(now.Sub(target.loadTime)) / hold)
	}
	last := float64(target.lastLoad.InFlight + target.lastLoad.Queued)
	mean = target.speed.open + keep*(last-target.speed.open)
	variance = 1 + mean*(1-keep*keep)
	return max(mean+own, float64(target.inFlight)), variance
}
