// Package driver plays the clients of a trace against a fleet and collects what
// they got.
//
// # Usage
//
//	outcome := driver.Run(ctx, trace, fleet, progress)
package driver

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/responder"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/tracer"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Request is one try of a client.
type Request struct {
	ID      string
	Region  int
	Service describer.ServiceName
	Method  string
	Path    string
	Token   string
	Timeout time.Duration
}

// Result is what the client got.
type Result struct {
	// Status is the HTTP status, or 0 without an answer.
	Status int
	// NotRun tells that the refusal promised that nothing ran.
	NotRun bool
	// Token is the token to use for the next try.
	Token string
	// TokenNeeded tells that the token was only issued and nothing was tried.
	TokenNeeded bool
	Body        []byte
}

// Fleet is what a trace runs against.
type Fleet interface {
	// Do makes one try.
	Do(ctx context.Context, request Request) Result
	// Inject starts a fault; the returned function ends it.
	Inject(fault tracer.Fault) func()
	// RunCounter counts the runs at the stand-ins.
	RunCounter() *responder.RunCounter
	// Counters returns how often each decision was taken, by "action.reason".
	Counters() map[string]int64
}

// BucketWidth is the time of one bucket of the course.
const BucketWidth = 500 * time.Millisecond

// Bucket counts the requests that arrived in one window.
type Bucket struct {
	Offered int `json:"offered"`
	// AnsweredFirstTry counts those answered whole at the first try.
	AnsweredFirstTry int `json:"first"`
	// Whole counts the whole answers completed in the window.
	Whole int `json:"whole"`
}

// StreamCounts is the count of one arrival stream.
type StreamCounts struct {
	Name     string
	Critical bool
	Offered  int
	Whole    int
	// TriggerOffered and TriggerWhole concern arrivals during the trigger.
	TriggerOffered int
	TriggerWhole   int
}

// Measurements is what a run showed.
type Measurements struct {
	Streams []StreamCounts
	Buckets []Bucket
	// Tries is the number of tries of all clients.
	Tries int
	// WrongAnswers counts answers that were not whole or not the request's own.
	WrongAnswers int
	// FalseNotRun counts requests that ran although every answer said that
	// they had not.
	FalseNotRun   int
	Totals        responder.Totals
	FirstAttempts int64
	Retries       int64
	// Latency holds the time of whole answers outside the trigger, in
	// microseconds.
	Latency *hdrhistogram.Histogram
}

// ProgressFunc is told the course of a run once a second.
type ProgressFunc func(at time.Duration, offered, whole int)

// Histogram bounds in microseconds.
const (
	maxLatency    = int64(time.Minute / time.Microsecond)
	latencyDigits = 3
)

type run struct {
	trace   *tracer.Trace
	fleet   Fleet
	started time.Time
	clients sync.WaitGroup

	mu      sync.Mutex
	outcome *Measurements
}

// Run plays the trace and returns when every client is done.
func Run(ctx context.Context, trace *tracer.Trace, fleet Fleet, progress ProgressFunc) *Measurements {
	r := &run{
		trace:   trace,
		fleet:   fleet,
		started: time.Now(),
		outcome: &Measurements{
			Streams: make([]StreamCounts, len(trace.Arrivals)),
			Buckets: make([]Bucket, int(trace.Duration/BucketWidth)+1),
			Latency: hdrhistogram.New(1, maxLatency, latencyDigits),
		},
	}
	ctx, cancel := context.WithTimeout(ctx, trace.Duration)
	defer cancel()
	var sources sync.WaitGroup
	for i := range trace.Arrivals {
		r.outcome.Streams[i] = r.class(i)
		sources.Go(func() {
			r.generate(ctx, i)
		})
	}
	sources.Go(func() {
		r.injectAll(ctx)
	})
	sources.Go(func() {
		r.report(ctx, progress)
	})
	sources.Wait()
	r.clients.Wait()
	r.outcome.Totals = fleet.RunCounter().Totals()
	r.outcome.FirstAttempts, r.outcome.Retries = attempts(fleet.Counters())
	return r.outcome
}

// attempts returns the first attempts and the retries among the decisions. A
// question about an earlier attempt follows a retry decision but is no attempt.
func attempts(counters map[string]int64) (first, retries int64) {
	routed := int64(0)
	for name, count := range counters {
		action, _, _ := strings.Cut(name, ".")
		switch action {
		case recorder.Route.String():
			routed += count
		case recorder.Retry.String():
			retries += count
		case recorder.Resolve.String():
			retries -= count
		}
	}
	return routed - retries, retries
}

func (r *run) class(i int) StreamCounts {
	arrival := r.trace.Arrivals[i]
	class := StreamCounts{
		Name: arrival.Name,
	}
	if service := r.trace.Service(arrival.Service); service != nil {
		for _, route := range service.Routes {
			if route.Matches(arrival.Method, arrival.Path) {
				class.Critical = route.Criticality == describer.Critical
			}
		}
	}
	return class
}

