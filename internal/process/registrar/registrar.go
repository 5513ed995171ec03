// Package registrar keeps what the local backend server says of itself in its
// heartbeats, and tells late and foreign heartbeats apart.
//
// The package does no I/O: heartbeats go in, and the registration in force
// comes out.
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

// State is what a backend server says of itself.
type State uint8

// The states.
const (
	// Gone means that no backend server is registered.
	Gone State = iota
	Ready
	Draining
)

var stateNames = []string{"gone", "ready", "draining"}

// String returns the written name.
func (s State) String() string {
	return stateNames[s]
}

// Heartbeat is one heartbeat of a backend server.
type Heartbeat struct {
	ID      string
	Address netip.AddrPort
	Service string
	Slots   int
	State   State
	// Born is when the backend server was started, by its own clock.
	Born time.Time
	// Sequence rises with each heartbeat of one start.
	Sequence uint64
	// RemainingWarmUp is how much longer the backend server stays slow.
	RemainingWarmUp time.Duration
}

// Verdict tells what became of a heartbeat.
type Verdict uint8

// The verdicts.
const (
	// Taken means that the heartbeat is in force.
	Taken Verdict = iota
	// Late means that a newer heartbeat is known.
	Late
	// Foreign means that the heartbeat is not the local backend server's.
	Foreign
)

var verdictNames = []string{"taken", "late", "foreign"}

// String returns the written name.
func (v Verdict) String() string {
	return verdictNames[v]
}

// Registration is the backend server in force.
type Registration struct {
	ID       string
	Born     time.Time
	Sequence uint64
	State    State
	Slots    int
	// WarmAt is when the backend server expects to be at full speed.
	WarmAt time.Time
}

// leaseIntervals is the number of heartbeat intervals after which a silent
// backend server counts as gone; single heartbeats arrive seconds late.
const leaseIntervals = 5

// Config is what a Registrar needs.
type Config struct {
	// Service and Address are those of the local backend server.
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
	// heard is when the last heartbeat in force arrived.
	heard time.Time
	// left are the starts that deregistered, by ID.
	left map[string]time.Time
}

// New returns a Registrar without a registration.
func New(config Config) *Registrar {
	return &Registrar{
		config: config,
		left:   make(map[string]time.Time),
	}
}

// Current returns the registration in force at now.
func (r *Registrar) Current(now time.Time) Registration {
	if r.current.State != Gone && r.lapsed(now) {
		r.current.State = Gone
	}
	return r.current
}

func (r *Registrar) lapsed(now time.Time) bool {
	return now.Sub(r.heard) > leaseIntervals*r.config.Interval
}

// Heartbeat takes one heartbeat.
func (r *Registrar) Heartbeat(now time.Time, beat Heartbeat) Verdict {
	if beat.Service != r.config.Service || beat.Address != r.config.Address {
		return Foreign
	}
	if r.late(now, beat) {
		return Late
	}
	r.heard = now
	r.current = Registration{
		ID:       beat.ID,
		Born:     beat.Born,
		Sequence: beat.Sequence,
		State:    beat.State,
		Slots:    beat.Slots,
		WarmAt:   now.Add(beat.RemainingWarmUp),
	}
	return Taken
}

// late reports whether something newer than the heartbeat is known. The clock
// that Born is read from may have been stepped back between two starts, so an
// earlier start counts as late only while the known one is heard from.
func (r *Registrar) late(now time.Time, beat Heartbeat) bool {
	if left, ok := r.left[beat.ID]; ok && !beat.Born.After(left) {
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
	return known.State != Gone && !r.lapsed(now)
}

// Deregister takes a backend server's word that it leaves. A zero born means
// the start that is known.
func (r *Registrar) Deregister(id string, born time.Time) Verdict {
	if born.IsZero() && id == r.current.ID {
		born = r.current.Born
	}
	if r.left[id].Before(born) || born.IsZero() {
		r.left[id] = born
	}
	if id != r.current.ID || born.Before(r.current.Born) {
		return Late
	}
	r.current.State = Gone
	return Taken
}
