// Package dispatcher implements the caller's side of a call. At the entry of the call
// graph, it refuses calls early that targets would refuse. It chooses a target for each
// attempt, and decides whether another attempt follows, or is made beside one that takes
// much longer than usual (see hedge.go).
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
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/attributor"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/deduplicator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/estimator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/forecaster"
	"github.com/laburnumshelf/laburnumshelf/internal/request/gauger"
	"github.com/laburnumshelf/laburnumshelf/internal/request/rationer"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/retrier"
	"github.com/laburnumshelf/laburnumshelf/internal/request/router"
	"github.com/laburnumshelf/laburnumshelf/internal/request/surveyor"
	"github.com/laburnumshelf/laburnumshelf/internal/request/throttler"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tracker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Call parameters.
const (
	// MaxHops bounds the depth of a call chain.
	MaxHops = 64
	// RetryRatio is the maximum ratio of one node's retries to its first attempts at a
	// service, in the long run.
	RetryRatio          = 0.1
	initialRetryBalance = 3
	maxRetryBalance     = 100
	baseRetryDelay      = 5 * time.Millisecond
	maxRetryDelay       = 100 * time.Millisecond
	// maxResolves bounds the resolve queries after one attempt. A resolve query asks
	// the target of the call's token for the outcome of the call.
	maxResolves      = 4
	baseResolveDelay = 50 * time.Millisecond
	maxResolveDelay  = time.Second
	// maxAttempts bounds the attempts of one call, including its resolve queries,
	// whatever its allowance.
	maxAttempts = 16
	// localTokenLifetime is the lifetime of new tokens if Config.IssueTokens is set. It
	// can be short because callers hold no tokens then: it covers only the longest time
	// to a call's deadline plus the clock skew.
	localTokenLifetime = 20 * time.Second
	// maxRetriesWithMaxTargets bounds the retries of a call that sets MaxTargets. It is
	// needed because MaxTargets does not limit attempts that reach no backend server.
	maxRetriesWithMaxTargets = 3
	// minOverloadedFraction is the fraction of a service's targets reporting overload
	// from which the service as a whole counts as overloaded.
	minOverloadedFraction = 0.5
	// defaultRetryAfter is the Retry-After time of refusals by the dispatcher, other
	// than those of throttled requests.
	defaultRetryAfter = time.Second
)

// Switches turns off individual mechanisms, for experiments that measure the effect of
// each. The zero value leaves all of them on.
type Switches struct {
	NoEarlyRefusal   bool
	NoRetryAllowance bool
	NoRetryBudget    bool
	NoRetries        bool
}

// Config holds the parameters and dependencies of a Dispatcher.
type Config struct {
	NodeID    string
	Zone      string
	Region    string
	Transport caller.Transport
	Recorder  *recorder.Recorder
	Inbound   *tracker.Table
	// IssueTokens makes the node issue a token for each non-idempotent call whose
	// caller provides none. Only this node makes attempts with the token. It cannot
	// recognize a call that its caller sends a second time, which gets another token.
	IssueTokens bool
	// Throttle refuses requests of clients on routes that fail often because of
	// overload.
	Throttle bool
	// Quota limits the requests of organisations. It may be nil.
	Quota    Quota
	Settings func() *describer.Settings
	// The zero value of RouterLimits selects the default limits.
	RouterLimits   router.Limits
	RouterSwitches router.Switches
	Switches       Switches
	Rand           *rand.Rand
}

