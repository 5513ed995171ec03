// Package recorder keeps the decisions a node takes about calls. One typed
// Decision is the source of the log line, the counter and the explanation.
//
// # Usage
//
//	rec := recorder.New(logger, "node-1", 65536)
//	rec.Record(recorder.Decision{RequestID: id, Action: recorder.Route, Reason: caller.ReasonNearest})
//	decisions := rec.Find(id)
package recorder

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Action is what a decision does.
type Action uint8

// The actions.
const (
	Route Action = iota
	Retry
	Admit
	Refuse
	Resolve
	Answer
	Replay
	Place
)

var actionNames = []string{"route", "retry", "admit", "refuse", "resolve", "answer", "replay", "place"}

// String returns the written name.
func (a Action) String() string {
	if int(a) < len(actionNames) {
		return actionNames[a]
	}
	return "unrecognized"
}

// Decision is one decision about one call.
type Decision struct {
	Time      time.Time
	RequestID string
	CallID    string
	Hop       uint32
	Attempt   uint32
	Action    Action
	Reason    caller.Reason
	Outcome   caller.Outcome
	Service   describer.ServiceName
	Route     string
	// Target is the member the decision is about.
	Target    string
	Priority  caller.Priority
	Threshold caller.Priority
	Allowance uint32
	Wait      time.Duration
	// Settings is the version in force when the decision was taken.
	Settings int64
	// LoadAge is the age of the target's load report that a choice rests on.
	LoadAge time.Duration
	// logged tells that the decision's line was written.
	logged bool
}

// routine reports whether the decision is one that every served call needs.
func (d *Decision) routine() bool {
	return d.Outcome == caller.Answered && (d.Action == Route || d.Action == Admit || d.Action == Answer)
}

// ExportedDecision is the JSON form of a Decision.
type ExportedDecision struct {
	Time      time.Time `json:"time"`
	Node      string    `json:"node"`
	RequestID string    `json:"requestId"`
	CallID    string    `json:"callId"`
	Hop       uint32    `json:"hop"`
	Attempt   uint32    `json:"attempt"`
	Action    string    `json:"action"`
	Reason    string    `json:"reason"`
	Outcome   string    `json:"outcome"`
	Service   string    `json:"service"`
	Route     string    `json:"route"`
	Target    string    `json:"target,omitempty"`
	Priority  uint16    `json:"priority"`
	Threshold uint16    `json:"threshold"`
	Allowance uint32    `json:"allowance"`
	Wait      string    `json:"wait,omitempty"`
	Settings  int64     `json:"settings"`
	LoadAge   string    `json:"loadAge,omitempty"`
}

// Export returns the JSON form of the decision taken at node.
func (d Decision) Export(node string) ExportedDecision {
	exported := ExportedDecision{
		Time:      d.Time,
		Node:      node,
		RequestID: d.RequestID,
		CallID:    d.CallID,
		Hop:       d.Hop,
		Attempt:   d.Attempt,
		Action:    d.Action.String(),
		Reason:    d.Reason.String(),
		Outcome:   d.Outcome.String(),
		Service:   d.Service.String(),
		Route:     d.Route,
		Target:    d.Target,
		Priority:  uint16(d.Priority),
		Threshold: uint16(d.Threshold),
		Allowance: d.Allowance,
		Settings:  d.Settings,
	}
	if d.LoadAge > 0 {
		exported.LoadAge = d.LoadAge.String()
	}
	if d.Wait > 0 {
		exported.Wait = d.Wait.String()
	}
	return exported
}

// Recorder logs, counts and keeps decisions. Its methods are safe for
// concurrent use.
type Recorder struct {
	log      *logrus.Logger
	node     string
	counters [actionCount][reasonCount]atomic.Int64

	// CallLatency is how long callers waited, Runs how long the backend server took.
	CallLatency *LatencyHistogram
	RunLatency  *LatencyHistogram

	mu   sync.Mutex
	ring []Decision
	next int
	// routineLines and otherLines bound the lines written.
	routineLines lineBudget
	otherLines   lineBudget
}

// Line rates: a node's share of the target size is some 360 calls a second with
// a few decisions each, of which the routine ones need not all be written.
const (
	routineLinesPerSecond = 100
	otherLinesPerSecond   = 200
)

// droppedLines counts decisions whose lines were left out.
var droppedLines = expvar.NewInt("decisionLinesLeftOut")

