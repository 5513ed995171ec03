// Package forecaster averages the admission thresholds that answers report. With
// them, a node at the entry of the call graph refuses a call early if its targets, or
// the targets downstream of them, are likely to refuse it. The path of a call is the
// calls that its target makes for it, and theirs in turn.
//
// # Usage
//
//	table.Observe(now, service, "lookup", load.Threshold, answer.PathThreshold)
//	if call.Priority < table.Threshold(now, service, "lookup") { ... }
package forecaster

import (
	"sync"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Forecast parameters.
const (
	// averagingTime is the time constant of the moving average.
	averagingTime = 200 * time.Millisecond
	// A forecast without new answers decays to zero between the ages decayStart and
	// decayEnd.
	decayStart = 300 * time.Millisecond
	decayEnd   = 1500 * time.Millisecond
)

// routeKey identifies a route of a service.
type routeKey struct {
	service describer.ServiceName
	route   string
}

// average is a moving average over time of one threshold.
type average struct {
	value   float64
	updated time.Time
}

// observe adds a threshold. Its weight grows with the time since the last one.
func (a *average) observe(now time.Time, threshold caller.Priority) {
	weight := float64(now.Sub(a.updated)) / float64(averagingTime)
	const minWeight = 0.05
	weight = min(max(weight, minWeight), 1)
	a.value += weight * (float64(threshold) - a.value)
	a.updated = now
}

// valueAt returns the average, reduced by its age.
func (a *average) valueAt(now time.Time) caller.Priority {
	age := now.Sub(a.updated)
	if age >= decayEnd {
		return 0
	}
	value := a.value
	if age > decayStart {
		value *= float64(decayEnd-age) / float64(decayEnd-decayStart)
	}
	return caller.Priority(value)
}

// Table holds the forecasts of one node. Its methods are safe for concurrent
// use.
type Table struct {
	mu sync.Mutex
	// services holds the average of the targets' own thresholds.
	services map[describer.ServiceName]*average
	// paths holds the average threshold of the paths of the calls of each route.
	paths map[routeKey]*average
}

// NewTable returns a table without forecasts.
func NewTable() *Table {
	return &Table{
		services: make(map[describer.ServiceName]*average),
		paths:    make(map[routeKey]*average),
	}
}

// Observe records the thresholds that one answer reports. The target's own threshold
// applies to the whole service. The threshold of the call's path applies only to the
// route of the call.
func (t *Table) Observe(now time.Time, service describer.ServiceName, route string, targetThreshold, pathThreshold caller.Priority) {
	t.mu.Lock()
	defer t.mu.Unlock()
	serviceAverage := t.services[service]
	if serviceAverage == nil {
		serviceAverage = &average{}
		t.services[service] = serviceAverage
	}
	serviceAverage.observe(now, targetThreshold)
	k := routeKey{
		service: service,
		route:   route,
	}
	pathAverage := t.paths[k]
	if pathAverage == nil {
		pathAverage = &average{}
		t.paths[k] = pathAverage
	}
	pathAverage.observe(now, pathThreshold)
}

// Threshold returns the priority below which a call is likely to be refused.
func (t *Table) Threshold(now time.Time, service describer.ServiceName, route string) caller.Priority {
	t.mu.Lock()
	defer t.mu.Unlock()
	threshold := caller.Priority(0)
	if serviceAverage := t.services[service]; serviceAverage != nil {
		threshold = serviceAverage.valueAt(now)
	}
	k := routeKey{
		service: service,
		route:   route,
	}
	if pathAverage := t.paths[k]; pathAverage != nil {
		threshold = max(threshold, pathAverage.valueAt(now))
	}
	return threshold
}
