// Package router chooses the target of each attempt from the node's own
// observations, which outrank what targets report about themselves.
//
// # Usage
//
//	r := router.New(router.Config{Zone: "ol-kalou-1", Region: "ol-kalou"}, rng)
//	r.Update(now, members)
//	target, reason := r.Choose(now, service, router.Constraints{})
//	r.Started(now, target)
//	r.Finished(now, target, router.Observation{Latency: d, Load: load})
package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Router parameters.
const (
	// defaultSpill is the utilization from which the next tier is tried.
	defaultSpill = 0.8
	// regionGain is by how much less busy a target of another region has to be
	// where the way between regions has a price.
	regionGain = 1.0
	// loadAge is the time for which a reported load counts.
	loadAge = time.Second
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.1
	// slowFactor marks a target as slow against the others of its service.
	slowFactor = 3
	// slowMargin is the least difference that marks a target as slow.
	slowMargin = 20 * time.Millisecond
	// stallFactor and stallMargin bound the silence of a target that has
	// unanswered attempts.
	stallFactor = 3
	stallMargin = 300 * time.Millisecond
	// latencyAge is the time after which an unused latency no longer counts.
	latencyAge = 5 * time.Second
	minSamples = 10
	// ejectFailures is the number of failures in a row that eject a target.
	ejectFailures = 3
	ejectBase     = time.Second
	ejectLimit    = 30 * time.Second
	// maxEjectedShare bounds the ejected targets of a service.
	maxEjectedShare = 0.5
	// slowStart is the time over which a new target takes up its share.
	slowStart    = 10 * time.Second
	minRampShare = 0.1
)

// Switches turns single mechanisms off, for experiments that measure what each
// is worth. The zero value leaves all of them on.
type Switches struct {
	NoZones         bool
	NoEjection      bool
	NoSlowStart     bool
	NoSlowDetection bool
	// Random ignores every observation.
	Random bool
}

// Config is where the router's node stands.
type Config struct {
	Zone   string
	Region string
	// Limits is the zero value for the default ones.
	Limits   Limits
	Switches Switches
}

// Constraints limits one choice.
type Constraints struct {
	// Exclude lists the member IDs already tried.
	Exclude []string
	// CrossRegion tells whether another region may be used.
	CrossRegion bool
}

// Router holds the known targets of each service. It is not safe for concurrent
// use; its owner holds one lock around every method.
type Router struct {
	config   Config
	rng      *rand.Rand
	services map[describer.ServiceName]*group
	byID     map[string]*Target
	started  time.Time
}

// group is the targets of one service.
type group struct {
	targets []*Target
	// usual is the usual time of each route.
	usual map[string]*usual
	// scratch holds the candidates of one choice.
	scratch []*Target
}

// New returns a router without targets.
func New(config Config, rng *rand.Rand) *Router {
	if config.Limits == (Limits{}) {
		config.Limits = DefaultLimits()
	}
	return &Router{
		config:   config,
		rng:      rng,
		services: make(map[describer.ServiceName]*group),
		byID:     make(map[string]*Target),
	}
}

// ServiceOf returns the service that a member's backend server runs.
func ServiceOf(member *encoder.Member) describer.ServiceName {
	return describer.ServiceName{
		Team: member.GetTeam(),
		Name: member.GetService(),
	}
}

// Update takes the current announcement of one member.
func (r *Router) Update(now time.Time, member *encoder.Member) {
	if r.started.IsZero() {
		r.started = now
	}
	name := ServiceOf(member)
	if name.Name == "" {
		return
	}
	target := r.byID[member.GetId()]
	absent := member.GetRegisters() && member.GetBackend().GetState() == encoder.BackendState_BACKEND_GONE
	if member.GetState() == encoder.MemberState_DEAD || absent {
		if target != nil {
			r.remove(target)
		}
		return
	}
	if target != nil && sameBackend(target.Member, member) {
		target.Member = member
		return
	}
	if target != nil {
		r.remove(target)
	}
	r.add(now, member)
}

// sameBackend reports whether both announcements are of one incarnation of a
// backend server and its node.
func sameBackend(a, b *encoder.Member) bool {
	return a.GetIncarnation() == b.GetIncarnation() && ServiceOf(a) == ServiceOf(b) &&
		a.GetBackend().GetId() == b.GetBackend().GetId() &&
		a.GetBackend().GetBornUnixMilli() == b.GetBackend().GetBornUnixMilli()
}

func (r *Router) add(now time.Time, member *encoder.Member) {
	target := &Target{
		Member: member,
		since:  time.Unix(0, int64(member.GetIncarnation())),
	}
	if target.since.After(now) {
		target.since = now
	}
	name := ServiceOf(member)
	g := r.services[name]
	if g == nil {
		g = &group{
			usual: make(map[string]*usual),
		}
		r.services[name] = g
	}
	g.targets = append(g.targets, target)
	r.byID[member.GetId()] = target
}

