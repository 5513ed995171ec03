// Package dispatcher is the caller's side of a call: it refuses early what
// targets would refuse, chooses a target for each attempt, and decides whether
// another attempt follows.
//
// # Usage
//
//	d := dispatcher.New(dispatcher.Config{...})
//	answer := d.Dispatch(ctx, call)
//	defer answer.Close()
package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/attributor"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/deduplicator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/forecaster"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/retrier"
	"github.com/laburnumshelf/laburnumshelf/internal/request/router"
	"github.com/laburnumshelf/laburnumshelf/internal/request/surveyor"
	"github.com/laburnumshelf/laburnumshelf/internal/request/throttler"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tracker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Retry parameters.
const (
	// MaxHops bounds the depth of a call chain.
	MaxHops = 64
	// RetryRatio bounds the retries of a node to a service as a share of its
	// first attempts.
	RetryRatio      = 0.1
	retryReserve    = 3
	maxRetryBalance = 100
	retryBase       = 5 * time.Millisecond
	retryLimit      = 100 * time.Millisecond
	// maxResolves bounds the questions about one bound call.
	maxResolves  = 4
	resolveBase  = 50 * time.Millisecond
	resolveLimit = time.Second
	// maxAttempts bounds the attempts of one call whatever its allowance.
	maxAttempts = 16
	// ownTokenLifetime is the lifetime of tokens that stay in the node: the
	// longest deadline of a call and the skew between clocks.
	ownTokenLifetime = 20 * time.Second
	// nodeRetries bounds the attempts of one call that reach no backend server.
	nodeRetries = 3
	// overloadedShare is the share of a service's targets that report
	// overload from which the service as a whole counts as overloaded.
	overloadedShare = 0.5
	retryAfter      = time.Second
)

// Switches turns single mechanisms off, for experiments that measure what each
// is worth. The zero value leaves all of them on.
type Switches struct {
	NoEarlyRefusal   bool
	NoRetryAllowance bool
	NoRetryBudget    bool
	NoRetries        bool
}

// Config is what a Dispatcher needs.
type Config struct {
	NodeID    string
	Zone      string
	Region    string
	Transport caller.Transport
	Recorder  *recorder.Recorder
	Inbound   *tracker.Table
	// IssueTokens binds the calls of callers that bring no token to one of the
	// node's own: each such call is made once, by this node alone.
	IssueTokens bool
	// Throttle refuses clients' requests of routes that mostly fail.
	Throttle bool
	Settings func() *describer.Settings
	// RouterLimits is the zero value for the default limits.
	RouterLimits   router.Limits
	RouterSwitches router.Switches
	Switches       Switches
	Rand           *rand.Rand
}

// Dispatcher makes outbound calls. Its methods are safe for concurrent use.
type Dispatcher struct {
	config   Config
	forecast *forecaster.Table
	ledger   *retrier.Ledger
	throttle *throttler.Throttler
	failures *attributor.Table
	survey   *surveyor.Survey

	// mu guards the router and the budgets and is never held during I/O.
	mu      sync.Mutex
	router  *router.Router
	budgets map[describer.ServiceName]*retrier.Budget
	shares  map[describer.ServiceName]*retrier.Share
	limits  map[string]*byteLimiter
	// classes tells the routes that backend servers call, as answers tell it.
	classes map[string]bool
}

// New returns a Dispatcher that knows no targets yet.
func New(config Config) *Dispatcher {
	return &Dispatcher{
		config:   config,
		forecast: forecaster.NewTable(),
		ledger:   retrier.NewLedger(),
		throttle: throttler.New(config.Rand),
		failures: attributor.NewTable(),
		survey:   surveyor.New(),
		classes:  make(map[string]bool),
		router: router.New(router.Config{
			Zone:     config.Zone,
			Region:   config.Region,
			Limits:   config.RouterLimits,
			Switches: config.RouterSwitches,
		}, config.Rand),
		budgets: make(map[describer.ServiceName]*retrier.Budget),
		shares:  make(map[describer.ServiceName]*retrier.Share),
		limits:  make(map[string]*byteLimiter),
	}
}

