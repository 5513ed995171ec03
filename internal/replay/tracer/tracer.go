// Package tracer reads recorded traces: places, services and their call graphs,
// arrivals, faults and the outcomes a run must reach.
//
// # Usage
//
//	trace, err := tracer.ReadFile("traces/county-surge.jsonc")
package tracer

import (
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Trace is one recorded experiment.
type Trace struct {
	Name    string
	Summary string
	Seed    uint64
	// SeparateProcesses runs each node as a process of its own.
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

// Latency is the one-way delay between places.
type Latency struct {
	CrossZone   time.Duration
	CrossRegion time.Duration
	Client      time.Duration
}

// Service is one service with its targets spread over the zones.
type Service struct {
	Name        describer.ServiceName
	Targets     int
	Slots       int
	Connections int
	Routes      []Route
}

// Route is one kind of request and the work it causes.
type Route struct {
	describer.Route
	// Work is the time the backend server itself spends.
	Work time.Duration
	// AnswerBytes is the size of the answer's body.
	AnswerBytes int
	// Parallel makes the calls at the same time instead of in turn.
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
	// PerSecond is the rate at a phase factor of 1.
	PerSecond float64
	// Timeout is how long a client waits for one answer.
	Timeout time.Duration
	// Resends is how often a client asks again after a failure.
	Resends int
	// ResendDelay is the mean wait before asking again.
	ResendDelay time.Duration
}

// Phase multiplies all arrival rates from a time on.
type Phase struct {
	At         time.Duration
	RateFactor float64
}

// FaultKind is what a fault does.
type FaultKind string

// The kinds of faults.
const (
	// FaultSlow multiplies the work of a service's targets by Factor.
	FaultSlow FaultKind = "slow"
	// FaultKill stops targets with their nodes at once.
	FaultKill FaultKind = "kill"
	// FaultDrain stops targets gracefully.
	FaultDrain FaultKind = "drain"
	// FaultCold restarts all targets of a service cold.
	FaultCold FaultKind = "cold"
	// FaultLogDown takes the platform's log away.
	FaultLogDown FaultKind = "logDown"
	// FaultFreeze stops targets' nodes from answering without closing anything.
	FaultFreeze FaultKind = "freeze"
)

// Fault is one failure during a run.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	Service  describer.ServiceName
	// Targets is the number of targets concerned; 0 means all.
	Targets int
	Factor  float64
}

// ExpectedOutcomes are the bounds that a run must keep; zero fields do not bind.
type ExpectedOutcomes struct {
	// TriggerFrom and TriggerTo delimit the time of overload or failure.
	TriggerFrom time.Duration
	TriggerTo   time.Duration
	// Capacity is the number of whole answers a second that the slots allow.
	Capacity float64
	// GoodputShare is the least goodput during the trigger as a share of
	// Capacity.
	GoodputShare float64
	// CriticalShare is the least share of critical requests answered whole
	// during the trigger.
	CriticalShare float64
	// Unaffected lists arrivals that the trigger does not concern, and
	// UnaffectedShare the least share of them answered whole.
	Unaffected      []string
	UnaffectedShare float64
	// Recovery bounds the time from the trigger's end until 95% of the
	// demand is answered whole again.
	Recovery time.Duration
	// RetryShare bounds the retries as a share of first attempts.
	RetryShare float64
}

// RateFactor returns the arrival factor at a time.
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

// Settings returns the settings that the trace's routes imply.
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

// Scale returns the trace with all times after start shortened by factor, for
// a shorter run of the same course; rates, work and bounds stay.
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
