package estimator

import (
	"math"
	"time"
)

const (
	// elasticityPrior is the strength of the assumption that run times are proportional to
	// the slowdown, in units of the squared logarithm of the slowdown. Thirty runs at
	// slowdowns that differ by 2.5 outweigh it.
	elasticityPrior = 5.0
	// regressionKeep is the factor by which each run lowers the weight of the earlier ones.
	regressionKeep = 0.995
)

// Regression learns how far run times follow the slowdown of a server: it fits the logarithm of
// the run time to that of the slowdown. The zero value is ready to use.
type Regression struct {
	slow, run, covariance, variance float64
}

// Observe adds a run. weight is its weight in the means.
func (g *Regression) Observe(slowdown float64, runTime time.Duration, weight float64) {
	logSlow := math.Log(validSlowdown(slowdown))
	logRun := math.Log(max(runTime, minRunTime).Seconds())
	deviation := logSlow - g.slow
	g.slow += weight * deviation
	g.covariance = regressionKeep*g.covariance + deviation*(logRun-g.run)
	g.run += weight * (logRun - g.run)
	g.variance = regressionKeep*g.variance + deviation*deviation
}

// Elasticity returns how far run times follow the slowdown: fully at 1, not at all at 0.
func (g *Regression) Elasticity() float64 {
	return min(max((g.covariance+elasticityPrior)/(g.variance+elasticityPrior), 0), 1)
}
