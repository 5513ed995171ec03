// Package rationer decides at the entry of the call graph which requests of clients are admitted
// when demand exceeds the capacity of a service on their path.
//
// Each answer reports the bottleneck of its path, how full that is (the pressure: running and
// waiting calls per slot), and the work that a request of the route causes there. From that, a
// node learns for each bottleneck which rate of work it may admit, and gives it to the urgent
// routes first. All nodes hear the same pressure, so they admit about the same part of their
// demand without exchanging anything.
//
// # Usage
//
//	table := rationer.New(rng)
//	ticket := table.Admit(now, "r-7", criticality, routeCriticality)
//	if !ticket.Admitted { refuse }
//	...
//	table.RecordAnswer(now, "r-7", ticket, rationer.Report{Bottleneck: load.Bottleneck, Pressure: load.Pressure, Work: load.PathWork})
package rationer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Parameters of the measurement of demand.
const (
	// tick is the shortest time between two updates.
	tick = 50 * time.Millisecond
	// demandTime and usualTime are the time constants of the fast and the slow average of a
	// route's demand. The fast one follows a doubled demand before the pressure shows it.
	demandTime = 300 * time.Millisecond
	usualTime  = 2 * time.Second
	// shareTime is the time constant of the averages that the work is divided by.
	shareTime = 4 * time.Second
	// minShare is the least probability of a route, as a fraction of that of all requests of
	// the node. No kind of request may fall below a quarter.
	minShare = 0.25
	// workWeight is the weight of a report in the average work of a route.
	workWeight = 0.05
	// After a start, startShare of the demand for a service whose pressure is startPressure
	// or more is admitted at first, and twice as much after each startDoubling. Requests
	// last so long that much more work may be on its way there than the pressure shows. The
	// first report is a start, and so is one after startSilence.
	startShare    = 0.15
	startPressure = 0.7
	startDoubling = 700 * time.Millisecond
	startSilence  = 10 * time.Second
	// reportLifetime is the time after the last report at which a route is no longer covered.
	reportLifetime = 10 * time.Second
	// routeLifetime is the time after which a route without requests is forgotten.
	routeLifetime = time.Minute
	// maxStep bounds the time that one update accounts for.
	maxStep = time.Second
)

// Table holds the admission of one entry node. It is not safe for concurrent use; the owner
// holds one lock around every method.
type Table struct {
	rng     *rand.Rand
	updated time.Time
	// reported is the time of the last report, and started that of the first one after a
	// silence.
	reported, started time.Time
	routes            map[string]*routeState
	budgets           map[uint32]*budget
	// served is the part of the requests of all routes that is admitted.
	served float64
}

// routeState is what a Table knows of one route.
type routeState struct {
	// bottleneck is the service that the route's reports name most of the time. votes counts
	// the reports that named it, less those that named another one.
	bottleneck uint32
	votes      int
	// work is the mean work of a request at the bottleneck, in seconds. It is 0 while unknown.
	work     float64
	reported time.Time
	// plain is the time of the last answer that reported no bottleneck.
	plain time.Time
	// classes holds the requests of each criticality. An organisation's rank may give requests
	// of one route different ones.
	classes [describer.Critical + 1]class
}

// class is the requests of one route and criticality.
type class struct {
	route       *routeState
	criticality describer.Criticality
	// routeCriticality decides between classes of the same criticality.
	routeCriticality describer.Criticality
	arrivals         float64
	// demand, usual and share are averages of the rate of requests over different times.
	demand, usual, share average
	probability          float64
	requested            time.Time
}

// average is a moving average that is exact from its first values on.
type average struct {
	sum, weight float64
}

func (a *average) add(weight, value float64) {
	a.sum += weight * (value - a.sum)
	a.weight += weight * (1 - a.weight)
}

func (a *average) value() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.sum / a.weight
}

// Ticket is the decision about a request. It goes from Admit to RecordAnswer.
type Ticket struct {
	Admitted bool
	// Bottleneck and Pressure are those of the route, and Probability is the part of such
	// requests that was admitted.
	Bottleneck  uint32
	Pressure    float64
	Probability float64
	// intensity is the rate of work for the bottleneck that the node admitted at that time.
	intensity float64
}

