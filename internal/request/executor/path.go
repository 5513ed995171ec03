package executor

import (
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/gauger"
)

// startPath records the start of a run of the route, and returns a function that records its
// end.
func (e *Executor) startPath(route string) func() {
	if e.config.Downstream == nil || !e.reportsSpeed.Load() {
		return func() {}
	}
	paths := e.config.Downstream.Paths()
	started := time.Now()
	paths.RecordStart(started, route)
	return func() {
		now := time.Now()
		paths.RecordFinish(now, route, now.Sub(started))
	}
}

// reportPath adds the bottleneck on the path of a route, and the work that a request of the
// route brings there, to a load report, if load is balanced by work.
// The pressure is that of the route's own path.
func (e *Executor) reportPath(route string, load *caller.Load) {
	if reports := load.Slowdown > 0; e.reportsSpeed.Swap(reports) != reports {
		e.Reconfigure()
	}
	downstream := e.config.Downstream
	if load.Slowdown <= 0 || downstream == nil {
		return
	}
	now, own := time.Now(), load.Utilization()
	path := downstream.Paths().Path(now, route)
	if path.Pressure > own {
		load.Pressure = path.Pressure
		load.Bottleneck = path.Bottleneck
		load.PathWork = path.Work
		return
	}
	load.Pressure = own
	load.Bottleneck = gauger.ServiceID(e.config.Service)
	load.PathWork = downstream.Paths().MeanRunTime(route)
}