func (r *Router) remove(target *Target) {
	delete(r.byID, target.Member.GetId())
	g := r.services[ServiceOf(target.Member)]
	g.targets = slices.DeleteFunc(g.targets, func(other *Target) bool {
		return other == target
	})
}

// Target returns the target with the given member ID, or nil.
func (r *Router) Target(id string) *Target {
	return r.byID[id]
}

// TargetCount returns the number of targets of all services.
func (r *Router) TargetCount() int {
	return len(r.byID)
}

// KnowsService reports whether a service ever had a target.
func (r *Router) KnowsService(service describer.ServiceName) bool {
	return r.services[service] != nil
}

// OverloadedFraction returns the share of a service's targets that reported
// overload lately.
func (r *Router) OverloadedFraction(now time.Time, service describer.ServiceName) float64 {
	g := r.services[service]
	if g == nil || len(g.targets) == 0 {
		return 0
	}
	busy := 0
	for _, target := range g.targets {
		if load := target.RecentLoad(now); load.Threshold > 0 || load.Utilization() >= 1 {
			busy++
		}
	}
	return float64(busy) / float64(len(g.targets))
}

func (r *Router) tierOf(target *Target) tier {
	switch {
	case r.config.Switches.NoZones:
		return sameZone
	case target.Member.GetZone() == r.config.Zone && target.Member.GetRegion() == r.config.Region:
		return sameZone
	case target.Member.GetRegion() == r.config.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// Choose returns the target for one attempt, or nil with the reason.
//
// Nearer targets go first; a tier is left when the better of two random
// candidates is busy or slow. When no tier has spare capacity, the least loaded
// candidate is taken.
func (r *Router) Choose(now time.Time, service describer.ServiceName, constraints Constraints) (*Target, caller.Reason) {
	g := r.services[service]
	if g == nil {
		return nil, caller.ReasonNoTarget
	}
	r.collect(now, g, constraints, true)
	if len(g.scratch) == 0 {
		// Rather an ejected target than none.
		r.collect(now, g, constraints, false)
	}
	if len(g.scratch) == 0 {
		return nil, caller.ReasonNoTarget
	}
	if r.config.Switches.Random {
		return g.scratch[r.rng.IntN(len(g.scratch))], caller.ReasonNearest
	}
	median := r.medianLatency(now, g)
	var best *Target
	bestScore := 0.0
	reason := caller.ReasonNearest
	for level := sameZone; level < tiers; level++ {
		target, score := r.better(now, g.scratch, level, median)
		if level == otherRegion && best != nil && r.config.Limits.stays(bestScore, score) {
			break
		}
		if target != nil && (best == nil || score < bestScore) {
			if best != nil {
				reason = caller.ReasonSpill
			}
			best, bestScore = target, score
		}
		if best != nil && bestScore < r.config.Limits.leaves(level) {
			return best, reason
		}
	}
	return best, caller.ReasonLeastLoaded
}

// collect fills the scratch with the usable targets.
func (r *Router) collect(now time.Time, g *group, constraints Constraints, honorEjection bool) {
	g.scratch = g.scratch[:0]
	ejected := 0
	for _, target := range g.targets {
		if avoided(now, target) {
			ejected++
		}
	}
	if r.config.Switches.NoEjection || float64(ejected) > maxEjectedShare*float64(len(g.targets)) {
		honorEjection = false
	}
	for _, target := range g.targets {
		if target.leaving() {
			continue
		}
		if honorEjection && avoided(now, target) {
			continue
		}
		if !constraints.CrossRegion && r.tierOf(target) == otherRegion {
			continue
		}
		if slices.Contains(constraints.Exclude, target.Member.GetId()) {
			continue
		}
		g.scratch = append(g.scratch, target)
	}
}

// avoided reports whether the target is ejected or suspected by the members.
func avoided(now time.Time, target *Target) bool {
	return target.Ejected(now) || target.Member.GetState() == encoder.MemberState_SUSPECT
}

// better returns the better of two random candidates of a tier.
func (r *Router) better(now time.Time, candidates []*Target, level tier, median time.Duration) (*Target, float64) {
	var first, second *Target
	count := 0
	for _, target := range candidates {
		if r.tierOf(target) != level {
			continue
		}
		count++
		// Reservoir sampling keeps two uniform candidates without a copy.
		switch {
		case count == 1:
			first = target
		case count == 2:
			second = target
		default:
			if slot := r.rng.IntN(count); slot == 0 {
				first = target
			} else if slot == 1 {
				second = target
			}
		}
	}
	if first == nil {
		return nil, 0
	}
	firstScore := r.score(now, first, median)
	if second == nil {
		return first, firstScore
	}
	if secondScore := r.score(now, second, median); secondScore < firstScore || (secondScore == firstScore && r.rng.IntN(2) == 0) {
		return second, secondScore
	}
	return first, firstScore
}
