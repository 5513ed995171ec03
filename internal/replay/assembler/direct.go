package assembler

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/driver"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/responder"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/tracer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// directAttempts is the maximum number of attempts of each call without the layer.
// It is the common default of client libraries.
const directAttempts = 3

// detectionTime is the time after which callers without the layer stop choosing a
// dead target.
const detectionTime = 5 * time.Second

// DirectFleet is the fleet of a trace without the layer. Callers choose a random
// target for each attempt and retry when an attempt fails.
type DirectFleet struct {
	trace      *tracer.Trace
	runCounter *responder.RunCounter

	mu      sync.Mutex
	rng     *rand.Rand
	targets map[describer.ServiceName][]*directTarget
	// first and retries count attempts.
	first   int64
	retries int64
}

var _ driver.Fleet = (*DirectFleet)(nil)

type directTarget struct {
	server *responder.Server
	region int
	// downAt is the time at which the target went down, or zero while it is up.
	downAt time.Time
}

// NewDirectFleet returns a fleet without the layer.
func NewDirectFleet(trace *tracer.Trace) *DirectFleet {
	d := &DirectFleet{
		trace:      trace,
		runCounter: responder.NewRunCounter(),
		rng:        rand.New(rand.NewPCG(trace.Seed, 7)),
		targets:    make(map[describer.ServiceName][]*directTarget),
	}
	for _, service := range trace.Services {
		for i := range service.Targets {
			d.targets[service.Name] = append(d.targets[service.Name], &directTarget{
				server: responder.New(service, d.runCounter, d.rng.Uint64()),
				region: i % len(trace.Regions),
			})
		}
	}
	return d
}

// RunCounter implements driver.Fleet.
func (d *DirectFleet) RunCounter() *responder.RunCounter {
	return d.runCounter
}

// Counters implements driver.Fleet.
func (d *DirectFleet) Counters() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]int64{
		"route.none": d.first + d.retries,
		"retry.none": d.retries,
	}
}

// Do implements driver.Fleet.
func (d *DirectFleet) Do(ctx context.Context, request driver.Request) driver.Result {
	if !responder.Sleep(ctx, d.trace.Latency.Client) {
		return driver.Result{}
	}
	response := d.call(ctx, request.Region, request.ID, tracer.Call{
		Service: request.Service,
		Method:  request.Method,
		Path:    request.Path,
	})
	if !responder.Sleep(ctx, d.trace.Latency.Client) {
		return driver.Result{}
	}
	return driver.Result{
		Status: response.Status,
		Body:   response.Body,
	}
}

// call makes one call with up to directAttempts attempts.
func (d *DirectFleet) call(ctx context.Context, region int, requestID string, call tracer.Call) responder.Response {
	response := responder.Response{}
	for attempt := range directAttempts {
		d.mu.Lock()
		if attempt == 0 {
			d.first++
		} else {
			d.retries++
		}
		d.mu.Unlock()
		response = d.attempt(ctx, region, requestID, call)
		if response.Status == 200 || ctx.Err() != nil {
			return response
		}
	}
	return response
}

// attempt makes one attempt of a call.
func (d *DirectFleet) attempt(ctx context.Context, region int, requestID string, call tracer.Call) responder.Response {
	target := d.choose(call.Service)
	if target == nil {
		return responder.Response{
			Status: 503,
		}
	}
	latency := d.trace.Latency.CrossZone
	if target.region != region {
		latency = d.trace.Latency.CrossRegion
	}
	d.mu.Lock()
	down := !target.downAt.IsZero()
	d.mu.Unlock()
	if !responder.Sleep(ctx, latency) || down {
		return responder.Response{
			Status: 502,
		}
	}
	response := target.server.Serve(ctx, responder.Request{
		RequestID: requestID,
		Method:    call.Method,
		Path:      call.Path,
	}, func(ctx context.Context, downstream tracer.Call) int {
		return d.call(ctx, target.region, requestID, downstream).Status
	})
	if !responder.Sleep(ctx, latency) {
		return responder.Response{
			Status: 504,
		}
	}
	return response
}

// choose returns a random target among those not yet detected as dead, or nil if
// there is none.
func (d *DirectFleet) choose(service describer.ServiceName) *directTarget {
	d.mu.Lock()
	defer d.mu.Unlock()
	var usable []*directTarget
	for _, target := range d.targets[service] {
		if target.downAt.IsZero() || time.Since(target.downAt) < detectionTime {
			usable = append(usable, target)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[d.rng.IntN(len(usable))]
}

// Inject implements driver.Fleet. A frozen target is treated like a killed one, and
// drains have no effect.
func (d *DirectFleet) Inject(fault tracer.Fault) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	affected := d.targets[fault.Service]
	if fault.Targets > 0 {
		affected = affected[:min(fault.Targets, len(affected))]
	}
	switch fault.Kind {
	case tracer.FaultSlow:
		for _, target := range affected {
			target.server.SetWorkFactor(fault.Factor)
		}
		return func() {
			for _, target := range affected {
				target.server.SetWorkFactor(1)
			}
		}
	case tracer.FaultKill, tracer.FaultFreeze:
		for _, target := range affected {
			target.downAt = time.Now()
		}
		return func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			for _, target := range affected {
				target.downAt = time.Time{}
				target.server.SimulateColdStart(time.Now())
			}
		}
	case tracer.FaultCold:
		for _, target := range affected {
			target.server.SimulateColdStart(time.Now())
		}
	}
	return func() {}
}
