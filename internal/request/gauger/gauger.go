// Package gauger measures how full the services are that the local backend server calls,
// directly or through other services.
//
// A node reports with each answer the pressure: the utilization of its own backend server,
// or that of the fullest service downstream of it if that is higher. The pressure thus
// travels up the call graph, although calls carry no reference to their parent calls. The
// entry sees a bottleneck fill up before requests fail there.
//
// # Usage
//
//	gauge := gauger.New()
//	gauge.Record(now, service, load.Pressure)
//	pressure := gauge.Pressure(now)
package gauger

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumshelf/laburnumshelf/internal/request/fader"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Gauge parameters.
const (
	// halfLife is the time after which a report counts half. It is short because each
	// node between a bottleneck and the entry adds it to the delay.
	halfLife = 200 * time.Millisecond
	// minReports is the weight of recent reports below which a service has no
	// pressure.
	minReports = 0.5
)

// Gauge holds the pressure that each called service has reported. Its methods are safe for
// concurrent use.
type Gauge struct {
	mu       sync.Mutex
	services map[describer.ServiceName]*mean
}

// mean is a decaying mean.
type mean struct {
	fader  fader.Fader
	weight float64
	sum    float64
}

func (m *mean) decay(now time.Time) {
	factor := m.fader.DecayFactor(now)
	m.weight *= factor
	m.sum *= factor
}

// New returns a Gauge without reports.
func New() *Gauge {
	return &Gauge{
		services: make(map[describer.ServiceName]*mean),
	}
}

// ServiceID returns the number that identifies a service as a bottleneck. It is not 0.
func ServiceID(service describer.ServiceName) uint32 {
	return uint32(xxhash.Sum64String(service.String())) | 1
}

// Record records the pressure that an answer of the service reports.
func (g *Gauge) Record(now time.Time, service describer.ServiceName, pressure float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.services[service]
	if m == nil {
		m = &mean{
			fader: fader.New(halfLife),
		}
		g.services[service] = m
	}
	m.decay(now)
	m.weight++
	m.sum += pressure
}

// Pressure returns the highest mean pressure of the services, or 0 without recent reports.
func (g *Gauge) Pressure(now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	highest := 0.0
	for _, m := range g.services {
		m.decay(now)
		if m.weight >= minReports {
			highest = max(highest, m.sum/m.weight)
		}
	}
	return highest
}
