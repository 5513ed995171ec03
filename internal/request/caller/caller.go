// Package caller holds the value types of one call between services: the call,
// its answer, the kinds of refusal and the reasons behind them.
//
// # Usage
//
//	call := &caller.Call{RequestID: id, Service: name, Method: "GET", Path: "/plots/17"}
//	answer := caller.Refuse(caller.NotRun, caller.ReasonOverload)
//	if answer.Outcome == caller.NotRun { ... }
package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Outcome tells what is known about the run of a call.
type Outcome uint8

// The outcomes.
const (
	// Answered means that the backend server gave a whole answer.
	Answered Outcome = iota
	// NotRun means that the backend server provably never saw the call.
	NotRun
	// Unknown means that the call may have run.
	Unknown
	// Ran means that the call ran and its answer is not available.
	Ran
)

var outcomeNames = []string{"answered", "notRun", "unknown", "ran"}

// String returns the written name.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// Reason tells why a decision was taken.
type Reason uint8

// The reasons. The order is part of the protocol between nodes: append only.
const (
	ReasonNone Reason = iota
	ReasonLeaving
	ReasonOverload
	ReasonQueueFull
	ReasonQueueTimeout
	ReasonEvicted
	ReasonDeadline
	ReasonHopeless
	ReasonNoTarget
	ReasonUnreachable
	ReasonBackendUnreachable
	ReasonBackendFailed
	ReasonAllowance
	ReasonRetryBudget
	ReasonTokenNeeded
	ReasonTokenExpired
	ReasonIncarnation
	ReasonTombstone
	ReasonTokenTableFull
	ReasonBodyBroken
	ReasonTimeout
	ReasonCanceled
	ReasonEarlyOverload
	ReasonUnknownService
	ReasonBadRequest
	ReasonReplayed
	ReasonNearest
	ReasonSpill
	ReasonLeastLoaded
	ReasonTokenTarget
	ReasonConnectionLost
	ReasonBodyTooLarge
	ReasonAdmitted
	ReasonQueued
	ReasonTooDeep
	ReasonBulkhead
	ReasonRefusedByBackend
	ReasonNoSettings
	ReasonNoRoute
	ReasonThrottled
)

// MaxReason is the highest reason value that fits the counters of a node; newer
// nodes may send reasons this one has no name for.
const MaxReason = 63

var reasonNames = []string{
	"none", "leaving", "overload", "queueFull", "queueTimeout", "evicted", "deadline", "hopeless",
	"noTarget", "unreachable", "backendUnreachable", "backendFailed", "allowance", "retryBudget",
	"tokenNeeded", "tokenExpired", "incarnation", "tombstone", "tokenTableFull", "bodyBroken",
	"timeout", "canceled", "earlyOverload", "unknownService", "badRequest", "replayed", "nearest",
	"spill", "leastLoaded", "tokenTarget", "connectionLost", "bodyTooLarge", "admitted", "queued",
	"tooDeep", "bulkhead", "refusedByBackend", "noSettings", "noRoute", "throttled",
}

// String returns the written name.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unrecognized"
}

// IsOverload reports whether the reason is a shortage of capacity at the target.
func (r Reason) IsOverload() bool {
	switch r {
	case ReasonOverload, ReasonQueueFull, ReasonQueueTimeout, ReasonEvicted, ReasonHopeless, ReasonEarlyOverload, ReasonBulkhead, ReasonRefusedByBackend:
		return true
	default:
		return false
	}
}

// Priority orders calls for admission: the criticality in the high byte and a
// hash of the request in the low one, so that all calls of one request meet the
// same verdict along the chain.
type Priority uint16

// PriorityLevels is the number of distinct priorities.
const PriorityLevels = 4 << levelBits

const levelBits = 8

// hashEpoch is the time after which requests get new hash levels, so that the
// same clients are not refused for the whole of a long overload.
const hashEpoch = 10 * time.Second

// NewPriority returns the priority of a request at its entry.
func NewPriority(criticality describer.Criticality, requestID string, now time.Time) Priority {
	var epoch [8]byte
	count := now.UnixNano() / int64(hashEpoch)
	for i := range epoch {
		epoch[i] = byte(count >> (8 * i))
	}
	sum := xxhash.New()
	sum.WriteString(requestID)
	sum.Write(epoch[:])
	return Priority(criticality)<<levelBits | Priority(sum.Sum64()&(1<<levelBits-1))
}

// Criticality returns the criticality part.
func (p Priority) Criticality() describer.Criticality {
	return describer.Criticality(p >> levelBits)
}

