package router

import (
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Parameters of usual times.
const (
	// usualRise is the weight of a longer answer in a route's usual time. It is
	// small, so that targets that turn slow do not become the measure at once.
	usualRise = 0.002
	// usualDrop is the weight of a shorter one.
	usualDrop = 0.02
	// usualSamples is the number of answers whose mean a usual time starts from.
	usualSamples = 20
	// maxRoutes bounds the routes of a service whose usual time is kept.
	maxRoutes = 1000
)

// usual is how long answers on one route take, whichever target they come from.
type usual struct {
	mean    time.Duration
	samples int
}

func (u *usual) observe(latency time.Duration) {
	u.samples++
	weight := usualRise
	switch {
	case u.samples <= usualSamples:
		weight = 1 / float64(u.samples)
	case latency < u.mean:
		weight = usualDrop
	}
	u.mean += time.Duration(weight * float64(latency-u.mean))
}

// observe takes the time of one answer.
func (g *group) observe(route string, latency time.Duration) {
	u := g.usual[route]
	if u == nil {
		if len(g.usual) >= maxRoutes {
			clear(g.usual)
		}
		u = &usual{}
		g.usual[route] = u
	}
	u.observe(latency)
}

// TypicalLatency returns how long answers on a route usually take, or 0 while too few are
// known.
func (r *Router) TypicalLatency(service describer.ServiceName, route string) time.Duration {
	g := r.services[service]
	if g == nil {
		return 0
	}
	u := g.usual[route]
	if u == nil || u.samples < usualSamples {
		return 0
	}
	return u.mean
}
