package router

import (
	"slices"
	"time"
)

// Pace parameters.
const (
	// usualWeight is the weight of a longer answer in a route's usual time. It is
	// small, so that a target that turns slow does not become the measure at once.
	usualWeight = 0.002
	// usualDrop is the weight of a shorter one.
	usualDrop = 0.02
	// usualSamples is the number of answers whose mean a usual time starts from.
	usualSamples = 10
	// paceWeight is the weight of an answer in a target's pace.
	paceWeight = 0.1
	// maxPace bounds what a single answer adds to a target's pace.
	maxPace = 10
	// paceAge is the time after which an unused pace no longer counts, so that a
	// target that was slow is tried again.
	paceAge = 5 * time.Second
	// slowFactor marks a target as slow against its route's usual time and against
	// the other targets of its service.
	slowFactor = 3
	// slowMargin is the least difference that marks a target as slow.
	slowMargin = 20 * time.Millisecond
	// minSamples is the number of answers that a pace is judged by.
	minSamples = 10
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
	weight := usualWeight
	switch {
	case u.samples <= usualSamples:
		weight = 1 / float64(u.samples)
	case latency < u.mean:
		weight = usualDrop
	}
	u.mean += time.Duration(weight * float64(latency-u.mean))
}

// usualOf returns the usual time of a route.
func (g *group) usualOf(route string) *usual {
	u := g.usual[route]
	if u != nil {
		return u
	}
	if len(g.usual) >= maxRoutes {
		clear(g.usual)
	}
	u = &usual{}
	g.usual[route] = u
	return u
}

// observe takes the time that an answer took, or that an attempt went without.
func (t *Target) observe(now time.Time, u *usual, seen Observation) {
	answered := seen.Load != nil
	if !answered && (u.samples < usualSamples || seen.Latency <= u.mean) {
		return
	}
	if answered {
		u.observe(seen.Latency)
	}
	if u.samples < usualSamples || u.mean <= 0 {
		return
	}
	if now.Sub(t.paceTime) > paceAge {
		t.pace = 1
		t.samples = 0
	}
	sample := min(float64(seen.Latency)/float64(u.mean), maxPace)
	t.pace += paceWeight * (sample - t.pace)
	t.latency = time.Duration(t.pace * float64(u.mean))
	t.paceTime = now
	t.samples++
}

// paced reports whether enough is known of the target's pace.
func (t *Target) paced(now time.Time) bool {
	return t.samples >= minSamples && now.Sub(t.paceTime) <= paceAge
}

// slow reports whether the target takes much longer than is usual, and than the
// other targets do now.
func (r *Router) slow(now time.Time, target *Target, median float64) bool {
	if r.config.Switches.NoSlowness || !target.paced(now) {
		return false
	}
	if median == 0 {
		median = 1
	}
	return target.pace > slowFactor*median && target.latency > slowMargin
}

// medianPace returns the lower median of the targets' paces, or 0 where fewer than
// two are known.
func (r *Router) medianPace(now time.Time, g *group) float64 {
	var buffer [32]float64
	paces := buffer[:0]
	for _, target := range g.targets {
		if target.paced(now) && len(paces) < len(buffer) {
			paces = append(paces, target.pace)
		}
	}
	if len(paces) < 2 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}
