package router

import (
	"slices"
	"time"
)

// score estimates the target's utilization from its last report and this
// node's own attempts since; slow and new targets count as busier.
func (r *Router) score(now time.Time, target *Target, median time.Duration) float64 {
	limit := float64(max(target.load.Limit, 1))
	if target.load.Limit == 0 {
		limit = float64(max(target.Member.GetSlots(), 1))
	}
	recent := target.RecentLoad(now)
	busy := max(target.inFlight, recent.InFlight+recent.Queued)
	score := float64(busy+1) / limit
	if r.slow(now, target, median) || r.stalled(now, target) {
		score++
	}
	if share := r.ramp(now, target); share < 1 {
		score /= share
	}
	return score
}

func (r *Router) slow(now time.Time, target *Target, median time.Duration) bool {
	if r.config.Switches.NoSlowDetection || median == 0 || target.samples < minSamples || now.Sub(target.latencyTime) > latencyAge {
		return false
	}
	return target.latency > slowFactor*median && target.latency > median+slowMargin
}

// stalled reports whether the target leaves attempts unanswered for long.
func (r *Router) stalled(now time.Time, target *Target) bool {
	if r.config.Switches.NoSlowDetection || target.inFlight == 0 {
		return false
	}
	return now.Sub(target.busySince) > max(stallMargin, stallFactor*target.latency)
}

// ramp returns the share of its normal load that a new target takes. A target
// is new only to a node that already knew others.
func (r *Router) ramp(now time.Time, target *Target) float64 {
	age := now.Sub(target.since)
	if r.config.Switches.NoSlowStart || age >= slowStart || now.Sub(r.started) < slowStart {
		return 1
	}
	return max(minRampShare, float64(age)/float64(slowStart))
}

func (r *Router) medianLatency(now time.Time, g *group) time.Duration {
	var buffer [32]time.Duration
	latencies := buffer[:0]
	for _, target := range g.targets {
		if target.samples >= minSamples && now.Sub(target.latencyTime) <= latencyAge && len(latencies) < len(buffer) {
			latencies = append(latencies, target.latency)
		}
	}
	if len(latencies) < 2 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)/2]
}