// Report is what an answer says of the path of its request.
type Report struct {
	// Bottleneck identifies the fullest service on the path.
	Bottleneck uint32
	// Pressure is the number of running and waiting calls per slot there.
	Pressure float64
	// Work is the time that the request holds slots there, or 0 if it is not known.
	Work time.Duration
}

// New returns a Table that admits all requests.
func New(rng *rand.Rand) *Table {
	return &Table{
		rng:     rng,
		routes:  make(map[string]*routeState),
		budgets: make(map[uint32]*budget),
		served:  1,
	}
}

// Covers reports whether the table decides about a route: recent answers to its requests have
// reported a bottleneck, or there are no answers to them yet and those of other routes have.
func (t *Table) Covers(now time.Time, route string) bool {
	r := t.routes[route]
	if r == nil || r.reported.IsZero() {
		return (r == nil || r.plain.IsZero()) && !t.reported.IsZero() && now.Sub(t.reported) < reportLifetime
	}
	return now.Sub(r.reported) < reportLifetime
}

// RecordPlain records an answer that reports no bottleneck. It returns whether the table still
// decides about the route.
func (t *Table) RecordPlain(now time.Time, route string) bool {
	if !t.reported.IsZero() {
		t.route(route).plain = now
	}
	return t.Covers(now, route)
}

// Admit records a request of the route and decides whether it is admitted. The criticality is that
// of the request, which may follow from the rank of its organisation, and routeCriticality that of
// its route.
func (t *Table) Admit(now time.Time, route string, criticality, routeCriticality describer.Criticality) Ticket {
	t.advance(now)
	r := t.route(route)
	c := &r.classes[min(criticality, describer.Critical)]
	c.requested = now
	c.routeCriticality = routeCriticality
	c.arrivals++
	ticket := Ticket{
		Admitted:    c.probability >= 1 || t.rng.Float64() < c.probability,
		Bottleneck:  r.bottleneck,
		Probability: c.probability,
	}
	if b := t.budgets[r.bottleneck]; b != nil {
		ticket.Pressure = b.pressure
		ticket.intensity = b.intensity()
	}
	return ticket
}

// Retry-After times, as parts of the longest time that clients wait for. The times are spread,
// so that the requests do not return together, and urgent ones return first.
const (
	// maxWait is the part of the time left, or of the objective, that clients wait for. It
	// is less than the third up to which they repeat, for the time that the refusal takes.
	maxWait         = 0.32
	urgentWaitRatio = 0.5
	// minWait is the shortest time that a refusal names.
	minWait = time.Millisecond
)

// RetryAfter returns the time after which a refused request should return. left is the time
// until its deadline. The repeated request can still be served within the objective.
func (t *Table) RetryAfter(objective, left time.Duration, criticality describer.Criticality) time.Duration {
	longest := maxWait * float64(min(objective, left))
	if criticality == describer.Critical {
		longest *= urgentWaitRatio
	}
	return max(minWait, time.Duration(longest*(1+t.rng.Float64())/2))
}

// BudgetState is the state of the admission for one bottleneck.
type BudgetState struct {
	Bottleneck uint32
	// Pressure is the number of running and waiting calls per slot.
	Pressure float64
	// Demand is the work of the requests and Rate what may be admitted of it, in slots.
	Demand float64
	Rate   float64
	// Admitted is the part of the demand that is admitted.
	Admitted float64
}

// State returns the state of all budgets.
func (t *Table) State() []BudgetState {
	states := []BudgetState{}
	for bottleneck, b := range t.budgets {
		states = append(states, BudgetState{
			Bottleneck: bottleneck,
			Pressure:   b.pressure,
			Demand:     b.demand,
			Rate:       b.rate,
			Admitted:   b.admitted,
		})
	}
	return states
}

// RecordAnswer records the answer to an admitted request.
func (t *Table) RecordAnswer(now time.Time, route string, ticket Ticket, report Report) {
	t.advance(now)
	r := t.route(route)
	if now.Sub(t.reported) > startSilence {
		t.started = now
	}
	t.reported, r.reported = now, now
	r.vote(report)
	if r.bottleneck != report.Bottleneck {
		return
	}
	b := t.budgets[report.Bottleneck]
	if b == nil {
		b = newBudget(now)
		t.budgets[report.Bottleneck] = b
	}
	if ticket.Bottleneck != report.Bottleneck {
		ticket.intensity = 0
	}
	b.record(now, ticket.intensity, report.Pressure)
}

