package rationer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Parameters of a budget.
const (
	// targetPressure is the part of the bottleneck's slots that should be taken.
	targetPressure = 0.95
	// pressureTime is the time constant of the average pressure, and budgetTime that of the
	// work that may be admitted.
	pressureTime = 80 * time.Millisecond
	budgetTime   = 1500 * time.Millisecond
	// Each call that waits per slot divides what is admitted by 1 more than this factor.
	brakeFactor = 1
	// Critical requests are admitted as without a brake up to a pressure of criticalPressure,
	// and with criticalFactor as their brakeFactor above it.
	criticalPressure = 1.5
	criticalFactor   = 0.25
	// While the bottleneck has room, more than the rate is admitted, by up to the factor 1 +
	// slack from slackRange below slackPressure on. The demand of a zone may grow while that
	// of another falls, which a node cannot tell from a growing demand of all.
	slack         = 0.4
	slackPressure = 0.9
	slackRange    = 0.2
	// Reports of one update change what may be admitted by these factors at most.
	minCorrection = 0.5
	maxCorrection = 20
	// equalizer is the part of its demand that a node's budget grows by in budgetTime. Nodes
	// that admit a smaller part of their demand than others thus catch up.
	equalizer = 0.01
	// warmUp is the time after which the averages of the demand are used.
	warmUp = 2 * time.Second
	// maxFloor is the part of what is admitted that all routes get alike at most.
	maxFloor = 0.65
	// silence is the time constant in which the pressure falls without reports.
	silence = time.Second
)

// budget is the rate of work that the node may admit for one bottleneck, in slots.
//
// The pressure below 1 is in proportion to the work that the requests brought that ended
// lately. Each of them knows the rate that was admitted when it was, so that the rate that
// would take targetPressure follows, however long requests last. Above 1, the pressure is the
// work that waits, and the brake lets it drain.
type budget struct {
	started time.Time
	// rate is what may be admitted, or 0 before the first report.
	rate     float64
	pressure float64
	// Sums over the answers since the last update.
	intensitySum float64
	pressureSum  float64
	reports      float64
	samples      float64
	reported     time.Time
	// demand and usual are the work that the requests of the routes would bring, by the fast
	// and the slow average, and variance is that of demand by chance.
	demand, usual, variance float64
	brake                   float64
	// admitted is the part of the demand that is admitted.
	admitted float64
	// granted is the part of the demand that the probabilities of the classes admit. It exceeds
	// admitted while critical classes are spared from the brake.
	granted float64
	classes []*class
}

func newBudget(now time.Time) *budget {
	return &budget{
		started:  now,
		reported: now,
		brake:    1,
		admitted: 1,
		granted:  1,
	}
}

// intensity is the rate of work that is admitted now, or 0 if it is not known.
func (b *budget) intensity() float64 {
	if b.reported.Sub(b.started) < warmUp {
		return 0
	}
	return b.granted * b.demand
}

// record records an answer to a request that was admitted at the given intensity.
func (b *budget) record(now time.Time, intensity, pressure float64) {
	b.pressureSum += pressure
	b.reports++
	b.reported = now
	if intensity > 0 {
		b.intensitySum += intensity
		b.samples++
	}
}

// unknownWork stands for the work of a route whose answers do not report it. Only the ratio of
// the routes of one bottleneck matters.
const unknownWork = 0.05

func (r *routeState) workOrGuess() float64 {
	if r.work > 0 {
		return r.work
	}
	return unknownWork
}

// reset removes the classes, which add adds again in each update.
func (b *budget) reset() {
	b.demand, b.usual, b.variance = 0, 0, 0
	b.classes = b.classes[:0]
}

// add adds the demand of a class.
func (b *budget) add(c *class) {
	work, usual := c.route.workOrGuess(), c.usual.value()
	b.classes = append(b.classes, c)
	b.demand += c.demand.value() * work
	b.usual += usual * work
	b.variance += usual * work * work / (2 * demandTime.Seconds())
}

// advance updates the rate and the part of the demand that is admitted. start is the part that
// is admitted at most after a start.
func (b *budget) advance(now time.Time, elapsed time.Duration, start float64) {
	// Chance alone makes the demand of a node differ from its usual one.
	deviation := math.Sqrt(b.variance)
	b.demand = b.usual + max(0, b.demand-b.usual-deviation) - max(0, b.usual-b.demand-deviation)
	if b.reports > 0 {
		pressure := b.pressureSum / b.reports
		b.pressure += weight(elapsed, pressureTime) * (pressure - b.pressure)
		if b.samples > 0 {
			correction := targetPressure / max(min(pressure, 1), 0.01)
			estimate := b.intensitySum / b.samples * min(max(correction, minCorrection), maxCorrection)
			if b.rate == 0 {
				b.rate = estimate
			}
			b.rate += weight(elapsed, budgetTime) * (estimate - b.rate)
		}
		b.pressureSum, b.intensitySum, b.reports, b.samples = 0, 0, 0, 0
	} else if now.Sub(b.reported) > silence {
		b.pressure -= weight(elapsed, silence) * b.pressure
	}
	b.brake = 1 / (1 + brakeFactor*max(0, b.pressure-1))
	if b.pressure >= startPressure {
		b.brake *= start
	}
	b.admitted = b.brake
	if b.rate > 0 && b.demand > 0 {
		b.rate += equalizer * weight(elapsed, budgetTime) * b.demand
		room := min(1, max(0, slackPressure-b.pressure)/slackRange)
		b.admitted *= min(1, b.rate*(1+slack*room)/b.demand)
	}
}

// divide sets the probabilities of the classes: the urgent ones first, and among equals those
// that bring less work. Each gets at least floor, if that fits. The brake spares critical
// classes as long as they fit without the others.
func (b *budget) divide(floor float64) {
	b.granted = min(b.admitted, 1)
	if b.admitted >= 1 {
		return
	}
	slices.SortFunc(b.classes, func(c, other *class) int {
		if c.criticality != other.criticality {
			return cmp.Compare(other.criticality, c.criticality)
		}
		if c.routeCriticality != other.routeCriticality {
			return cmp.Compare(other.routeCriticality, c.routeCriticality)
		}
		return cmp.Compare(c.route.workOrGuess(), other.route.workOrGuess())
	})
	total := 0.0
	for _, c := range b.classes {
		total += c.work()
	}
	floor = min(floor, maxFloor*b.admitted)
	braked := (b.admitted - floor) * total
	unbraked := (b.admitted/b.brake/(1+criticalFactor*max(0, b.pressure-criticalPressure)) - floor) * total
	granted := 0.0
	for _, c := range b.classes {
		want, left := (1-floor)*c.work(), braked
		if c.routeCriticality == describer.Critical {
			left = unbraked
		}
		given := min(want, max(0, left))
		c.probability = floor
		if want > 0 {
			c.probability += (1 - floor) * given / want
		}
		braked -= given
		unbraked -= given
		granted += c.probability * c.work()
	}
	if total > 0 {
		b.granted = granted / total
	}
}

// work is the rate of work that the requests of the class would bring.
func (c *class) work() float64 {
	return c.share.value() * c.route.workOrGuess()
}
