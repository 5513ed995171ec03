// Package executor handles a call at its target: it checks the token, admits the
// call, runs it at the local backend server and returns the outcome to the caller's
// node.
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
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/accountant"
	"github.com/laburnumshelf/laburnumshelf/internal/request/admitter"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/classifier"
	"github.com/laburnumshelf/laburnumshelf/internal/request/deduplicator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/surveyor"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tracker"
	"github.com/laburnumshelf/laburnumshelf/internal/request/weigher"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// maxSpeedReportAge is the age at which a backend server counts as one that does not report its
// speed.
const maxSpeedReportAge = 10 * time.Second

// retryAfter is the delay before a retry that a refusal tells the caller.
const retryAfter = time.Second

// Config holds the settings and dependencies of an Executor.
type Config struct {
	// ID and Incarnation identify the target.
	ID          string
	Incarnation uint64
	Service     describer.ServiceName
	// Slots is the announced number of calls that the backend server runs at once.
	Slots int
	// Registers means that the backend server registers itself: calls run only while
	// SetBackend has set an instance that takes them.
	Registers bool
	Backend   caller.Backend
	Recorder  *recorder.Recorder
	Inbound   *tracker.Table
	Settings  func() *describer.Settings
	// NewSuccessor returns a new token for another target of the service, or nil if
	// there is none. The function may be nil.
	NewSuccessor func() *encoder.Token
	// Downstream monitors the calls that the backend server makes. It is nil if these
	// calls name their parent call.
	Downstream DownstreamMonitor
	// BalancesByWork reports whether the deployment balances load by work although the backend
	// server may not report its speed. It may be nil.
	BalancesByWork func() bool
	// OnNotice is called when the backend server says something new of itself. It may be
	// nil.
	OnNotice func(NoticeChange)
	// Budget bounds the memory of the process that grows with its calls. It may be nil.
	Budget   *weigher.Budget
	Switches admitter.Switches
}

// DownstreamMonitor observes the calls that the backend server makes, where these
// calls do not name their parent call.
type DownstreamMonitor interface {
	// RecordRun records a run at the backend server, and whether it is a repeat.
	RecordRun(now time.Time, repeat bool)
	// OverloadRatio returns the part, from 0 to 1, of the failures of these calls
	// that is due to a lack of capacity.
	OverloadRatio(now time.Time) float64
	// IsLeaf reports whether the backend server is known to belong to a leaf service,
	// which makes no calls of its own.
	IsLeaf(now time.Time) bool
	// Pressure returns the utilization of the fullest service downstream of the
	// backend server.
	Pressure(now time.Time) float64
	// Paths tells which calls the runs of each route make.
	Paths() *surveyor.Paths
}

// Executor runs inbound calls. Its methods are safe for concurrent use.
type Executor struct {
	config Config

	// classifier detects the internal routes: those that backend servers call.
	classifier *classifier.Table

	// mu guards the fields below and is never held during I/O.
	mu          sync.Mutex
	admitter    *admitter.Admitter
	account     *accountant.Account
	tokens      *deduplicator.Table
	minRunTimes map[string]minRunTime
	leaving     bool
	// instance is the registered backend server, or empty if there is none.
	instance string
	// lastInstance is the last backend server that was registered, and lastBorn the time of
	// its start. starts counts the starts that were registered.
	lastInstance string
	lastBorn     time.Time
	starts       int
	slots        int
	rate         rateLimit
	// speedReported is the time at which the backend server last reported its speed.
	speedReported time.Time
	// backendLeaving reports whether lastInstance said in an answer that it leaves.
	backendLeaving bool
	// reportsSpeed reports whether the last load report had a slowdown. Paths are recorded
	// and reported only then.
	reportsSpeed atomic.Bool
	// open is the number of calls whose answer is not yet complete.
	open int
	// idle is the channel that Idle returns, or nil before the first Idle.
	idle chan struct{}
}

// New returns an Executor.
func New(config Config) *Executor {
	limits := deduplicator.DefaultLimits()
	limits.Budget = config.Budget
	e := &Executor{
		config:      config,
		tokens:      deduplicator.New(config.ID, config.Incarnation, limits),
		minRunTimes: make(map[string]minRunTime),
		slots:       config.Slots,
		classifier:  classifier.NewTable(),
		account:     accountant.New(),
	}
	e.admitter = admitter.New(e.admissionConfig(), config.Switches, time.Now())
	return e
}

// Leave makes the executor refuse new calls.
func (e *Executor) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Idle returns a channel that is closed once no call is open. Call it after Leave:
// before Leave, the end of the last call does not close the channel.
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

// OpenCalls returns the number of calls whose answer is not yet complete.
func (e *Executor) OpenCalls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open
}