func (t *Table) route(route string) *routeState {
	r := t.routes[route]
	if r == nil {
		r = &routeState{}
		for i := range r.classes {
			r.classes[i] = class{
				route:       r,
				criticality: describer.Criticality(i),
				probability: 1,
			}
		}
		t.routes[route] = r
	}
	return r
}

// maxVotes bounds the votes, so that a route follows a new bottleneck after as many reports.
const maxVotes = 8

// vote applies the bottleneck and the work that an answer reports.
func (r *routeState) vote(report Report) {
	if r.bottleneck != report.Bottleneck {
		r.votes--
		if r.votes >= 0 {
			return
		}
		r.bottleneck = report.Bottleneck
		r.work = 0
		r.votes = 0
	}
	r.votes = min(r.votes+1, maxVotes)
	switch work := report.Work.Seconds(); {
	case work == 0:
	case r.work == 0:
		r.work = work
	default:
		r.work += workWeight * (work - r.work)
	}
}

// advance updates the demand of all routes and their admission, once each tick.
func (t *Table) advance(now time.Time) {
	elapsed := min(now.Sub(t.updated), maxStep)
	if elapsed < tick {
		return
	}
	t.updated = now
	for _, b := range t.budgets {
		b.reset()
	}
	for name, r := range t.routes {
		var b *budget
		if !r.reported.IsZero() && t.Covers(now, name) {
			b = t.budgets[r.bottleneck]
		}
		if !r.advance(now, elapsed, b) && now.Sub(r.reported) > routeLifetime && now.Sub(r.plain) > routeLifetime {
			delete(t.routes, name)
		}
	}
	start, lowest := min(1, startShare*math.Exp2(float64(now.Sub(t.started))/float64(startDoubling))), 1.0
	for bottleneck, b := range t.budgets {
		if len(b.classes) == 0 {
			delete(t.budgets, bottleneck)
			continue
		}
		b.advance(now, elapsed, start)
		b.divide(minShare * t.served)
		lowest = min(lowest, b.brake)
	}
	t.limitUnknown(now, lowest)
	t.updateServed(elapsed)
}

// limitUnknown limits the routes whose answers have not reported their bottleneck yet, which may
// be the fullest one. They get at least the start share.
func (t *Table) limitUnknown(now time.Time, probability float64) {
	for name, r := range t.routes {
		if !r.reported.IsZero() || !t.Covers(now, name) {
			continue
		}
		for i := range r.classes {
			r.classes[i].probability = max(probability, startShare)
		}
	}
}

// updateServed updates the part of the requests of all routes that is admitted.
func (t *Table) updateServed(elapsed time.Duration) {
	requests, admitted := 0.0, 0.0
	for _, r := range t.routes {
		for i := range r.classes {
			c := &r.classes[i]
			requests += c.share.value()
			admitted += c.share.value() * c.probability
		}
	}
	if requests > 0 {
		t.served += weight(elapsed, demandTime) * (admitted/requests - t.served)
	}
}

// weight is the weight of new values over the elapsed time in an average with a time constant.
func weight(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// advance updates the averages of the demand and adds it to the budget, which may be nil. It
// reports whether the route still has requests.
func (r *routeState) advance(now time.Time, elapsed time.Duration, b *budget) bool {
	live := false
	for i := range r.classes {
		c := &r.classes[i]
		c.probability = 1
		if now.Sub(c.requested) > routeLifetime {
			c.demand, c.usual, c.share = average{}, average{}, average{}
			continue
		}
		live = true
		rate := c.arrivals / elapsed.Seconds()
		c.arrivals = 0
		c.demand.add(weight(elapsed, demandTime), rate)
		c.usual.add(weight(elapsed, usualTime), rate)
		c.share.add(weight(elapsed, shareTime), rate)
		if b != nil {
			b.add(c)
		}
	}
	return live
}
