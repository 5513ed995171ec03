// Package forecaster keeps the admission thresholds that answers carried back,
// so that a caller's node can refuse a call early that its targets, or the
// targets below them, would refuse.
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
	// averageTime is the time constant of the moving average.
	averageTime = 200 * time.Millisecond
	// fadeStart and fadeEnd bound the time over which a forecast that no
	// answer renewed falls to zero.
	fadeStart = 300 * time.Millisecond
	fadeEnd   = 1500 * time.Millisecond
)

type key struct {
	service describer.ServiceName
	route   string
}

// average is a moving average over time of one threshold.
type average struct {
	value float64
	at    time.Time
}

func (a *average) observe(now time.Time, threshold caller.Priority) {
	weight := float64(now.Sub(a.at)) / float64(averageTime)
	const minWeight = 0.05
	weight = min(max(weight, minWeight), 1)
	a.value += weight * (float64(threshold) - a.value)
	a.at = now
}

func (a *average) valueAt(now time.Time) caller.Priority {
	age := now.Sub(a.at)
	if age >= fadeEnd {
		return 0
	}
	value := a.value
	if age > fadeStart {
		value *= float64(fadeEnd-age) / float64(fadeEnd-fadeStart)
	}
	return caller.Priority(value)
}

// Table holds the forecasts of one node. Its methods are safe for concurrent
// use.
type Table struct {
	mu       sync.Mutex
	services map[describer.ServiceName]*average
	paths    map[key]*average
}

// NewTable returns a table without forecasts.
func NewTable() *Table {
	return &Table{
		services: make(map[describer.ServiceName]*average),
		paths:    make(map[key]*average),
	}
}

// Observe takes the thresholds that one answer carried: that of the target
// itself, which concerns the whole service, and that of the path below it,
// which concerns only the call's route.
func (t *Table) Observe(now time.Time, service describer.ServiceName, route string, own, path caller.Priority) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byService := t.services[service]
	if byService == nil {
		byService = &average{}
		t.services[service] = byService
	}
	byService.observe(now, own)
	k := key{
		service: service,
		route:   route,
	}
	byPath := t.paths[k]
	if byPath == nil {
		byPath = &average{}
		t.paths[k] = byPath
	}
	byPath.observe(now, path)
}

// Threshold returns the priority below which a call is likely to be refused.
func (t *Table) Threshold(now time.Time, service describer.ServiceName, route string) caller.Priority {
	t.mu.Lock()
	defer t.mu.Unlock()
	threshold := caller.Priority(0)
	if byService := t.services[service]; byService != nil {
		threshold = byService.valueAt(now)
	}
	k := key{
		service: service,
		route:   route,
	}
	if byPath := t.paths[k]; byPath != nil {
		threshold = max(threshold, byPath.valueAt(now))
	}
	return threshold
}