// Update takes the current announcement of one member.
func (d *Dispatcher) Update(member *encoder.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Update(time.Now(), member)
}

// TargetCount returns the number of targets known.
func (d *Dispatcher) TargetCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.Targets()
}

// NewToken returns a token bound to a target of the service other than the
// excluded member, or nil when there is none.
func (d *Dispatcher) NewToken(service describer.ServiceName, exclude string) *encoder.Token {
	settings := d.config.Settings().Service(service)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	target, _ := d.router.Choose(now, service, router.Constraints{
		Exclude:     []string{exclude},
		CrossRegion: settings.CrossRegion != describer.CrossNever,
	})
	if target == nil {
		return nil
	}
	lifetime := deduplicator.TokenLifetime
	if d.config.IssueTokens {
		lifetime = ownTokenLifetime
	}
	return deduplicator.Mint(now, target.Member.GetId(), target.Member.GetIncarnation(), lifetime)
}

// Dispatch makes one call and all its attempts. The caller reads and closes the
// answer's body.
func (d *Dispatcher) Dispatch(ctx context.Context, call *caller.Call) *caller.Answer {
	a := &attempts{
		d:       d,
		call:    call,
		service: d.config.Settings().Service(call.Service),
	}
	started := time.Now()
	defer func() {
		d.config.Recorder.Calls.Record(time.Since(started))
	}()
	a.parent = d.config.Inbound.Find(call.ParentID)
	if refusal := a.prepare(); refusal != nil {
		return refusal
	}
	if a.parent != nil {
		a.parent.ChildStarted(time.Now())
	}
	answer := a.run(ctx)
	a.learn(ctx, answer)
	a.finish(answer)
	return answer
}

func (d *Dispatcher) budget(service describer.ServiceName) *retrier.Budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	budget := d.budgets[service]
	if budget == nil {
		budget = retrier.NewBudget(RetryRatio, retryReserve, maxRetryBalance)
		d.budgets[service] = budget
	}
	return budget
}

// overloaded reports whether the service as a whole lacks capacity.
func (d *Dispatcher) overloaded(service describer.ServiceName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.OverloadedShare(time.Now(), service) >= overloadedShare
}

func (d *Dispatcher) record(call *caller.Call, action recorder.Action, reason caller.Reason, outcome caller.Outcome, target string, threshold caller.Priority) {
	d.config.Recorder.Record(recorder.Decision{
		RequestID: call.RequestID,
		CallID:    call.CallID,
		Hop:       call.Hop,
		Attempt:   call.Attempt,
		Action:    action,
		Reason:    reason,
		Outcome:   outcome,
		Service:   call.Service,
		Route:     call.Route,
		Target:    target,
		Priority:  call.Priority,
		Threshold: threshold,
		Allowance: call.Allowance,
		Settings:  d.config.Settings().Version,
		LoadAge:   call.LoadAge,
	})
}

// send makes one attempt at a target and observes it.
func (d *Dispatcher) send(ctx context.Context, target *router.Target, member *encoder.Member, call *caller.Call) (*caller.Answer, error) {
	started := time.Now()
	d.mu.Lock()
	d.router.Started(started, target)
	d.mu.Unlock()
	answer, err := d.config.Transport.Call(ctx, member, call)
	now := time.Now()
	observation := router.Observation{
		Route: call.Route,
	}
	if err != nil {
		// A caller that gave up says nothing about the target.
		observation.Failed = !errors.Is(ctx.Err(), context.Canceled) || errors.Is(context.Cause(ctx), errAttemptTimeout)
	} else {
		observation.Load = &answer.Load
		observation.Failed = answer.Reason == caller.ReasonBackendUnreachable || answer.Reason == caller.ReasonBackendFailed
		if answer.Outcome == caller.Answered {
			observation.Latency = now.Sub(started)
		}
		d.forecast.Observe(now, call.Service, call.Route, answer.Load.Threshold, answer.PathThreshold)
	}
	d.mu.Lock()
	d.router.Finished(now, target, observation)
	d.mu.Unlock()
	return answer, err
}
