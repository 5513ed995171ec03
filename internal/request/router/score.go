package router

import (
	"time"
)

// score estimates the target's utilization from its last report and this
// node's own attempts since; slow and new targets count as busier.
func (r *Router) score(now time.Time, target *Target, median float64) float64 {
	limit := float64(max(target.load.Limit, 1))
	if target.load.Limit == 0 {
		limit = float64(max(target.Member.GetSlots(), 1))
	}
	busy := float64(target.inFlight)
	if now.Sub(target.loadTime) < loadAge {
		busy = max(busy, float64(target.load.InFlight+target.load.Queued))
	}
	score := (busy + 1) / limit
	if r.slow(now, target, median) || r.stalled(now, target) {
		score += slowPenalty
	}
	if share := r.ramp(now, target); share < 1 {
		score /= share
	}
	return score
}

// stalled reports whether the target leaves attempts unanswered for long.
func (r *Router) stalled(now time.Time, target *Target) bool {
	if r.config.Switches.NoSlowness || target.inFlight == 0 {
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
