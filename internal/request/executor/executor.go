// Package executor is the target's side of a call: it judges the token, admits
// the call, runs it at the local backend server and tells the caller's node
// what became of it.
//
// # Usage
//
//	e := executor.New(executor.Config{...})
//	answer := e.Execute(ctx, call)
//	defer answer.Close()
//	e.Leave()
package executor

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/admitter"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/classifier"
	"github.com/laburnumshelf/laburnumshelf/internal/request/deduplicator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tracker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// retryAfter is what a refused caller is told to wait.
const retryAfter = time.Second

// Config is what an Executor needs.
type Config struct {
	// ID and Incarnation identify the target.
	ID          string
	Incarnation uint64
	Service     describer.ServiceName
	// Slots is the announced number of calls the backend server runs at once.
	Slots int
	// Registers tells that the backend server announces itself: calls run only
	// while SetBackend has named one that takes them.
	Registers bool
	Backend   caller.Backend
	Recorder  *recorder.Recorder
	Inbound   *tracker.Table
	Settings  func() *describer.Settings
	// NewSuccessor mints a token for another target of the service, or nil.
	NewSuccessor func() *encoder.Token
	// Downstream knows the calls that the backend server makes; nil where they name the
	// call that they are made for.
	Downstream DownstreamMonitor
	Switches   admitter.Switches
}

// DownstreamMonitor is what is known of the calls that the backend server makes, where they do
// not name the call that they are made for.
type DownstreamMonitor interface {
	// Ran counts a run.
	Ran(now time.Time)
	// Strain is the part of what they fail of that is a lack of capacity.
	Strain(now time.Time) float64
	// Leaf tells that the backend server is known to make none.
	Leaf(now time.Time) bool
}

// Executor runs inbound calls. Its methods are safe for concurrent use.
type Executor struct {
	config Config

	// classes tells the routes that backend servers call.
	classes *classifier.Table

	// mu guards the fields below and is never held during I/O.
	mu       sync.Mutex
	admitter *admitter.Admitter
	tokens   *deduplicator.Table
	expected map[string]expectation
	leaving  bool
	// instance is the registered backend server; empty while there is none.
	instance string
	slots    int
	open     int
	idle     chan struct{}
}

// New returns an Executor.
func New(config Config) *Executor {
	e := &Executor{
		config:   config,
		tokens:   deduplicator.New(config.ID, config.Incarnation, deduplicator.DefaultLimits()),
		expected: make(map[string]expectation),
		slots:    config.Slots,
		classes:  classifier.NewTable(),
	}
	e.admitter = admitter.New(e.admission(), config.Switches, time.Now())
	return e
}

// Leave refuses new calls from now on.
func (e *Executor) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Idle returns a channel that is closed once no call is open.
func (e *Executor) Idle() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.idle == nil {
		e.idle = make(chan struct{})
		if e.open == 0 {
			close(e.idle)
		}
	}
	return e.idle
}

// OpenCalls returns the number of calls that are not answered in full.
func (e *Executor) OpenCalls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open
}

// Load returns the target's load.
func (e *Executor) Load() caller.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.admitter.Load()
	load.Leaving = e.leaving
	if below := e.config.Downstream; below != nil {
		now := time.Now()
		load.OverloadRatio = below.Strain(now)
		load.IsLeaf = below.Leaf(now)
	}
	return load
}

// Execute runs one inbound call. The caller reads and closes the answer's body.
func (e *Executor) Execute(ctx context.Context, call *caller.Call) *caller.Answer {
	e.enter()
	answer := e.judge(ctx, call)
	answer.Load = e.Load()
	if call.CallerService != "" {
		answer.InternalRoute = e.classes.Observe(call.Route, call.CallerService)
	}
	unspent := answer.Unspent
	if unspent == nil {
		answer.Unspent = func() uint32 {
			return call.Allowance
		}
	}
	if answer.Body == nil {
		e.exit()
		return answer
	}
	answer.Body = &closeOnce{
		ReadCloser: answer.Body,
		onClose:    e.exit,
	}
	return answer
}

func (e *Executor) enter() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open++
}

func (e *Executor) exit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open--
	if e.open == 0 && e.idle != nil && e.leaving {
		select {
		case <-e.idle:
		default:
			close(e.idle)
		}
	}
}

func (e *Executor) judge(ctx context.Context, call *caller.Call) *caller.Answer {
	if call.Token == nil {
		return e.admitAndRun(ctx, call, nil)
	}
	e.mu.Lock()
	entry, verdict := e.tokens.Begin(time.Now(), call.Token, call.ResolveOnly)
	e.mu.Unlock()
	switch verdict {
	case deduplicator.Run:
		return e.admitAndRun(ctx, call, entry)
	case deduplicator.WrongIncarnation:
		return e.refuse(call, caller.Unknown, caller.ReasonIncarnation)
	case deduplicator.Expired:
		return e.refuse(call, caller.Unknown, caller.ReasonTokenExpired)
	case deduplicator.TableFull:
		return e.refuse(call, caller.Unknown, caller.ReasonTokenTableFull)
	case deduplicator.Wait:
		return e.await(ctx, call, entry)
	default:
		return e.remembered(call, entry)
	}
}

