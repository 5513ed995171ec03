package router

import (
	"slices"
	"time"
)

// score estimates the target's utilization after one more attempt; lower is better.
// It takes the greater of the target's recent load report and this node's own open
// attempts. Slow, stalled and new targets score higher.
func (r *Router) score(now time.Time, target *Target, median time.Duration) float64 {
	score := float64(target.outstanding(now)+1) / target.limit()
	if r.isSlow(now, target, median) || r.isStalled(now, target) {
		score++
	}
	if fraction := r.slowStartFraction(now, target); fraction < 1 {
		score /= fraction
	}
	return score
}

// limit returns the number of calls that the target can run at once. The reported limit stays
// in use after the rest of the report has expired.
func (t *Target) limit() float64 {
	if t.lastLoad.Limit == 0 {
		return float64(max(t.Member.GetSlots(), 1))
	}
	return float64(max(t.lastLoad.Limit, 1))
}

// outstanding returns the number of calls that run or wait at the target, as far as this node
// knows.
func (t *Target) outstanding(now time.Time) int {
	recent := t.RecentLoad(now)
	return max(t.inFlight, recent.InFlight+recent.Queued)
}

// isSlow reports whether the target's average latency is far above the median of its
// service.
func (r *Router) isSlow(now time.Time, target *Target, median time.Duration) bool {
	if r.config.Switches.NoSlowDetection || median == 0 || target.latencySamples < minLatencySamples || now.Sub(target.latencyUpdated) > maxLatencyAge {
		return false
	}
	return target.averageLatency > slowFactor*median && target.averageLatency > median+slowMargin
}

// isStalled reports whether the target has open attempts and has not answered any
// for too long.
func (r *Router) isStalled(now time.Time, target *Target) bool {
	if r.config.Switches.NoSlowDetection || target.inFlight == 0 {
		return false
	}
	return now.Sub(target.waitingSince) > max(minStallTime, stallFactor*target.averageLatency)
}

// slowStartFraction returns the fraction of its normal load that a new target takes.
// It is 1 during the router's first slowStartWindow, because a target is new only to a
// router that already knew others.
func (r *Router) slowStartFraction(now time.Time, target *Target) float64 {
	age := now.Sub(target.startTime)
	if r.config.Switches.NoSlowStart || age >= slowStartWindow || now.Sub(r.firstUpdate) < slowStartWindow {
		return 1
	}
	return max(minSlowStartFraction, float64(age)/float64(slowStartWindow))
}

// medianLatency returns the median of the average latencies of the targets, or 0 if
// fewer than two targets have minLatencySamples samples and a recent average. It takes
// at most 32 targets into account.
func (r *Router) medianLatency(now time.Time, g *targetGroup) time.Duration {
	var buffer [32]time.Duration
	latencies := buffer[:0]
	for _, target := range g.targets {
		if target.latencySamples >= minLatencySamples && now.Sub(target.latencyUpdated) <= maxLatencyAge && len(latencies) < len(buffer) {
			latencies = append(latencies, target.averageLatency)
		}
	}
	if len(latencies) < 2 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)/2]
}
