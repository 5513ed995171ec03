// Package tracer reads recorded traces. A trace describes regions, services with
// their call graphs, streams of client requests, faults, and the outcomes that a
// run must reach.
//
// # Usage
//
//	trace, err := tracer.ReadFile("traces/county-surge.jsonc")
package tracer

import (
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Trace describes one recorded experiment, including its fleet.
type Trace struct {
	Name    string
	Summary string
	Seed    uint64
	// SeparateProcesses reports whether each node runs as a separate process.
	SeparateProcesses bool
	Duration          time.Duration
	Regions           []Region
	Latency           Latency
	Services          []Service
	Arrivals          []ArrivalStream
	Phases            []Phase
	Faults            []Fault
	ExpectedOutcomes  ExpectedOutcomes
}

// Region is a region with its availability zones.
type Region struct {
	Name  string
	Zones []string
}

// Latency holds one-way network delays.
type Latency struct {
	// CrossZone is the delay between the zones of a region.
	CrossZone time.Duration
	// CrossRegion is the delay between regions.
	CrossRegion time.Duration
	// Client is the delay between a client and the node that it calls.
	Client time.Duration
}

// Service is one service. Its targets are spread evenly over the zones.
type Service struct {
	Name    describer.ServiceName
	Targets int
	// Slots is the number of requests that a target runs at the same time.
	Slots int
	// Connections is the number of requests that a target accepts, running and
	// waiting ones together.
	Connections int
	Routes      []Route
}

// Route is one route of a service and the work that a request to it causes.
type Route struct {
	describer.Route
	// Work is the mean service time at the backend server, without downstream
	// calls.
	Work time.Duration
	// AnswerBytes is the size of the answer's body.
	AnswerBytes int
	// Parallel reports whether the calls are made in parallel instead of in
	// sequence.
	Parallel bool
	Calls    []Call
}

// Call is one downstream call of a route.
type Call struct {
	Service describer.ServiceName
	Method  string
	Path    string
}

// ArrivalStream is one stream of client requests.
type ArrivalStream struct {
	Name    string
	Service describer.ServiceName
	Method  string
	Path    string
	// PerSecond is the request rate at a rate factor of 1.
	PerSecond float64
	// Timeout is the time that a client waits for one answer.
	Timeout time.Duration
	// Resends is the largest number of times that a client sends a request again
	// after a failure.
	Resends int
	// ResendDelay is the mean delay before a client sends a request again.
	ResendDelay time.Duration
}

// Phase sets the factor on all arrival rates from the offset At until the next
// phase.
type Phase struct {
	At         time.Duration
	RateFactor float64
}

// FaultKind is the effect of a fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultSlow multiplies the service times of a service's targets by Factor.
	FaultSlow FaultKind = "slow"
	// FaultKill kills targets together with their nodes. When the fault ends, they
	// start again, cold.
	FaultKill FaultKind = "kill"
	// FaultDrain stops targets gracefully, for good.
	FaultDrain FaultKind = "drain"
	// FaultCold restarts targets at once; they start cold.
	FaultCold FaultKind = "cold"
	// FaultLogDown makes the platform's log unavailable.
	FaultLogDown FaultKind = "logDown"
	// FaultLogRestored takes a copy of the platform's log when it starts, and brings the log
	// back from that copy when it ends.
	FaultLogRestored FaultKind = "logRestored"
	// FaultFreeze makes the nodes of targets stop answering while their
	// connections stay open.
	FaultFreeze FaultKind = "freeze"
)

// Fault is one fault during a run. It starts at the offset At and ends after
// Duration. Duration has no effect on drains and cold starts.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	Service  describer.ServiceName
	// Targets is the number of affected targets; 0 means all.
	Targets int
	// Factor applies to FaultSlow only.
	Factor float64
}

// ExpectedOutcomes holds the bounds that a run must meet. A bound of zero is not
// checked. An answer is whole if it arrives complete and belongs to its request.
type ExpectedOutcomes struct {
	// TriggerFrom and TriggerTo are the start and the end of the trigger, the
	// period of overload or failure, as offsets from the start of the run.
	TriggerFrom time.Duration
	TriggerTo   time.Duration
	// Capacity is the number of whole answers per second that the slots allow.
	Capacity float64
	// GoodputShare is the minimum goodput during the trigger, as a fraction of
	// Capacity.
	GoodputShare float64
	// CriticalShare is the minimum fraction of requests answered whole in each
	// critical arrival stream. It covers requests that arrive during the trigger.
	CriticalShare float64
	// Unaffected lists the names of arrival streams that the trigger does not
	// affect. UnaffectedShare is the minimum fraction of requests answered whole
	// in each of them. It covers requests that arrive during the trigger.
	Unaffected      []string
	UnaffectedShare float64
	// Recovery is the maximum time from the end of the trigger until 95% of the
	// demand is answered whole again at the first try.
	Recovery time.Duration
	// RetryShare is the maximum ratio of retries to first attempts.
	RetryShare float64
}

// RateFactor returns the factor on arrival rates at an offset from the start. It
// is 1 before the first phase.
func (t *Trace) RateFactor(at time.Duration) float64 {
	factor := 1.0
	for _, phase := range t.Phases {
		if at >= phase.At {
			factor = phase.RateFactor
		}
	}
	return factor
}

// Service returns the named service, or nil.
func (t *Trace) Service(name describer.ServiceName) *Service {
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i]
		}
	}
	return nil
}

// Settings returns settings with the routes of the trace and defaults for the
// rest.
func (t *Trace) Settings() *describer.Settings {
	settings := &describer.Settings{
		Version:  1,
		Services: make(map[describer.ServiceName]describer.Service),
		Teams:    make(map[string]describer.Team),
	}
	for _, service := range t.Services {
		described := describer.DefaultService(service.Name)
		for _, route := range service.Routes {
			described.Routes = append(described.Routes, route.Route)
		}
		settings.Services[service.Name] = described
	}
	return settings
}

// Scale returns a copy of the trace in which all offsets and the duration are
// multiplied by factor, for a shorter run of the same events. Rates, service times
// and bounds are not scaled.
func (t *Trace) Scale(factor float64) *Trace {
	scaled := *t
	shorten := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * factor)
	}
	scaled.Duration = shorten(t.Duration)
	scaled.Phases = append([]Phase(nil), t.Phases...)
	for i := range scaled.Phases {
		scaled.Phases[i].At = shorten(scaled.Phases[i].At)
	}
	scaled.Faults = append([]Fault(nil), t.Faults...)
	for i := range scaled.Faults {
		scaled.Faults[i].At = shorten(scaled.Faults[i].At)
		scaled.Faults[i].Duration = shorten(scaled.Faults[i].Duration)
	}
	scaled.ExpectedOutcomes.TriggerFrom = shorten(t.ExpectedOutcomes.TriggerFrom)
	scaled.ExpectedOutcomes.TriggerTo = shorten(t.ExpectedOutcomes.TriggerTo)
	return &scaled
}