// lineBudget allows a number of lines a second.
type lineBudget struct {
	second time.Time
	lines  int
}

func (b *lineBudget) allow(now time.Time, perSecond int) bool {
	if now.Sub(b.second) >= time.Second {
		b.second = now
		b.lines = 0
	}
	b.lines++
	return b.lines <= perSecond
}

const (
	actionCount = 8
	reasonCount = caller.MaxReason + 1
)

// New returns a Recorder that keeps the last size decisions. A nil log writes
// no lines.
func New(log *logrus.Logger, node string, size int) *Recorder {
	return &Recorder{
		log:         log,
		node:        node,
		ring:        make([]Decision, 0, size),
		CallLatency: NewLatencyHistogram(),
		RunLatency:  NewLatencyHistogram(),
	}
}

// Record logs, counts and keeps one decision. When there are more lines than the
// log may get, those of served calls are left out first; they are written later
// if the request ends badly.
func (r *Recorder) Record(d Decision) {
	d.Time = time.Now()
	r.counters[d.Action][d.Reason].Add(1)
	logging := r.log != nil && r.log.IsLevelEnabled(logrus.InfoLevel)
	for _, line := range r.keep(d, logging) {
		r.write(line)
	}
}

func (r *Recorder) write(d Decision) {
	r.log.WithTime(d.Time).WithFields(logrus.Fields{
		"action":    d.Action.String(),
		"allowance": d.Allowance,
		"attempt":   d.Attempt,
		"call":      d.CallID,
		"hop":       d.Hop,
		"loadAge":   d.LoadAge,
		"node":      r.node,
		"outcome":   d.Outcome.String(),
		"priority":  uint16(d.Priority),
		"reason":    d.Reason.String(),
		"request":   d.RequestID,
		"route":     d.Route,
		"service":   d.Service.String(),
		"settings":  d.Settings,
		"target":    d.Target,
		"threshold": uint16(d.Threshold),
		"wait":      d.Wait,
	}).Info("decision")
}

// keep adds the decision to the ring and returns those to write now.
func (r *Recorder) keep(d Decision, logging bool) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []Decision
	if logging {
		lines = r.due(&d)
	}
	r.store(d)
	return lines
}

// due returns the decisions to write with d; r.mu is held.
func (r *Recorder) due(d *Decision) []Decision {
	if d.routine() {
		d.logged = r.routineLines.allow(d.Time, routineLinesPerSecond)
	} else {
		d.logged = r.otherLines.allow(d.Time, otherLinesPerSecond)
	}
	if !d.logged {
		droppedLines.Add(1)
		return nil
	}
	if d.routine() {
		return []Decision{*d}
	}
	var lines []Decision
	for i := range r.ring {
		earlier := &r.ring[(r.next+i)%len(r.ring)]
		if earlier.RequestID == d.RequestID && !earlier.logged {
			earlier.logged = true
			lines = append(lines, *earlier)
		}
	}
	return append(lines, *d)
}

// store puts a decision into the ring; r.mu is held.
func (r *Recorder) store(d Decision) {
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, d)
		return
	}
	if len(r.ring) == 0 {
		return
	}
	r.ring[r.next] = d
	r.next = (r.next + 1) % len(r.ring)
}

// Find returns the kept decisions about a request, in the order taken.
func (r *Recorder) Find(requestID string) []ExportedDecision {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []ExportedDecision{}
	for i := range r.ring {
		d := &r.ring[(r.next+i)%len(r.ring)]
		if d.RequestID == requestID {
			found = append(found, d.Export(r.node))
		}
	}
	return found
}

// Count returns how often a decision was taken.
func (r *Recorder) Count(action Action, reason caller.Reason) int64 {
	return r.counters[action][reason].Load()
}

// Counters returns all non-zero counters by "action.reason".
func (r *Recorder) Counters() map[string]int64 {
	counts := make(map[string]int64)
	for action := range r.counters {
		for reason := range r.counters[action] {
			if n := r.counters[action][reason].Load(); n > 0 {
				counts[Action(action).String()+"."+caller.Reason(reason).String()] = n
			}
		}
	}
	return counts
}

// Var returns the counters as an expvar variable.
func (r *Recorder) Var() expvar.Var {
	return expvar.Func(func() any {
		return r.Counters()
	})
}