// Dispatcher makes outbound calls. Its methods are safe for concurrent use.
type Dispatcher struct {
	config       Config
	forecast     *forecaster.Table
	poolCache    *retrier.PoolCache
	throttle     *throttler.Throttler
	ration       *rationer.Table
	failures     *attributor.Table
	leafDetector *surveyor.LeafDetector
	gauge        *gauger.Gauge
	paths        *surveyor.Paths
	repeatShare  *retrier.RepeatShare

	// speedReported is the time of the last answer that reported the speed of a backend
	// server, in nanoseconds since 1970.
	speedReported atomic.Int64

	// mu guards throttle, ration and the fields below. It is never held during I/O.
	mu                  sync.Mutex
	router              *router.Router
	retryBudgets        map[describer.ServiceName]*retrier.Budget
	repeatBudgets       map[routeKey]*retrier.DecayingBudget
	crossRegionLimiters map[string]*byteLimiter
	// internalRoutes holds, for each route seen in an answer, whether it is internal,
	// that is, called by backend servers and not by clients.
	internalRoutes map[string]bool
	// serviceNames holds the names of the services that have had members, by the numbers
	// that identify them as bottlenecks.
	serviceNames map[uint32]describer.ServiceName
}

// New returns a Dispatcher without targets.
func New(config Config) *Dispatcher {
	return &Dispatcher{
		config:         config,
		forecast:       forecaster.NewTable(),
		poolCache:      retrier.NewPoolCache(),
		throttle:       throttler.New(config.Rand),
		ration:         rationer.New(config.Rand),
		failures:       attributor.NewTable(),
		leafDetector:   surveyor.New(),
		gauge:          gauger.New(),
		paths:          surveyor.NewPaths(),
		repeatShare:    retrier.NewRepeatShare(),
		internalRoutes: make(map[string]bool),
		serviceNames:   make(map[uint32]describer.ServiceName),
		router: router.New(router.Config{
			Zone:     config.Zone,
			Region:   config.Region,
			Limits:   config.RouterLimits,
			Switches: config.RouterSwitches,
		}, config.Rand),
		retryBudgets:        make(map[describer.ServiceName]*retrier.Budget),
		repeatBudgets:       make(map[routeKey]*retrier.DecayingBudget),
		crossRegionLimiters: make(map[string]*byteLimiter),
	}
}

// Update applies the current announcement of one member.
func (d *Dispatcher) Update(member *encoder.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Update(time.Now(), member)
	if service := router.ServiceOf(member); service.Name != "" {
		d.serviceNames[gauger.ServiceID(service)] = service
	}
}

// TargetCount returns the number of known targets.
func (d *Dispatcher) TargetCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.TargetCount()
}

// NewToken returns a token bound to a target of the service other than the excluded
// member, or nil if there is no such target.
func (d *Dispatcher) NewToken(service describer.ServiceName, exclude string) *encoder.Token {
	return d.newToken(service, exclude, estimator.Key{})
}

// newToken returns a token like NewToken, for a call of the given cost.
func (d *Dispatcher) newToken(service describer.ServiceName, exclude string, cost estimator.Key) *encoder.Token {
	settings := d.config.Settings().Service(service)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	target, _ := d.router.Choose(now, service, router.Constraints{
		Exclude:     []string{exclude},
		CrossRegion: settings.CrossRegion != describer.CrossNever,
		Cost:        cost,
		Cautious:    true,
	})
	if target == nil {
		return nil
	}
	lifetime := deduplicator.TokenLifetime
	if d.config.IssueTokens {
		lifetime = localTokenLifetime
	}
	return deduplicator.NewToken(now, target.Member.GetId(), target.Member.GetIncarnation(), lifetime)
}

// Dispatch makes one call, with all its attempts. The caller must read and close the
// body of the answer.
func (d *Dispatcher) Dispatch(ctx context.Context, call *caller.Call) *caller.Answer {
	o := &outboundCall{
		d:        d,
		call:     call,
		settings: d.config.Settings().Service(call.Service),
	}
	started := time.Now()
	defer func() {
		d.config.Recorder.CallLatency.Record(time.Since(started))
	}()
	o.parent = d.config.Inbound.Find(call.ParentID)
	if refusal := o.prepare(); refusal != nil {
		return refusal
	}
	if refusal := o.takeQuota(ctx); refusal != nil {
		return refusal
	}
	if o.parent != nil {
		o.parent.RecordChildStart(time.Now())
	}
	answer := o.makeAttempts(ctx)
	o.recordEnd(answer)
	o.returnQuota()
	o.recordAnswer(ctx, answer)
	o.finish(answer)
	return answer
}

