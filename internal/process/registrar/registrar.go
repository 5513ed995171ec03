// Package registrar keeps the registration of the local backend server up to date
// from its heartbeats, and rejects late heartbeats and those of other servers.
//
// The package does no I/O. Its owner passes in heartbeats and reads the
// registration in force.
//
// # Usage
//
//	r := registrar.New(registrar.Config{Service: "allot", Address: backend, Interval: 1500 * time.Millisecond})
//	verdict := r.Heartbeat(now, beat)
//	registration := r.Current(now)
package registrar

import (
	"net/netip"
	"time"
)

// State is the state of a backend server. Ready and Draining are reported by the
// server in its heartbeats.
type State uint8

// The states of a backend server.
const (
	// Gone means that no backend server is registered.
	Gone State = iota
	// Ready means that the backend server accepts new work.
	Ready
	// Draining means that the backend server accepts no new work.
	Draining
)

var stateNames = []string{"gone", "ready", "draining"}

// String returns the name of the state in logs.
func (s State) String() string {
	return stateNames[s]
}

// Heartbeat is a heartbeat of a backend server.
type Heartbeat struct {
	ID      string
	Address netip.AddrPort
	Service string
	Slots   int
	State   State
	// Born is the start time of the backend server by its own clock. Together with
	// ID it identifies one start.
	Born time.Time
	// Sequence increases with each heartbeat of one start.
	Sequence uint64
	// RemainingWarmUp is the time until the backend server reaches full speed.
	RemainingWarmUp time.Duration
}

// Verdict is the result of a heartbeat or deregistration.
type Verdict uint8

// The verdicts.
const (
	// Taken means that the message was accepted and is in force.
	Taken Verdict = iota
	// Late means that the message does not apply to the registration in force, which
	// stays as it is. A heartbeat is late if it is not newer than what is known or
	// reverts draining to ready. A deregistration is late if another start stays in force.
	Late
	// Foreign means that the heartbeat has another service or address than the
	// local backend server.
	Foreign
)

var verdictNames = []string{"taken", "late", "foreign"}

// String returns the name of the verdict in logs.
func (v Verdict) String() string {
	return verdictNames[v]
}

// Registration describes the registered backend server by its last accepted
// heartbeat.
type Registration struct {
	ID       string
	Born     time.Time
	Sequence uint64
	State    State
	// Leaving reports that this start takes no new work any more. A backend server that is
	// Gone because it is silent is not leaving.
	Leaving bool
	Slots   int
	// WarmAt is the time at which the backend server expects to reach full speed.
	WarmAt time.Time
}

// leaseIntervals is the number of heartbeat intervals without a heartbeat after
// which a backend server is considered gone. It is more than one because single
// heartbeats arrive seconds late.
const leaseIntervals = 5

// Config holds the parameters of a Registrar.
type Config struct {
	// Service and Address identify the local backend server.
	Service string
	Address netip.AddrPort
	// Interval is the time between two heartbeats.
	Interval time.Duration
}

// Registrar keeps one registration. It is not safe for concurrent use; its
// owner holds one lock around every method.
type Registrar struct {
	config  Config
	current Registration
	// lastHeartbeat is the time at which the last accepted heartbeat arrived.
	lastHeartbeat time.Time
	// deregistered maps the ID of each backend server that deregistered to the
	// start time of its latest deregistered start, or to the zero time if that is
	// unknown.
	deregistered map[string]time.Time
	// leaving holds the starts that MarkLeaving was called for.
	leaving map[startKey]bool
}

// startKey identifies one start of a backend server.
type startKey struct {
	id            string
	bornUnixMilli int64
}

func keyOf(id string, born time.Time) startKey {
	return startKey{
		id:            id,
		bornUnixMilli: born.UnixMilli(),
	}
}

// New returns a Registrar without a registration.
func New(config Config) *Registrar {
	return &Registrar{
		config:       config,
		deregistered: make(map[string]time.Time),
		leaving:      make(map[startKey]bool),
	}
}

