// Package driver simulates the clients of a trace: it sends their requests to a
// fleet, injects the faults, and counts the answers.
//
// # Usage
//
//	measurements := driver.Run(ctx, trace, fleet, progress)
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

// Request is one try of a client to get an answer. All tries of a request have the
// same ID.
type Request struct {
	ID      string
	Region  int
	Service describer.ServiceName
	Method  string
	Path    string
	Token   string
	Timeout time.Duration
}

// Result is the result of one try.
type Result struct {
	// Status is the HTTP status, or 0 if no answer arrived.
	Status int
	// NotRun reports whether the answer is a refusal which states that the request
	// did not run.
	NotRun bool
	// Token is the token to use for the next try.
	Token string
	// TokenNeeded reports whether the node only issued a token. The client must
	// repeat the request with that token.
	TokenNeeded bool
	Body        []byte
}

// Fleet is the system under test: the backend servers of a trace, with or without
// the overload control layer.
type Fleet interface {
	// Do sends a request once.
	Do(ctx context.Context, request Request) Result
	// Inject starts a fault and returns a function that ends it.
	Inject(fault tracer.Fault) func()
	// RunCounter returns the counter of runs at the simulated backend servers.
	RunCounter() *responder.RunCounter
	// Counters returns the number of decisions, keyed by "action.reason".
	Counters() map[string]int64
}

// BucketWidth is the length of the time window that one bucket covers.
const BucketWidth = 500 * time.Millisecond

// Bucket holds the counts of one time window.
type Bucket struct {
	// Offered counts the requests that arrived in the window.
	Offered int `json:"offered"`
	// AnsweredFirstTry counts the requests that arrived in the window and whose
	// first try got a whole answer.
	AnsweredFirstTry int `json:"first"`
	// Whole counts the whole answers that were completed in the window.
	Whole int `json:"whole"`
}

// StreamCounts counts the requests of one arrival stream.
type StreamCounts struct {
	Name     string
	Critical bool
	Offered  int
	Whole    int
	// TriggerOffered and TriggerWhole count only the requests that arrived during
	// the trigger.
	TriggerOffered int
	TriggerWhole   int
}

// Measurements holds the measured values of a run.
type Measurements struct {
	Streams []StreamCounts
	Buckets []Bucket
	// WrongAnswers counts answers with status 200 that were truncated or belonged
	// to another request.
	WrongAnswers int
	// FalseNotRun counts non-idempotent requests that ran although every answer
	// stated that they had not.
	FalseNotRun   int
	Totals        responder.Totals
	FirstAttempts int64
	Retries       int64
	// Latency holds the latencies, in microseconds, of whole first-try answers to
	// requests that arrived outside the trigger.
	Latency *hdrhistogram.Histogram
}

// ProgressFunc is called once a second. It receives the time since the start of
// the run, and the requests offered and answered whole in the last second.
type ProgressFunc func(at time.Duration, offered, whole int)

// maxLatency is the largest recorded latency in microseconds, and latencyDigits is
// the number of significant digits of the histogram.
const (
	maxLatency    = int64(time.Minute / time.Microsecond)
	latencyDigits = 3
)

type run struct {
	trace   *tracer.Trace
	fleet   Fleet
	started time.Time
	clients sync.WaitGroup

	mu           sync.Mutex
	measurements *Measurements
}

// Run runs the trace against the fleet. It returns when every client has its
// answer or has given up.
func Run(ctx context.Context, trace *tracer.Trace, fleet Fleet, progress ProgressFunc) *Measurements {
	r := &run{
		trace:   trace,
		fleet:   fleet,
		started: time.Now(),
		measurements: &Measurements{
			Streams: make([]StreamCounts, len(trace.Arrivals)),
			Buckets: make([]Bucket, int(trace.Duration/BucketWidth)+1),
			Latency: hdrhistogram.New(1, maxLatency, latencyDigits),
		},
	}
	ctx, cancel := context.WithTimeout(ctx, trace.Duration)
	defer cancel()
	var generators sync.WaitGroup
	for i := range trace.Arrivals {
		r.measurements.Streams[i] = r.streamCounts(i)
		generators.Go(func() {
			r.generateArrivals(ctx, i)
		})
	}
	generators.Go(func() {
		r.injectAll(ctx)
	})
	generators.Go(func() {
		r.reportProgress(ctx, progress)
	})
	generators.Wait()
	r.clients.Wait()
	r.measurements.Totals = fleet.RunCounter().Totals()
	r.measurements.FirstAttempts, r.measurements.Retries = countAttempts(fleet.Counters())
	return r.measurements
}

// countAttempts returns the numbers of first attempts and of retries. A call that
// asks for the outcome of an earlier attempt is counted as a retry decision, but is
// not an attempt. The count of resolve decisions is therefore subtracted.
func countAttempts(counters map[string]int64) (first, retries int64) {
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

// streamCounts returns empty counts for the arrival stream with index i.
func (r *run) streamCounts(i int) StreamCounts {
	arrival := r.trace.Arrivals[i]
	streamCounts := StreamCounts{
		Name: arrival.Name,
	}
	if service := r.trace.Service(arrival.Service); service != nil {
		for _, route := range service.Routes {
			if route.Matches(arrival.Method, arrival.Path) {
				streamCounts.Critical = route.Criticality == describer.Critical
			}
		}
	}
	return streamCounts
}

// generateArrivals starts the clients of an arrival stream. The intervals between
// them are exponentially distributed.
func (r *run) generateArrivals(ctx context.Context, i int) {
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
			stream:  i,
			arrival: arrival,
			at:      next,
			id:      fmt.Sprintf("%s-%s-%d", r.trace.Name, arrival.Name, n),
			region:  rng.IntN(len(r.trace.Regions)),
			seed:    rng.Uint64(),
		}
		r.clients.Go(func() {
			client.sendWithResends(context.WithoutCancel(ctx))
		})
	}
}

