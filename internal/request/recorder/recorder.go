// Package recorder logs, counts and stores the decisions that a node makes about
// calls. The log line, the counter and the output of the explain command all come
// from the same Decision.
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

// Action is the kind of a decision.
type Action uint8

// The actions.
const (
	// Route means that a target was chosen for an attempt.
	Route Action = iota
	// Retry means that another attempt follows.
	Retry
	// Admit means that the target admitted the call.
	Admit
	// Refuse means that a call or a retry was refused, or that a call failed at its
	// target.
	Refuse
	// Resolve means that a target was chosen for a resolve query, which asks for the
	// outcome of a token's call.
	Resolve
	// Answer means that an attempt ended.
	Answer
	// Replay means that the target returned a stored answer.
	Replay
	// Place means that a change of a member was applied to routing. It is only logged;
	// no Decision has it.
	Place
	// Finish means that a call ended with an answer of the node's own although it may have run.
	Finish
)

var actionNames = []string{"route", "retry", "admit", "refuse", "resolve", "answer", "replay", "place", "finish"}

// String returns the name used in logs, counters and JSON.
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
	// Target is the ID of the member that the decision is about.
	Target   string
	Priority caller.Priority
	// Threshold is the admission threshold that led to an early refusal, or the path
	// threshold of an answer. It is 0 for all other decisions.
	Threshold caller.Priority
	Allowance uint32
	// Wait is the time that the call waited in the admission queue.
	Wait time.Duration
	// SettingsVersion is the version of the settings that the decision is based on.
	SettingsVersion int64
	// LoadAge is the age of the load report that was used to choose the target.
	LoadAge time.Duration
	// Expected is what was expected of the target, if it was chosen by time.
	Expected caller.Expectation
	// RateLimit is the number of calls per second that the backend server takes, or 0
	// without a limit, and RateLimitAge the time since the backend server last named it.
	RateLimit    float64
	RateLimitAge time.Duration
	// Organisation is the name of the organisation that the request belongs to, or empty.
	Organisation string
	// KeyPrefix is the beginning of the digest of an unknown key, or empty.
	KeyPrefix string
	// Bottleneck is the service whose load led to the refusal of a client's request, or empty.
	// Pressure is the number of running and waiting calls per slot there, and Admitted the
	// part of the requests of the same route and criticality that was admitted.
	Bottleneck string
	Pressure   float64
	Admitted   float64
	// End is set if Action is Finish.
	End *End
	// lineWritten reports whether the decision's log line was written.
	lineWritten bool
}

// isRoutine reports whether the decision is a normal step of a call: the choice of a
// target, the admission or the answer of the backend server. The first two have the
// outcome Answered, although there is no answer yet.
func (d *Decision) isRoutine() bool {
	return d.Outcome == caller.Answered && (d.Action == Route || d.Action == Admit || d.Action == Answer)
}

// Recorder logs, counts and stores decisions. Its methods are safe for
// concurrent use.
type Recorder struct {
	log      *logrus.Logger
	node     string
	counters [actionCount][reasonCount]atomic.Int64
	ends     endCounters

	// CallLatency is the time that callers waited for an answer. RunLatency is the
	// time that the backend server took.
	CallLatency *LatencyHistogram
	RunLatency  *LatencyHistogram

	mu   sync.Mutex
	kept *ring
	// routineLines and otherLines limit the rate of log lines.
	routineLines lineLimiter
	otherLines   lineLimiter
	// finishLines is apart, so that refusals under overload do not use it up.
	finishLines lineLimiter
}

// Limits of the rate of log lines. At the size that the system is designed for, a
// node handles about 360 calls per second with a few decisions each. Not all of
// the routine ones need a log line.
const (
	routineLinesPerSecond = 100
	otherLinesPerSecond   = 200
	finishLinesPerSecond  = 50
)

// omittedLines counts the log lines that were omitted at first, including those that
// were written later.
var omittedLines = expvar.NewInt("decisionLinesLeftOut")

// lineLimiter limits the number of log lines in each window of one second.
type lineLimiter struct {
	windowStart time.Time
	lines       int
}

func (l *lineLimiter) allow(now time.Time, perSecond int) bool {
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart = now
		l.lines = 0
	}
	l.lines++
	return l.lines <= perSecond
}

const (
	actionCount = 9
	reasonCount = caller.MaxReason + 1
)