// Current returns the registration in force at now. Its state is Gone if the
// lease has expired.
func (r *Registrar) Current(now time.Time) Registration {
	if r.current.State != Gone && r.leaseExpired(now) {
		r.current.State = Gone
	}
	return r.current
}

// leaseExpired reports whether the last accepted heartbeat is too long ago.
func (r *Registrar) leaseExpired(now time.Time) bool {
	return now.Sub(r.lastHeartbeat) > leaseIntervals*r.config.Interval
}

// ExtendLease extends the lease by a time in which this process stood still and could not
// receive heartbeats.
func (r *Registrar) ExtendLease(pause time.Duration) {
	r.lastHeartbeat = r.lastHeartbeat.Add(pause)
}

// Heartbeat processes a heartbeat and puts it in force unless it is foreign or late.
func (r *Registrar) Heartbeat(now time.Time, beat Heartbeat) Verdict {
	if beat.Service != r.config.Service || beat.Address != r.config.Address {
		return Foreign
	}
	if beat.State == Ready && r.leaving[keyOf(beat.ID, beat.Born)] {
		beat.State = Draining
	}
	if r.isLate(now, beat) {
		return Late
	}
	r.lastHeartbeat = now
	r.current = Registration{
		ID:       beat.ID,
		Born:     beat.Born,
		Sequence: beat.Sequence,
		State:    beat.State,
		Leaving:  beat.State == Draining,
		Slots:    beat.Slots,
		WarmAt:   now.Add(beat.RemainingWarmUp),
	}
	return Taken
}

// isLate reports whether the heartbeat must be ignored. This is so if it is not newer
// than what is known, or if it reverts draining to ready. The clock that sets Born
// may have been stepped back between two starts. A heartbeat with an earlier start
// time than the known one is therefore late only while the lease of the known one
// lasts.
func (r *Registrar) isLate(now time.Time, beat Heartbeat) bool {
	if deregistered, ok := r.deregistered[beat.ID]; ok && !beat.Born.After(deregistered) {
		return true
	}
	known := r.current
	if known.ID == "" {
		return false
	}
	if beat.ID == known.ID && beat.Born.Equal(known.Born) {
		return beat.Sequence <= known.Sequence || (known.State == Draining && beat.State == Ready)
	}
	if beat.Born.After(known.Born) {
		return false
	}
	return known.State != Gone && !r.leaseExpired(now)
}

// MarkDraining records that the registered backend server takes no new work, whatever its
// heartbeats report until its next start. It has no effect if another one is registered.
func (r *Registrar) MarkDraining(id string) {
	if id == r.current.ID {
		r.MarkLeaving(id, r.current.Born)
	}
}

// MarkLeaving records that a start of a backend server takes no new work, whether it is
// registered or not. Its heartbeats count as Draining from then on.
func (r *Registrar) MarkLeaving(id string, born time.Time) {
	r.leaving[keyOf(id, born)] = true
	if id != r.current.ID || !born.Equal(r.current.Born) {
		return
	}
	r.current.Leaving = true
	if r.current.State == Ready {
		r.current.State = Draining
	}
}

// Deregister records that a start of a backend server has ended, so that its
// later heartbeats are rejected. If born is zero, Deregister uses the start time of the
// registered backend server, if that has the ID.
//
// The start may not be registered, because this process or the start itself is new. It is then in
// force as one that left, unless another start that may still run is in force.
func (r *Registrar) Deregister(id string, born time.Time) Verdict {
	if born.IsZero() && id == r.current.ID {
		born = r.current.Born
	}
	if known, ok := r.deregistered[id]; !ok || known.Before(born) {
		r.deregistered[id] = born
	}
	if born.IsZero() {
		return Late
	}
	r.MarkLeaving(id, born)
	if id == r.current.ID && born.Equal(r.current.Born) {
		r.current.State = Gone
		return Taken
	}
	if !born.After(r.current.Born) || id != r.current.ID && r.current.State != Gone {
		return Late
	}
	r.current = Registration{
		ID:      id,
		Born:    born,
		Leaving: true,
	}
	return Taken
}