// Call is one call to one service.
type Call struct {
	RequestID string
	CallID    string
	// ParentID is the call ID of the inbound call this one is made for.
	ParentID   string
	Service    describer.ServiceName
	Route      string
	Method     string
	Path       string
	Header     http.Header
	Priority   Priority
	Idempotent bool
	Deadline   time.Time
	// Allowance is the number of additional attempts the call may still make,
	// its whole subtree together.
	Allowance uint32
	// Hop is 0 for a request from outside.
	Hop uint32
	// Charged tells that an earlier attempt may have run, so that the first
	// attempts of the calls below it count against the allowance.
	Charged bool
	// Attempt counts the attempts of this call, from 0.
	Attempt uint32
	Token   *encoder.Token
	// MaxTargets bounds the backend servers that the call may reach; 0 leaves
	// that to the allowance.
	MaxTargets uint32
	// Instance is the ID of the backend server that the call is meant for;
	// empty means whichever the target's node is beside.
	Instance string
	// CallerService is the service at whose node the call began.
	CallerService string
	// MaxQueueWait is how long the call may wait for a slot; 0 leaves that to the
	// service's settings.
	MaxQueueWait time.Duration
	// Objective is the time within which an answer has its full value; 0 means
	// that none is known.
	Objective time.Duration
	// LoadAge is the age of the load report by which the target was chosen.
	LoadAge time.Duration
	// ResolveOnly asks what became of the token's call without running it.
	ResolveOnly bool
	Zone        string
	Body        *Body
}

// Load is what a target's node tells about its backend server.
type Load struct {
	InFlight  int
	Limit     int
	Queued    int
	Threshold Priority
	Leaving   bool
	// OverloadRatio is the part, from 0 to 1, of what the backend server's calls fail of
	// that is a lack of capacity.
	OverloadRatio float64
	// IsLeaf tells that the backend server makes no calls of its own.
	IsLeaf bool
}

// Utilization returns the share of the limit in use, queue included.
func (l Load) Utilization() float64 {
	if l.Limit <= 0 {
		return 0
	}
	return float64(l.InFlight+l.Queued) / float64(l.Limit)
}

// Answer is the answer to one attempt of a call.
type Answer struct {
	Outcome Outcome
	Reason  Reason
	Status  int
	Header  http.Header
	Load    Load
	// PathThreshold is the highest admission threshold below the call.
	PathThreshold Priority
	// Successor is the token to use after a NotRun refusal of a bound call.
	Successor  *encoder.Token
	RetryAfter time.Duration
	Detail     string
	// ReachedBackend tells that the backend server received the call.
	ReachedBackend bool
	// InternalRoute tells that the call's route is called by backend servers.
	InternalRoute bool
	// Proof is the value by which the backend server shows that the answer is its
	// own; the dialect names its header.
	Proof string
	// Body is nil for refusals. Reading it to io.EOF proves that it is whole.
	Body io.ReadCloser
	// Unspent returns the allowance left over; it is valid after the body.
	Unspent func() uint32
}

// NewRefusal returns an answer without a body.
func NewRefusal(outcome Outcome, reason Reason) *Answer {
	return &Answer{
		Outcome: outcome,
		Reason:  reason,
	}
}

// Close releases the answer's body.
func (a *Answer) Close() {
	if a.Body != nil {
		a.Body.Close()
	}
}

// UnspentAllowance returns the allowance left over, or 0 when it is not known.
func (a *Answer) UnspentAllowance() uint32 {
	if a.Unspent == nil {
		return 0
	}
	return a.Unspent()
}

// Transport carries a call to the node beside a target. An error marked
// ErrNotSent proves that no byte of the call left; any other error leaves the
// outcome unknown.
type Transport interface {
	Call(ctx context.Context, member *encoder.Member, call *Call) (*Answer, error)
}

// Backend runs a call at the local backend server. An error marked ErrNotSent
// proves that the backend server did not see the call.
type Backend interface {
	Do(ctx context.Context, call *Call) (*Answer, error)
}

// Body is a request body whose beginning is kept for further attempts.
type Body struct {
	kept []byte
	rest io.Reader
}

// KeptBodyBytes bounds the part of a request body kept for further attempts.
const KeptBodyBytes = 64 << 10

// NewBody reads up to KeptBodyBytes of r ahead.
func NewBody(r io.Reader) (*Body, error) {
	if r == nil || r == http.NoBody {
		return &Body{}, nil
	}
	kept, err := io.ReadAll(io.LimitReader(r, KeptBodyBytes))
	if err != nil {
		return nil, err
	}
	body := &Body{
		kept: kept,
	}
	if len(kept) == KeptBodyBytes {
		body.rest = r
	}
	return body, nil
}

// Replayable reports whether Reader can be called again.
func (b *Body) Replayable() bool {
	return b == nil || b.rest == nil
}

// Size returns the body's size in bytes, or -1 when it is not known yet.
func (b *Body) Size() int64 {
	if b == nil {
		return 0
	}
	if b.rest != nil {
		return -1
	}
	return int64(len(b.kept))
}

// Reader returns the body from its beginning.
func (b *Body) Reader() io.Reader {
	if b == nil {
		return bytes.NewReader(nil)
	}
	if b.rest == nil {
		return bytes.NewReader(b.kept)
	}
	return io.MultiReader(bytes.NewReader(b.kept), b.rest)
}