// New returns a Recorder that stores the last size decisions. If log is nil, it
// writes no log lines.
func New(log *logrus.Logger, node string, size int) *Recorder {
	return &Recorder{
		log:         log,
		node:        node,
		kept:        newRing(size),
		CallLatency: NewLatencyHistogram(),
		RunLatency:  NewLatencyHistogram(),
	}
}

// Record logs, counts and stores one decision. Routine decisions have the lower
// rate limit, so their log lines are omitted first. If a decision that is not
// routine follows for the same request, the omitted lines that are still in the
// ring are written with it.
func (r *Recorder) Record(d Decision) {
	d.Time = time.Now()
	r.counters[d.Action][d.Reason].Add(1)
	if d.End != nil {
		r.ends.add(d.End)
	}
	logging := r.log != nil && r.log.IsLevelEnabled(logrus.InfoLevel)
	for _, line := range r.storeAndSelectLines(d, logging) {
		r.writeLine(line)
	}
}

func (r *Recorder) writeLine(d Decision) {
	fields := logrus.Fields{
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
		"settings":  d.SettingsVersion,
		"target":    d.Target,
		"threshold": uint16(d.Threshold),
		"wait":      d.Wait,
	}
	if d.RateLimit > 0 {
		fields["rateLimit"] = d.RateLimit
		fields["rateLimitAge"] = d.RateLimitAge
	}
	if d.Organisation != "" {
		fields["organisation"] = d.Organisation
	}
	if d.KeyPrefix != "" {
		fields["keyDigest"] = d.KeyPrefix
	}
	if d.Expected.Run > 0 {
		fields["expectedWait"] = d.Expected.Wait
		fields["expectedRun"] = d.Expected.Run
		fields["expectedDistance"] = d.Expected.Distance
		fields["expectedSlowdown"] = d.Expected.Slowdown
	}
	if d.Bottleneck != "" {
		fields["bottleneck"] = d.Bottleneck
		fields["pressure"] = d.Pressure
		fields["admitted"] = d.Admitted
	}
	if d.End != nil {
		fields["endedBy"] = d.End.Cause.String()
		fields["attemptTime"] = d.End.AttemptTime
		fields["timeLeft"] = d.End.TimeLeft
		fields["unanswered"] = d.End.Unanswered
		fields["noAttempt"] = string(d.End.NoAttempt)
		if d.End.NoHedge != "" {
			fields["noHedge"] = string(d.End.NoHedge)
		}
		if d.End.Detail != "" {
			fields["detail"] = d.End.Detail
		}
	}
	r.log.WithTime(d.Time).WithFields(fields).Info("decision")
}

// storeAndSelectLines stores the decision and returns the decisions whose log lines
// are to be written now.
func (r *Recorder) storeAndSelectLines(d Decision, logging bool) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []Decision
	if logging {
		lines = r.selectLines(&d)
	}
	r.kept.add(d)
	return lines
}

// selectLines returns the decisions whose log lines are to be written now. It returns
// none if d exceeds its rate limit. If d is not routine, the omitted lines of the same
// request come first. The caller holds r.mu.
func (r *Recorder) selectLines(d *Decision) []Decision {
	switch {
	case d.isRoutine():
		d.lineWritten = r.routineLines.allow(d.Time, routineLinesPerSecond)
	case d.Action == Finish:
		d.lineWritten = r.finishLines.allow(d.Time, finishLinesPerSecond)
	default:
		d.lineWritten = r.otherLines.allow(d.Time, otherLinesPerSecond)
	}
	if !d.lineWritten {
		omittedLines.Add(1)
		return nil
	}
	if d.isRoutine() {
		return []Decision{*d}
	}
	var lines []Decision
	for _, earlier := range r.kept.find(d.RequestID) {
		if !earlier.lineWritten {
			earlier.lineWritten = true
			lines = append(lines, *earlier)
		}
	}
	return append(lines, *d)
}

// Find returns the stored decisions about a request, oldest first.
func (r *Recorder) Find(requestID string) []ExportedDecision {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []ExportedDecision{}
	for _, d := range r.kept.find(requestID) {
		found = append(found, d.Export(r.node))
	}
	return found
}

// Count returns the number of decisions with this action and reason.
func (r *Recorder) Count(action Action, reason caller.Reason) int64 {
	return r.counters[action][reason].Load()
}

// Counters returns all non-zero counters, keyed by "action.reason".
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