// maxSpeedReportAge is the time after the last answer with a speed from which no backend server
// counts as reporting one.
const maxSpeedReportAge = 30 * time.Second

// SpeedsReported reports whether recent answers reported the speed of a backend server.
func (d *Dispatcher) SpeedsReported(now time.Time) bool {
	return now.Sub(time.Unix(0, d.speedReported.Load())) < maxSpeedReportAge
}

func (d *Dispatcher) retryBudget(service describer.ServiceName) *retrier.Budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	retryBudget := d.retryBudgets[service]
	if retryBudget == nil {
		retryBudget = retrier.NewBudget(RetryRatio, initialRetryBalance, maxRetryBalance)
		d.retryBudgets[service] = retryBudget
	}
	return retryBudget
}

// overloaded reports whether the service as a whole counts as overloaded.
func (d *Dispatcher) overloaded(service describer.ServiceName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.OverloadedFraction(time.Now(), service) >= minOverloadedFraction
}

func (d *Dispatcher) record(call *caller.Call, action recorder.Action, reason caller.Reason, outcome caller.Outcome, target string, threshold caller.Priority) {
	decision := d.decision(call, action, reason, outcome)
	decision.Target = target
	decision.Threshold = threshold
	d.config.Recorder.Record(decision)
}

// decision returns a decision about the call.
func (d *Dispatcher) decision(call *caller.Call, action recorder.Action, reason caller.Reason, outcome caller.Outcome) recorder.Decision {
	return recorder.Decision{
		RequestID:       call.RequestID,
		CallID:          call.CallID,
		Hop:             call.Hop,
		Attempt:         call.Attempt,
		Action:          action,
		Reason:          reason,
		Outcome:         outcome,
		Service:         call.Service,
		Route:           call.Route,
		Priority:        call.Priority,
		Allowance:       call.Allowance,
		SettingsVersion: d.config.Settings().Version,
		LoadAge:         call.LoadAge,
		Organisation:    call.Organisation,
		Expected:        call.Expected,
	}
}

// send makes one attempt at a target and reports the result to the router. The hedge is nil if no
// other attempt is made beside it.
func (d *Dispatcher) send(ctx context.Context, target *router.Target, member *encoder.Member, call *caller.Call, h *hedge) (*caller.Answer, error) {
	started := time.Now()
	d.mu.Lock()
	d.router.RecordStart(started, target)
	d.mu.Unlock()
	answer, err := d.config.Transport.Call(ctx, member, call)
	now := time.Now()
	observation := router.Observation{
		Route: call.Route,
	}
	if err != nil {
		// A call that its caller canceled is no sign of a faulty target, and an overdue one
		// was recorded before.
		observation.Failed = !errors.Is(ctx.Err(), context.Canceled) && !h.isOverdue()
	} else {
		observation.Load = &answer.Load
		if answer.RunTime > 0 {
			observation.RunTime = answer.RunTime
			observation.Cost = estimator.KeyOf(call)
			observation.Slowdown = call.Expected.Slowdown
		}
		observation.Failed = answer.Reason == caller.ReasonBackendUnreachable || answer.Reason == caller.ReasonBackendFailed
		if answer.Outcome == caller.Answered {
			observation.Latency = h.limitLatency(now.Sub(started))
		}
		if answer.Load.SpeedReported {
			d.speedReported.Store(now.UnixNano())
		}
		d.forecast.Observe(now, call.Service, call.Route, answer.Load.Threshold, answer.PathThreshold)
	}
	d.mu.Lock()
	d.router.RecordFinish(now, target, observation)
	d.mu.Unlock()
	return answer, err
}
