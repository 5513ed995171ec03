package surveyor

import (
	"sync"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/correlator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/fader"
)

// Parameters of the paths.
const (
	// pressureHalfLife is the time after which a reported pressure counts half.
	pressureHalfLife = 200 * time.Millisecond
	// minPressureWeight is the weight of recent reports below which a pressure is not known.
	minPressureWeight = 0.5
	// runTimeWeight is the weight of a run in the mean run time of a route, and workWeight that
	// of an answer in the mean work of a route of calls.
	runTimeWeight = 0.05
	workWeight    = 0.05
	// maxPathRoutes bounds the routes of runs and the routes of calls. A route that was not
	// used for pathRouteLifetime gives its place to a new one.
	maxPathRoutes     = 16
	pathRouteLifetime = time.Minute
)

// Path is what a run of a route brings to the fullest service that it calls.
type Path struct {
	// Known reports whether the calls of the route are known. Otherwise they are estimated as
	// if all routes made the same calls.
	Known bool
	// Pressure is that of the fullest service, 0 if the route makes no calls.
	Pressure   float64
	Bottleneck uint32
	// Work is the time for which the calls of a run hold slots there, or 0 if it is not known.
	Work time.Duration
}

// Paths tells which calls the runs of each route make, although calls do not name the run that
// they are made for (see package correlator), and what they bring to the services downstream. Its
// methods are safe for concurrent use.
type Paths struct {
	table *correlator.Table

	mu       sync.Mutex
	runTimes map[string]*runRoute
	calls    map[string]*callRoute
}

// runRoute is a route that the local backend server runs.
type runRoute struct {
	mean time.Duration
	used time.Time
}

// callRoute is a route that the local backend server calls.
type callRoute struct {
	used       time.Time
	fader      fader.Fader
	weight     float64
	pressure   float64
	bottleneck uint32
	// work is the mean work of a call at the bottleneck, in seconds.
	work float64
}

// NewPaths returns Paths without observations.
func NewPaths() *Paths {
	return &Paths{
		table:    correlator.New(),
		runTimes: make(map[string]*runRoute),
		calls:    make(map[string]*callRoute),
	}
}

// RecordStart records the start of a run.
func (p *Paths) RecordStart(now time.Time, route string) {
	p.table.RecordStart(now, route)
}

// RecordFinish records the end of a run that lasted for the given time.
func (p *Paths) RecordFinish(now time.Time, route string, runTime time.Duration) {
	p.table.RecordEnd(now, route)
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.runTimes[route]
	if r == nil {
		if !makeRoom(p.runTimes, now, func(r *runRoute) time.Time { return r.used }) {
			return
		}
		r = &runRoute{
			mean: runTime,
		}
		p.runTimes[route] = r
	}
	r.mean += time.Duration(runTimeWeight * float64(runTime-r.mean))
	r.used = now
}

// makeRoom reports whether a new route fits into routes, and removes those that were not used lately
// if there are too many.
func makeRoom[R any](routes map[string]R, now time.Time, used func(R) time.Time) bool {
	if len(routes) < maxPathRoutes {
		return true
	}
	for name, r := range routes {
		if now.Sub(used(r)) > pathRouteLifetime {
			delete(routes, name)
		}
	}
	return len(routes) < maxPathRoutes
}

// RecordCall records that the local backend server starts a call.
func (p *Paths) RecordCall(now time.Time, route string) {
	p.table.RecordCall(now, route)
}

// RecordReport records what the answer to a call reports of its path.
func (p *Paths) RecordReport(now time.Time, route string, pressure float64, bottleneck uint32, work time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.call(now, route)
	if c == nil {
		return
	}
	c.used = now
	factor := c.fader.DecayFactor(now)
	c.weight = c.weight*factor + 1
	c.pressure = c.pressure*factor + pressure
	if c.bottleneck != bottleneck {
		c.bottleneck, c.work = bottleneck, 0
	}
	switch {
	case work == 0:
	case c.work == 0:
		c.work = work.Seconds()
	default:
		c.work += workWeight * (work.Seconds() - c.work)
	}
}

func (p *Paths) call(now time.Time, route string) *callRoute {
	c := p.calls[route]
	if c == nil && makeRoom(p.calls, now, func(c *callRoute) time.Time { return c.used }) {
		c = &callRoute{
			fader: fader.New(pressureHalfLife),
		}
		p.calls[route] = c
	}
	return c
}

// MeanRunTime returns the mean time of a run of the route, or 0 if it is not known.
func (p *Paths) MeanRunTime(route string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.runTimes[route]; r != nil {
		return r.mean
	}
	return 0
}

// Path returns the path of a route.
func (p *Paths) Path(now time.Time, route string) Path {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := Path{
		Known: true,
	}
	work, complete := 0.0, true
	for called, c := range p.calls {
		calls, known := p.table.Calls(route, called)
		path.Known = path.Known && known
		if calls == 0 {
			continue
		}
		factor := c.fader.DecayFactor(now)
		c.weight *= factor
		c.pressure *= factor
		if c.weight < minPressureWeight {
			continue
		}
		pressure := c.pressure / c.weight
		if c.bottleneck != path.Bottleneck {
			if pressure <= path.Pressure {
				continue
			}
			work, complete = 0, true
		}
		path.Bottleneck = c.bottleneck
		path.Pressure = max(path.Pressure, pressure)
		work += calls * c.work
		complete = complete && c.work > 0
	}
	if complete {
		path.Work = time.Duration(work * float64(time.Second))
	}
	return path
}
