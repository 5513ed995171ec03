package router

import (
	"math"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// Parameters of what a node knows of the speed of targets.
const (
	// maxSpeedAge is the time without a report of a slowdown after which a service is
	// placed by counts again.
	maxSpeedAge = 10 * time.Second
	// speedHalfLife is the age at which the reported slowdown of a target counts half, and
	// the mean of its earlier reports the other half. Speeds that change every 600 ms have
	// changed with a probability of one half by then. A steady target reports its mean.
	speedHalfLife = 300 * time.Millisecond
	// reportMemory is the time over which the means of the reports of a target are formed.
	reportMemory = 3 * time.Second
	// groupSpeedWeight is the weight of a report in the mean of a service.
	groupSpeedWeight = 0.01
	// biasWeight is the weight of a run in the bias of a target, and minBiasRuns the number of
	// runs that the bias needs. A bias below biasTolerance is taken for noise.
	biasWeight    = 0.05
	minBiasRuns   = 20
	biasTolerance = 0.3
	maxBias       = 1.4
	// distanceRise is the fraction by which a longer round trip raises the distance.
	distanceRise = 0.02
)

// targetSpeed is what a node knows of the speed of one target.
type targetSpeed struct {
	// last is the slowdown reported last, and mean the mean of the reports over reportMemory.
	// Both are 0 without a report.
	last, mean float64
	reported   time.Time
	// bias is the mean logarithm of the run times relative to the expected ones, of runs runs.
	bias float64
	runs int
	// distance is the least recent time between the attempt and its answer besides the run.
	distance time.Duration
	// open is the mean number of open calls in the reports, over reportMemory.
	open     float64
	lastOpen float64
}

// groupSpeed is what a node knows of the speeds of the targets of one service.
type groupSpeed struct {
	// mean is the mean slowdown of the reports.
	mean     float64
	reported time.Time
	// bias is the mean bias of all runs.
	bias float64
	// utilization is the mean utilization in the reports.
	utilization float64
}

// recordSpeed records what an observation shows of the target's speed and of the cost of the
// call.
func (r *Router) recordSpeed(now time.Time, target *Target, observation Observation) {
	if observation.Load == nil {
		return
	}
	g := r.services[ServiceOf(target.Member)]
	if observation.Load.Slowdown > 0 {
		g.speeds.report(now, observation.Load)
	}
	if g.speeds.mean == 0 {
		return
	}
	target.speed.report(now, observation.Load)
	if observation.RunTime <= 0 {
		return
	}
	estimate := g.costs.Estimate(now, observation.Cost)
	if estimate.Mean > 0 && observation.Slowdown > 0 {
		ratio := float64(observation.RunTime) / float64(estimate.At(observation.Slowdown))
		bias := min(max(math.Log(ratio), -2*maxBias), 2*maxBias)
		target.speed.recordBias(bias)
		g.speeds.bias += groupSpeedWeight * (bias - g.speeds.bias)
	}
	g.costs.Observe(now, observation.Cost, observation.Slowdown, observation.RunTime)
	if rest := observation.Latency - observation.RunTime; observation.Latency > 0 && rest > 0 {
		target.speed.recordDistance(rest)
	}
}

func (s *groupSpeed) report(now time.Time, load *caller.Load) {
	if s.mean == 0 {
		s.mean = load.Slowdown
		s.utilization = load.Utilization()
	}
	s.mean += groupSpeedWeight * (load.Slowdown - s.mean)
	s.utilization += groupSpeedWeight * (load.Utilization() - s.utilization)
	s.reported = now
}

// report records a load report. Its slowdown may be missing, then the earlier one stays.
func (s *targetSpeed) report(now time.Time, load *caller.Load) {
	slowdown, open := load.Slowdown, float64(load.InFlight+load.Queued)
	if slowdown <= 0 {
		slowdown = s.last
	}
	if s.reported.IsZero() {
		s.mean, s.open = slowdown, open
	} else {
		// The values before this report were in force until now.
		weight := 1 - math.Exp(-float64(now.Sub(s.reported))/float64(reportMemory))
		s.mean += weight * (s.last - s.mean)
		s.open += weight * (s.lastOpen - s.open)
	}
	if s.mean == 0 {
		s.mean = slowdown
	}
	s.last, s.lastOpen = slowdown, open
	s.reported = now
}

func (s *targetSpeed) recordBias(bias float64) {
	s.runs++
	s.bias += max(biasWeight, 1/float64(s.runs)) * (bias - s.bias)
}

func (s *targetSpeed) recordDistance(distance time.Duration) {
	if s.distance == 0 || distance < s.distance {
		s.distance = distance
		return
	}
	s.distance += time.Duration(distanceRise * float64(min(distance-s.distance, s.distance)))
}

// expectedSlowdown returns the slowdown that is expected of the target. A target that has not
// reported any counts as an average one.
func (g *targetGroup) expectedSlowdown(now time.Time, target *Target) float64 {
	s := &target.speed
	if s.last == 0 {
		return g.speeds.mean
	}
	slowdown := s.last
	if s.last != s.mean {
		weight := math.Exp2(-float64(now.Sub(s.reported)) / float64(speedHalfLife))
		slowdown = s.mean + weight*(s.last-s.mean)
	}
	if s.runs < minBiasRuns {
		return slowdown
	}
	bias := min(max(s.bias-g.speeds.bias, -maxBias), maxBias)
	switch {
	case bias > biasTolerance:
		return slowdown * math.Exp(bias-biasTolerance)
	case bias < -biasTolerance:
		return slowdown * math.Exp(bias+biasTolerance)
	}
	return slowdown
}