// injectAll starts and ends each fault at its time.
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

// reportProgress calls progress once a second.
func (r *run) reportProgress(ctx context.Context, progress ProgressFunc) {
	if progress == nil {
		return
	}
	for responder.Sleep(ctx, time.Second) {
		at := time.Since(r.started)
		offered, whole := 0, 0
		r.mu.Lock()
		// The last two complete windows.
		last := int(at / BucketWidth)
		for i := max(last-2, 0); i < last && i < len(r.measurements.Buckets); i++ {
			offered += r.measurements.Buckets[i].Offered
			whole += r.measurements.Buckets[i].Whole
		}
		r.mu.Unlock()
		progress(at, offered, whole)
	}
}

// client sends one request of an arrival stream, and sends it again after
// failures.
type client struct {
	run     *run
	stream  int
	arrival tracer.ArrivalStream
	// at is the arrival time as an offset from the start of the run.
	at     time.Duration
	id     string
	region int
	seed   uint64
}

// sendWithResends sends the request until an answer has status 200 or no resend is
// left.
func (c client) sendWithResends(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.seed, 0))
	r := c.run
	c.updateCounts(func(m *Measurements, stream *StreamCounts, bucket *Bucket, inTrigger bool) {
		stream.Offered++
		bucket.Offered++
		if inTrigger {
			stream.TriggerOffered++
		}
	})
	token := ""
	onlyNotRun := true
	for try := 0; try <= c.arrival.Resends; try++ {
		started := time.Now()
		result := c.try(ctx, token)
		if result.TokenNeeded {
			// Later tries need the token even if the answer to this try is lost.
			token = result.Token
			result = c.try(ctx, token)
		}
		if result.Token != "" {
			token = result.Token
		}
		if result.Status == 200 {
			c.recordAnswer(result, try, time.Since(started))
			return
		}
		onlyNotRun = onlyNotRun && result.NotRun
		if try < c.arrival.Resends {
			responder.Sleep(ctx, time.Duration((0.5+rng.Float64())*float64(c.arrival.ResendDelay)))
		}
	}
	if onlyNotRun && c.ranAtService() {
		r.mu.Lock()
		r.measurements.FalseNotRun++
		r.mu.Unlock()
	}
}

// try sends the request once.
func (c client) try(ctx context.Context, token string) Result {
	ctx, cancel := context.WithTimeout(ctx, c.arrival.Timeout)
	defer cancel()
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

// ranAtService reports whether the request is non-idempotent and ran at the
// service that the client called.
func (c client) ranAtService() bool {
	service := c.run.trace.Service(c.arrival.Service)
	for _, route := range service.Routes {
		if route.Matches(c.arrival.Method, c.arrival.Path) && !route.Idempotent {
			return c.run.fleet.RunCounter().RunCount(c.arrival.Service, route.Name, c.id) > 0
		}
	}
	return false
}

// updateCounts calls update with the counts that the request belongs to, while it
// holds the lock.
func (c client) updateCounts(update func(m *Measurements, stream *StreamCounts, bucket *Bucket, inTrigger bool)) {
	r := c.run
	r.mu.Lock()
	defer r.mu.Unlock()
	index := min(int(c.at/BucketWidth), len(r.measurements.Buckets)-1)
	update(r.measurements, &r.measurements.Streams[c.stream], &r.measurements.Buckets[index], c.inTrigger())
}

// inTrigger reports whether the request arrived during the trigger.
func (c client) inTrigger() bool {
	bounds := c.run.trace.ExpectedOutcomes
	return c.at >= bounds.TriggerFrom && c.at < bounds.TriggerTo
}

// recordAnswer counts an answer. An answer without the expected body is counted as
// wrong.
func (c client) recordAnswer(result Result, try int, took time.Duration) {
	c.updateCounts(func(m *Measurements, stream *StreamCounts, bucket *Bucket, inTrigger bool) {
		if !bytes.Equal(result.Body, c.expectedBody()) {
			m.WrongAnswers++
			return
		}
		stream.Whole++
		if inTrigger {
			stream.TriggerWhole++
		} else if try == 0 {
			m.Latency.RecordValue(min(took.Microseconds(), maxLatency))
		}
		if try == 0 {
			bucket.AnsweredFirstTry++
		}
		now := int(time.Since(c.run.started) / BucketWidth)
		if now < len(m.Buckets) {
			m.Buckets[now].Whole++
		}
	})
}

// expectedBody returns the body of a correct answer.
func (c client) expectedBody() []byte {
	service := c.run.trace.Service(c.arrival.Service)
	for _, route := range service.Routes {
		if route.Matches(c.arrival.Method, c.arrival.Path) {
			return responder.Body(c.id, route.AnswerBytes)
		}
	}
	return nil
}