// generate starts clients at exponential intervals.
func (r *run) generate(ctx context.Context, i int) {
	arrival := r.trace.Arrivals[i]
	rng := rand.New(rand.NewPCG(r.trace.Seed, uint64(i)))
	next := time.Duration(0)
	for n := 0; ; n++ {
		rate := arrival.PerSecond * r.trace.RateFactor(next)
		next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if next >= r.trace.Duration || !responder.Sleep(ctx, next-time.Since(r.started)) {
			return
		}
		client := client{
			run:     r,
			class:   i,
			arrival: arrival,
			at:      next,
			id:      fmt.Sprintf("%s-%s-%d", r.trace.Name, arrival.Name, n),
			region:  rng.IntN(len(r.trace.Regions)),
			seed:    rng.Uint64(),
		}
		r.clients.Go(func() {
			client.ask(context.WithoutCancel(ctx))
		})
	}
}

func (r *run) injectAll(ctx context.Context) {
	var faults sync.WaitGroup
	for _, fault := range r.trace.Faults {
		faults.Go(func() {
			if !responder.Sleep(ctx, fault.At-time.Since(r.started)) {
				return
			}
			end := r.fleet.Inject(fault)
			responder.Sleep(ctx, fault.Duration)
			end()
		})
	}
	faults.Wait()
}

func (r *run) report(ctx context.Context, progress ProgressFunc) {
	if progress == nil {
		return
	}
	for responder.Sleep(ctx, time.Second) {
		at := time.Since(r.started)
		offered, whole := 0, 0
		r.mu.Lock()
		// The last two whole windows.
		last := int(at / BucketWidth)
		for i := max(last-2, 0); i < last && i < len(r.outcome.Buckets); i++ {
			offered += r.outcome.Buckets[i].Offered
			whole += r.outcome.Buckets[i].Whole
		}
		r.mu.Unlock()
		progress(at, offered, whole)
	}
}

// client is one request with its resends.
type client struct {
	run     *run
	class   int
	arrival tracer.ArrivalStream
	at      time.Duration
	id      string
	region  int
	seed    uint64
}

// ask tries until an answer is whole or the client gives up.
func (c client) ask(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.seed, 0))
	r := c.run
	c.count(func(o *Measurements, class *StreamCounts, bucket *Bucket, inTrigger bool) {
		class.Offered++
		bucket.Offered++
		if inTrigger {
			class.TriggerOffered++
		}
	})
	token := ""
	onlyNotRun := true
	for try := 0; try <= c.arrival.Resends; try++ {
		started := time.Now()
		result := c.try(ctx, token)
		if result.TokenNeeded {
			// The token must outlive a try whose answer is lost.
			token = result.Token
			result = c.try(ctx, token)
		}
		if result.Token != "" {
			token = result.Token
		}
		if result.Status == 200 {
			c.whole(result, try, time.Since(started))
			return
		}
		onlyNotRun = onlyNotRun && result.NotRun
		if try < c.arrival.Resends {
			responder.Sleep(ctx, time.Duration((0.5+rng.Float64())*float64(c.arrival.ResendDelay)))
		}
	}
	if onlyNotRun && c.ran() {
		r.mu.Lock()
		r.outcome.FalseNotRun++
		r.mu.Unlock()
	}
}

func (c client) try(ctx context.Context, token string) Result {
	ctx, cancel := context.WithTimeout(ctx, c.arrival.Timeout)
	defer cancel()
	c.run.mu.Lock()
	c.run.outcome.Tries++
	c.run.mu.Unlock()
	return c.run.fleet.Do(ctx, Request{
		ID:      c.id,
		Region:  c.region,
		Service: c.arrival.Service,
		Method:  c.arrival.Method,
		Path:    c.arrival.Path,
		Token:   token,
		Timeout: c.arrival.Timeout,
	})
}

// ran reports whether a non-idempotent request ran at its first service.
func (c client) ran() bool {
	service := c.run.trace.Service(c.arrival.Service)
	for _, route := range service.Routes {
		if route.Matches(c.arrival.Method, c.arrival.Path) && !route.Idempotent {
			return c.run.fleet.RunCounter().RunCount(c.arrival.Service, route.Name, c.id) > 0
		}
	}
	return false
}

func (c client) count(change func(o *Measurements, class *StreamCounts, bucket *Bucket, inTrigger bool)) {
	r := c.run
	r.mu.Lock()
	defer r.mu.Unlock()
	index := min(int(c.at/BucketWidth), len(r.outcome.Buckets)-1)
	change(r.outcome, &r.outcome.Streams[c.class], &r.outcome.Buckets[index], c.inTrigger())
}

func (c client) inTrigger() bool {
	o := c.run.trace.ExpectedOutcomes
	return c.at >= o.TriggerFrom && c.at < o.TriggerTo
}

// whole counts an answer after checking that it is whole and the client's own.
func (c client) whole(result Result, try int, took time.Duration) {
	c.count(func(o *Measurements, class *StreamCounts, bucket *Bucket, inTrigger bool) {
		if !bytes.Equal(result.Body, c.expected()) {
			o.WrongAnswers++
			return
		}
		class.Whole++
		if inTrigger {
			class.TriggerWhole++
		} else if try == 0 {
			o.Latency.RecordValue(min(took.Microseconds(), maxLatency))
		}
		if try == 0 {
			bucket.AnsweredFirstTry++
		}
		now := int(time.Since(c.run.started) / BucketWidth)
		if now < len(o.Buckets) {
			o.Buckets[now].Whole++
		}
	})
}

func (c client) expected() []byte {
	service := c.run.trace.Service(c.arrival.Service)
	for _, route := range service.Routes {
		if route.Matches(c.arrival.Method, c.arrival.Path) {
			return responder.Body(c.id, route.AnswerBytes)
		}
	}
	return nil
}