// Load returns the current load of the target.
func (e *Executor) Load() caller.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens.RemoveExpired(time.Now())
	load := e.admitter.Load()
	load.Leaving = e.leaving
	load.RateLimit = e.rate.perSecond
	load.RateLimitKnown = e.rate.answered || e.rate.perSecond > 0
	load.BackendLeaving = e.backendLeaving
	load.Pressure = load.Utilization()
	load.Work, load.Slowdown = e.account.Report(time.Now())
	load.SpeedReported = load.Slowdown > 0 && time.Since(e.speedReported) < maxSpeedReportAge
	if downstream := e.config.Downstream; downstream != nil {
		now := time.Now()
		load.OverloadRatio = downstream.OverloadRatio(now)
		load.IsLeaf = downstream.IsLeaf(now)
		load.Pressure = max(load.Pressure, downstream.Pressure(now))
	}
	return load
}

// Execute runs one inbound call. The caller reads and closes the answer's body.
func (e *Executor) Execute(ctx context.Context, call *caller.Call) *caller.Answer {
	e.enter()
	answer := e.deduplicate(ctx, call)
	answer.Load = e.Load()
	e.reportPath(call.Route, &answer.Load)
	if call.CallerService != "" {
		answer.InternalRoute = e.classifier.Observe(call.Route, call.CallerService)
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

// deduplicate runs a call without a token, or the first copy of a call with one.
// Further copies get the result of the first.
func (e *Executor) deduplicate(ctx context.Context, call *caller.Call) *caller.Answer {
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
		return e.fail(call, caller.Unknown, caller.ReasonIncarnation)
	case deduplicator.Expired:
		return e.fail(call, caller.Unknown, caller.ReasonTokenExpired)
	case deduplicator.TableFull:
		return e.fail(call, caller.Unknown, caller.ReasonTokenTableFull)
	case deduplicator.Wait:
		return e.awaitResult(ctx, call, entry)
	default:
		return e.answerFromEntry(call, entry)
	}
}

// fail records a call that is refused or failed, with the action Refuse, and returns
// an answer without a body that states the outcome and the reason.
func (e *Executor) fail(call *caller.Call, outcome caller.Outcome, reason caller.Reason) *caller.Answer {
	e.record(call, recorder.Refuse, reason, outcome, 0)
	answer := caller.NewFailure(outcome, reason)
	answer.RetryAfter = retryAfter
	return answer
}

func (e *Executor) admitAndRun(ctx context.Context, call *caller.Call, entry *deduplicator.Entry) *caller.Answer {
	e.adoptRateLimit(call)
	work := e.submitWork(call)
	ticket, reason := e.admit(ctx, call)
	if reason != caller.ReasonAdmitted {
		e.dropWork(work)
		refused := e.refuseNotRun(call, entry, reason)
		if reason == caller.ReasonRateLimited {
			refused.RetryAfter = ticket.RetryAfter
		}
		return refused
	}
	start, current := e.currentStart(call)
	if !current {
		// The backend server left while the call was queued.
		e.mu.Lock()
		e.admitter.Release(time.Now(), ticket, 0, false)
		e.mu.Unlock()
		e.dropWork(work)
		return e.refuseNotRun(call, entry, caller.ReasonLeaving)
	}
	// This decision is recorded before the run, always with the outcome Answered.
	e.record(call, recorder.Admit, caller.ReasonAdmitted, caller.Answered, ticket.QueueWait())
	e.startWork(work, ticket)
	return e.run(ctx, call, entry, ticket, work, start)
}

// run sends an admitted call to the given start of the backend server and returns the answer.
func (e *Executor) run(ctx context.Context, call *caller.Call, entry *deduplicator.Entry, ticket *admitter.Ticket, work *accountant.Call, start int) *caller.Answer {
	if entry != nil {
		// A call that must run at most once continues when its caller disconnects, so
		// that any holder of the token can still ask for the outcome.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	inbound := e.config.Inbound.Add(call)
	if e.config.Downstream != nil {
		e.config.Downstream.RecordRun(time.Now(), call.Charged)
	}
	finishPath := e.startPath(call.Route)
	answer, err := e.config.Backend.Do(ctx, e.guarded(call, start))
	// complete reports whether the run ended with an answer other than a failure.
	complete := false
	release := func(overloaded bool) {
		finishPath()
		e.release(call, inbound, ticket, work, overloaded, complete)
		cancel()
	}
	if err != nil {
		reason := failureReason(ctx, err)
		release(isOverloadError(ctx, err))
		return e.backendError(call, entry, reason, err)
	}
	e.observeNotice(call, start, answer.Notice)
	e.observeServerLoad(start, answer.Notice)
	if answer.Outcome == caller.NotRun {
		release(answer.Reason.IsOverload())
		e.markArrived(entry)
		refused := e.refuseNotRun(call, entry, answer.Reason)
		refused.ReachedBackend = true
		return refused
	}
	complete = answer.Status < 500
	if complete {
		answer.RunTime = e.runTimeOf(ticket)
	}
	answer.PathThreshold = inbound.PathThreshold()
	answer.Unspent = inbound.Pool.Remaining
	overloaded := answer.Status == 503 || answer.Status == 429
	answer.Body = &closeOnce{
		ReadCloser: answer.Body,
		onClose: func() {
			release(overloaded && !inbound.HasFailedChild())
		},
	}
	if entry != nil {
		return e.storeAnswerWithBody(entry, answer)
	}
	return answer
}

// guarded returns the call with a check that the given start of the backend server still takes calls
// when it is sent, which may be long after it got its slot.
func (e *Executor) guarded(call *caller.Call, start int) *caller.Call {
	guarded := *call
	guarded.BeforeSend = func() error {
		if now, current := e.currentStart(call); !current || now != start {
			return caller.ErrLeaving
		}
		return nil
	}
	return &guarded
}

// isOverloadError reports whether the error of a failed run counts as overload. Every
// error does, unless the caller broke off its request body or the context of the run has
// ended; an error marked ErrNotSent counts even then.
func isOverloadError(ctx context.Context, err error) bool {
	if errors.IsAny(err, caller.ErrRequestBody, caller.ErrLeaving) {
		return false
	}
	return errors.Is(err, caller.ErrNotSent) || ctx.Err() == nil
}

// release records the end of a run and frees its slot. overloaded reports whether the
// run failed in a way that counts as overload of the backend server, and complete whether its
// time shows the cost of the call.
func (e *Executor) release(call *caller.Call, inbound *tracker.Inbound, ticket *admitter.Ticket, work *accountant.Call, overloaded, complete bool) {
	now := time.Now()
	e.config.Inbound.Remove(call.CallID)
	runTime := now.Sub(ticket.StartTime())
	e.config.Recorder.RunLatency.Record(runTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishWork(now, work, complete)
	e.admitter.Release(now, ticket, inbound.ChildWaitTime(now), overloaded)
	e.minRunTimes[call.Route] = e.minRunTimes[call.Route].withRun(now, runTime)
}

// failureReason returns the reason why a run failed. ctx is the context of the run,
// before the end of the run cancels it.
func failureReason(ctx context.Context, err error) caller.Reason {
	switch {
	case errors.Is(err, caller.ErrLeaving):
		return caller.ReasonLeaving
	case errors.Is(err, caller.ErrNotSent):
		return caller.ReasonBackendUnreachable
	case errors.Is(err, caller.ErrRequestBody):
		return caller.ReasonBodyBroken
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return caller.ReasonTimeout
	case ctx.Err() != nil:
		return caller.ReasonCanceled
	default:
		return caller.ReasonBackendFailed
	}
}

// backendError returns the answer for a failed run.
func (e *Executor) backendError(call *caller.Call, entry *deduplicator.Entry, reason caller.Reason, err error) *caller.Answer {
	if errors.Is(err, caller.ErrNotSent) {
		answer := e.refuseNotRun(call, entry, reason)
		answer.Detail = err.Error()
		return answer
	}
	answer := e.fail(call, caller.Unknown, reason)
	answer.Detail = err.Error()
	answer.ReachedBackend = true
	if entry != nil {
		e.storeAnswer(entry, deduplicator.StoredAnswer{
			Answer: *answer,
		})
	}
	return answer
}

func (e *Executor) record(call *caller.Call, action recorder.Action, reason caller.Reason, outcome caller.Outcome, wait time.Duration) {
	limit, age := e.rateLimitAge()
	e.config.Recorder.Record(recorder.Decision{
		RequestID:       call.RequestID,
		CallID:          call.CallID,
		Hop:             call.Hop,
		Attempt:         call.Attempt,
		Action:          action,
		Reason:          reason,
		Outcome:         outcome,
		Service:         call.Service,
		Route:           call.Route,
		Target:          e.config.ID,
		Priority:        call.Priority,
		Allowance:       call.Allowance,
		SettingsVersion: e.config.Settings().Version,
		Wait:            wait,
		RateLimit:       limit,
		RateLimitAge:    age,
		Organisation:    call.Organisation,
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

// prefixedBody reads a prefix and then the rest of a body.
type prefixedBody struct {
	io.Reader
	closer io.Closer
}

// Close implements io.Closer.
func (p *prefixedBody) Close() error {
	return p.closer.Close()
}
