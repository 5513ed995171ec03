package throttler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// The crowd model: entry nodes that share one bottleneck far down the call graph. Nothing
// in a call names the request that caused it, so the bottleneck serves calls in the order of
// arrival. A request fails if one of its calls waits for too long.
const (
	modelNodes = 95
	modelStep  = 10 * time.Millisecond
	// modelLatency is the time from the admission of a request to its result, without
	// the wait at the bottleneck.
	modelLatency = 300 * time.Millisecond
	// The bottleneck has slots that each serve one call in modelCallTime. A call fails
	// if it would wait longer than modelMaxWait.
	modelSlots    = 462
	modelCallTime = 59 * time.Millisecond
	modelMaxWait  = 250 * time.Millisecond
)

// modelKind is a kind of request.
type modelKind struct {
	route  string
	policy Policy
	// rate is the usual number of requests per second of all nodes together.
	rate float64
	// calls is the number of calls at the bottleneck that one request causes.
	calls int
}

// modelResult is the result of a request that reaches its entry node at a later step.
type modelResult struct {
	node     int
	kind     int
	failed   bool
	pressure float64
}

// crowdModel simulates the fleet in steps.
type crowdModel struct {
	kinds   []modelKind
	rng     *rand.Rand
	nodes   []*Throttler
	now     time.Time
	step    int
	queue   float64
	results map[int][]modelResult
	// resends counts the requests of each kind that clients send again in the next step.
	resends []int
	// resendRatio is the part of the refused requests that clients send again at once.
	resendRatio float64
	// smoothed is the utilization as the nodes between the bottleneck and the entry
	// report it.
	smoothed float64
}

func newCrowdModel(kinds []modelKind) *crowdModel {
	m := &crowdModel{
		kinds:   kinds,
		rng:     rand.New(rand.NewPCG(1, 2)),
		now:     time.Unix(1_800_000_000, 0),
		results: make(map[int][]modelResult),
		resends: make([]int, len(kinds)),
	}
	for range modelNodes {
		m.nodes = append(m.nodes, New(m.rng))
	}
	return m
}

// run simulates a length of time with the given multiple of the usual demand. It returns the
// fraction of the requests of each kind that were served, without resent ones.
func (m *crowdModel) run(length time.Duration, demand float64) []float64 {
	offered, served := make([]float64, len(m.kinds)), make([]float64, len(m.kinds))
	for end := m.now.Add(length); m.now.Before(end); {
		m.advance(demand, offered, served)
	}
	for i := range served {
		served[i] /= math.Max(offered[i], 1)
	}
	return served
}

func (m *crowdModel) advance(demand float64, offered, served []float64) {
	m.now = m.now.Add(modelStep)
	m.step++
	for _, result := range m.results[m.step] {
		node, ratio := m.nodes[result.node], 0.0
		if result.failed {
			ratio = 1
		} else {
			served[result.kind]++
		}
		node.RecordPressure(m.now, m.kinds[result.kind].route, result.pressure)
		node.RecordResult(m.now, m.kinds[result.kind].route, ratio)
	}
	delete(m.results, m.step)
	admitted := make([][]int, len(m.kinds))
	calls := 0.0
	for i, kind := range m.kinds {
		count := m.poisson(kind.rate * demand * modelStep.Seconds())
		offered[i] += float64(count)
		count += m.resends[i]
		m.resends[i] = 0
		for range count {
			node := m.rng.IntN(modelNodes)
			if m.nodes[node].Admit(m.now, kind.route, kind.policy) {
				admitted[i] = append(admitted[i], node)
				calls += float64(kind.calls)
			} else if m.rng.Float64() < m.resendRatio {
				m.resends[i]++
			}
		}
	}
	m.finish(admitted, calls)
}

