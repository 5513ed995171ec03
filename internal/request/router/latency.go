package router

import (
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Parameters of the average latency of routes.
const (
	// latencyRiseWeight is the weight of a latency above the average. It is small,
	// so that targets that become slow do not raise the average at once.
	latencyRiseWeight = 0.002
	// latencyDropWeight is the weight of a latency below the average.
	latencyDropWeight = 0.02
	// initialSamples is the number of answers whose mean is the initial average.
	initialSamples = 20
	// maxRoutes is the maximum number of routes per service with an average. A new
	// route beyond it drops all averages of the service.
	maxRoutes = 1000
)

// latencyAverage is the moving average of the latency of one route over all
// targets. It falls faster than it rises.
type latencyAverage struct {
	mean    time.Duration
	samples int
}

// observe adds one latency to the average.
func (a *latencyAverage) observe(latency time.Duration) {
	a.samples++
	weight := latencyRiseWeight
	switch {
	case a.samples <= initialSamples:
		weight = 1 / float64(a.samples)
	case latency < a.mean:
		weight = latencyDropWeight
	}
	a.mean += time.Duration(weight * float64(latency-a.mean))
}

// observe adds the latency of one answer to the average of its route.
func (g *targetGroup) observe(route string, latency time.Duration) {
	a := g.averages[route]
	if a == nil {
		if len(g.averages) >= maxRoutes {
			clear(g.averages)
		}
		a = &latencyAverage{}
		g.averages[route] = a
	}
	a.observe(latency)
}

// TypicalLatency returns the average latency of a route, or 0 if it has fewer than
// initialSamples answers.
func (r *Router) TypicalLatency(service describer.ServiceName, route string) time.Duration {
	g := r.services[service]
	if g == nil {
		return 0
	}
	a := g.averages[route]
	if a == nil || a.samples < initialSamples {
		return 0
	}
	return a.mean
}