// refuse answers without running the call.
func (e *Executor) refuse(call *caller.Call, outcome caller.Outcome, reason caller.Reason) *caller.Answer {
	e.record(call, recorder.Refuse, reason, outcome, 0)
	answer := caller.NewRefusal(outcome, reason)
	answer.RetryAfter = retryAfter
	return answer
}

func (e *Executor) admitAndRun(ctx context.Context, call *caller.Call, entry *deduplicator.Entry) *caller.Answer {
	ticket, reason := e.admit(ctx, call)
	if reason != caller.ReasonAdmitted {
		return e.refuseBound(call, entry, reason)
	}
	if !e.current(call) {
		// The backend server left while the call was queued.
		e.mu.Lock()
		e.admitter.Release(time.Now(), ticket, 0, false)
		e.mu.Unlock()
		return e.refuseBound(call, entry, caller.ReasonLeaving)
	}
	e.record(call, recorder.Admit, caller.ReasonAdmitted, caller.Answered, ticket.QueueWait())
	return e.run(ctx, call, entry, ticket)
}

// run sends an admitted call to the backend server.
func (e *Executor) run(ctx context.Context, call *caller.Call, entry *deduplicator.Entry, ticket *admitter.Ticket) *caller.Answer {
	if entry != nil {
		// A call that must not run twice is not cut when its caller goes: the
		// outcome stays available to whoever asks with the token.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	inbound := e.config.Inbound.Add(call)
	if e.config.Downstream != nil {
		e.config.Downstream.Ran(time.Now())
	}
	answer, err := e.config.Backend.Do(ctx, call)
	release := func(failed bool) {
		e.release(call, inbound, ticket, failed)
		cancel()
	}
	if err != nil {
		reason := failure(ctx, err)
		release(overloadError(ctx, err))
		return e.backendError(call, entry, reason, err)
	}
	if answer.Outcome == caller.NotRun {
		release(answer.Reason.IsOverload())
		refused := e.refuseBound(call, entry, answer.Reason)
		refused.ReachedBackend = true
		return refused
	}
	answer.PathThreshold = inbound.PathThreshold()
	answer.Unspent = inbound.Pool.Remaining
	failed := answer.Status == 503 || answer.Status == 429
	answer.Body = &closeOnce{
		ReadCloser: answer.Body,
		onClose: func() {
			release(failed && !inbound.HasFailedChild())
		},
	}
	if entry != nil {
		return e.keep(entry, answer)
	}
	return answer
}

// overloadError reports whether a failed run is a sign of overload.
func overloadError(ctx context.Context, err error) bool {
	return errors.Is(err, caller.ErrNotSent) || ctx.Err() == nil
}

// release ends a run.
func (e *Executor) release(call *caller.Call, inbound *tracker.Inbound, ticket *admitter.Ticket, failed bool) {
	now := time.Now()
	e.config.Inbound.Remove(call.CallID)
	total := now.Sub(ticket.StartTime())
	e.config.Recorder.RunLatency.Record(total)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admitter.Release(now, ticket, inbound.ChildWaitTime(now), failed)
	e.expected[call.Route] = e.expected[call.Route].learn(now, total)
}

// failure returns why a run failed; ctx is that of the run, not yet ended by it.
func failure(ctx context.Context, err error) caller.Reason {
	switch {
	case errors.Is(err, caller.ErrNotSent):
		return caller.ReasonBackendUnreachable
	case errors.Is(err, caller.ErrBadBody):
		return caller.ReasonBodyBroken
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return caller.ReasonTimeout
	case ctx.Err() != nil:
		return caller.ReasonCanceled
	default:
		return caller.ReasonBackendFailed
	}
}

// backendError turns a failed run into a refusal.
func (e *Executor) backendError(call *caller.Call, entry *deduplicator.Entry, reason caller.Reason, err error) *caller.Answer {
	if reason == caller.ReasonBackendUnreachable {
		answer := e.refuseBound(call, entry, reason)
		answer.Detail = err.Error()
		return answer
	}
	answer := e.refuse(call, caller.Unknown, reason)
	answer.Detail = err.Error()
	answer.ReachedBackend = true
	if entry != nil {
		e.finish(entry, deduplicator.StoredAnswer{
			Answer: *answer,
		})
	}
	return answer
}

func (e *Executor) record(call *caller.Call, action recorder.Action, reason caller.Reason, outcome caller.Outcome, wait time.Duration) {
	e.config.Recorder.Record(recorder.Decision{
		RequestID: call.RequestID,
		CallID:    call.CallID,
		Hop:       call.Hop,
		Attempt:   call.Attempt,
		Action:    action,
		Reason:    reason,
		Outcome:   outcome,
		Service:   call.Service,
		Route:     call.Route,
		Target:    e.config.ID,
		Priority:  call.Priority,
		Allowance: call.Allowance,
		Settings:  e.config.Settings().Version,
		Wait:      wait,
	})
}

// closeOnce runs onClose at the first Close.
type closeOnce struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

// Close implements io.Closer.
func (c *closeOnce) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.onClose)
	return err
}

// prefixedBody reads a prefix before the rest of a body.
type prefixedBody struct {
	io.Reader
	closer io.Closer
}

// Close implements io.Closer.
func (p *prefixedBody) Close() error {
	return p.closer.Close()
}