// finish passes calls to the bottleneck and schedules the results of their requests.
func (m *crowdModel) finish(admitted [][]int, calls float64) {
	capacity := modelSlots * modelStep.Seconds() / modelCallTime.Seconds()
	room := capacity + modelMaxWait.Seconds()*modelSlots/modelCallTime.Seconds() - m.queue
	failed := 0.0
	if calls > room {
		failed = 1 - math.Max(room, 0)/calls
	}
	m.queue += calls * (1 - failed)
	utilization := m.queue / capacity
	if utilization > 1 {
		utilization = 1 + (m.queue-capacity)/modelSlots
	}
	wait := m.queue / capacity * modelStep.Seconds()
	m.queue = math.Max(m.queue-capacity, 0)
	// The nodes on the way report means over a few hundred milliseconds.
	m.smoothed += (utilization - m.smoothed) * modelStep.Seconds() / 0.2
	at := m.step + int((modelLatency.Seconds()+wait)/modelStep.Seconds())
	for i, nodes := range admitted {
		failure := 1 - math.Pow(1-failed, float64(m.kinds[i].calls))
		for _, node := range nodes {
			m.results[at] = append(m.results[at], modelResult{
				node:     node,
				kind:     i,
				failed:   m.rng.Float64() < failure,
				pressure: m.smoothed,
			})
		}
	}
}

// poisson returns a random count with the given mean.
func (m *crowdModel) poisson(mean float64) int {
	count := 0
	for product := m.rng.Float64(); product > math.Exp(-mean); product *= m.rng.Float64() {
		count++
	}
	return count
}

// The targets of the product for demand at three times the usual for 30 s, with clients
// that resend (docs/DESIGN.md).
const (
	minCriticalServed = 0.99
	minGoodput        = 0.9
	minRecovered      = 0.95
	recoveryTime      = 5 * time.Second
)

// newCrowd returns the fleet at its usual demand, which takes half of the capacity of the
// bottleneck. Three times the urgent requests alone would fit.
func newCrowd() *crowdModel {
	m := newCrowdModel([]modelKind{
		{route: "deposit", policy: PolicyFor(describer.Critical), rate: 132, calls: 10},
		{route: "browse", policy: PolicyFor(describer.Normal), rate: 375, calls: 5},
		{route: "booking", policy: PolicyFor(describer.Normal), rate: 57, calls: 16},
	})
	m.resendRatio = 0.6
	m.run(20*time.Second, 1)
	return m
}

// goodput returns the calls at the bottleneck that served requests caused, relative to its
// capacity.
func (m *crowdModel) goodput(served []float64, demand float64) float64 {
	calls := 0.0
	for i, kind := range m.kinds {
		calls += served[i] * kind.rate * demand * float64(kind.calls)
	}
	return calls * modelCallTime.Seconds() / modelSlots
}

// TestCrowdIsShedBehindUrgentRequests plays a crowd after the first two seconds, in which
// the nodes learn of it.
func TestCrowdIsShedBehindUrgentRequests(t *testing.T) {
	m := newCrowd()
	m.run(2*time.Second, 3)
	served := m.run(28*time.Second, 3)
	if served[0] < minCriticalServed {
		t.Errorf("urgent requests: got %.3f served, want at least %.2f", served[0], minCriticalServed)
	}
	if got := m.goodput(served, 3); got < minGoodput {
		t.Errorf("got a goodput of %.3f of the capacity, want at least %.2f", got, minGoodput)
	}
	m.run(recoveryTime, 1)
	for i, got := range m.run(5*time.Second, 1) {
		if got < minRecovered {
			t.Errorf("%s after the crowd: got %.3f served, want at least %.2f", m.kinds[i].route, got, minRecovered)
		}
	}
}

// TestUrgentRequestsAreServedFromTheStartOfACrowd includes the first two seconds.
func TestUrgentRequestsAreServedFromTheStartOfACrowd(t *testing.T) {
	m := newCrowd()
	if served := m.run(30*time.Second, 3); served[0] < minCriticalServed {
		t.Errorf("urgent requests: got %.3f served, want at least %.2f", served[0], minCriticalServed)
	}
}

// TestUsualDemandIsNotThrottled plays the usual demand for a minute.
func TestUsualDemandIsNotThrottled(t *testing.T) {
	for i, got := range newCrowd().run(time.Minute, 1) {
		if got < minCriticalServed {
			t.Errorf("kind %d: got %.3f served, want at least %.2f", i, got, minCriticalServed)
		}
	}
}
