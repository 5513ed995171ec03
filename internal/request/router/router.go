// Package router chooses the target of each attempt. It compares targets by a score,
// which uses the greater of the load that a target reports and the attempts that this
// node has in flight to it.
//
// # Usage
//
//	r := router.New(router.Config{Zone: "ol-kalou-1", Region: "ol-kalou"}, rng)
//	r.Update(now, member)
//	target, reason := r.Choose(now, service, router.Constraints{})
//	r.RecordStart(now, target)
//	r.RecordFinish(now, target, router.Observation{Latency: d, Load: load})
package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/estimator"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Router parameters.
const (
	// defaultSpillover is the score from which the next tier is tried.
	defaultSpillover = 0.8
	// minRegionGain is the least difference in score that justifies a target of
	// another region where traffic between regions has a price.
	minRegionGain = 0.6
	// maxLoadAge is the age at which a load report expires.
	maxLoadAge = time.Second
	// targetLatencyWeight is the weight of a new latency in the moving average of
	// one target.
	targetLatencyWeight = 0.1
	// A target is slow if its average latency exceeds both slowFactor times the
	// median of its service and that median plus slowMargin.
	slowFactor = 3
	slowMargin = 20 * time.Millisecond
	// A target with open attempts is stalled if it has not answered for longer than
	// both minStallTime and stallFactor times its average latency.
	stallFactor  = 3
	minStallTime = 300 * time.Millisecond
	// maxLatencyAge is the age after which an average latency without new samples
	// is ignored.
	maxLatencyAge = 5 * time.Second
	// minLatencySamples is the number of samples that a target needs before its
	// latency is compared with that of others.
	minLatencySamples = 10
	// ejectFailures is the number of consecutive failures that eject a target. The
	// first ejection takes baseEjection. Each further one without a success in
	// between takes twice as long, up to maxEjection.
	ejectFailures = 3
	baseEjection  = time.Second
	maxEjection   = 30 * time.Second
	// maxAvoidedFraction bounds the ejected and suspected targets of a service. If
	// there are more, the router uses all of them.
	maxAvoidedFraction = 0.5
	// slowStartWindow is the time over which the load of a new target rises from
	// minSlowStartFraction of its normal load to all of it.
	slowStartWindow      = 10 * time.Second
	minSlowStartFraction = 0.1
)

// Switches turns individual mechanisms off, for experiments that measure the effect
// of each. The zero value leaves all of them on.
type Switches struct {
	NoZones bool
	// NoEjection also uses suspected targets like others.
	NoEjection      bool
	NoSlowStart     bool
	NoSlowDetection bool
	// Random chooses a random target and ignores every observation.
	Random bool
}

// Config is the configuration of a router. Zone and Region are those of its node.
type Config struct {
	Zone   string
	Region string
	// Limits defaults to DefaultLimits.
	Limits   Limits
	Switches Switches
	// placement defaults to defaultPlacement. Tests compare others.
	placement placement
}

// Constraints restricts the targets of one choice.
type Constraints struct {
	// Exclude lists the member IDs already tried.
	Exclude []string
	// CrossRegion allows targets in other regions.
	CrossRegion bool
	// Cost describes the call, for an estimate of its cost. Without a route, the call counts
	// as one of average cost.
	Cost estimator.Key
	// Cautious keeps the call away from doubtful targets, because it must not be sent to a
	// second one after a failure.
	Cautious bool
}

// Router holds the known targets of each service. It is not safe for concurrent
// use; its owner holds one lock around every method.
type Router struct {
	config   Config
	rng      *rand.Rand
	services map[describer.ServiceName]*targetGroup
	byID     map[string]*Target
	// notices holds what backend servers said of themselves.
	notices map[backendKey]backendNotice
	// firstUpdate is when the router learned of its first member.
	firstUpdate time.Time
}

// targetGroup holds the targets of one service.
type targetGroup struct {
	targets []*Target
	// averages holds the average latency of each route.
	averages map[string]*latencyAverage
	// candidates holds the usable targets of one choice. Each choice reuses it.
	candidates []*Target
	// costs, speeds and tiers serve the placement by expected time; see placement.go.
	costs  *estimator.Table
	speeds groupSpeed
	tiers  [tierCount][]*Target
}

// New returns a router without targets.
func New(config Config, rng *rand.Rand) *Router {
	if config.Limits == (Limits{}) {
		config.Limits = DefaultLimits()
	}
	if config.placement == (placement{}) {
		config.placement = defaultPlacement
	}
	return &Router{
		config:   config,
		rng:      rng,
		services: make(map[describer.ServiceName]*targetGroup),
		byID:     make(map[string]*Target),
		notices:  make(map[backendKey]backendNotice),
	}
}

// ServiceOf returns the service that a member's backend server runs.
func ServiceOf(member *encoder.Member) describer.ServiceName {
	return describer.ServiceName{
		Team: member.GetTeam(),
		Name: member.GetService(),
	}
}

// Update applies the current announcement of one member. A member that is dead, or
// whose registered backend server is gone, is no longer a target. A restart of the
// node or the backend server discards the observations of the old incarnation.
func (r *Router) Update(now time.Time, member *encoder.Member) {
	if r.firstUpdate.IsZero() {
		r.firstUpdate = now
	}
	name := ServiceOf(member)
	if name.Name == "" {
		return
	}
	r.recordAnnouncement(now, member)
	target := r.byID[member.GetId()]
	backendGone := member.GetRegisters() && member.GetBackend().GetState() == encoder.BackendState_BACKEND_GONE
	if member.GetState() == encoder.MemberState_DEAD || backendGone {
		if target != nil {
			r.remove(target)
		}
		return
	}
	if target != nil && sameIncarnation(target.Member, member) {
		target.Member = member
		target.tier = r.tierOf(member)
		return
	}
	if target != nil {
		r.remove(target)
	}
	r.add(now, member)
}

// sameIncarnation reports whether both announcements describe the same service and
// the same incarnation of a node and of its backend server.
func sameIncarnation(a, b *encoder.Member) bool {
	return a.GetIncarnation() == b.GetIncarnation() && ServiceOf(a) == ServiceOf(b) &&
		a.GetBackend().GetId() == b.GetBackend().GetId() &&
		a.GetBackend().GetBornUnixMilli() == b.GetBackend().GetBornUnixMilli()
}

// startTimeOf returns when the backend server of a member started. If the server does not
// register, that is when its node started.
func startTimeOf(member *encoder.Member) time.Time {
	if born := member.GetBackend().GetBornUnixMilli(); born > 0 {
		return time.UnixMilli(born)
	}
	return time.Unix(0, int64(member.GetIncarnation()))
}

func (r *Router) add(now time.Time, member *encoder.Member) {
	target := &Target{
		Member:    member,
		tier:      r.tierOf(member),
		startTime: startTimeOf(member),
	}
	if target.startTime.After(now) {
		target.startTime = now
	}
	name := ServiceOf(member)
	g := r.services[name]
	if g == nil {
		g = &targetGroup{
			averages: make(map[string]*latencyAverage),
			costs:    estimator.New(),
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

// KnowsService reports whether a service has ever had a target.
func (r *Router) KnowsService(service describer.ServiceName) bool {
	return r.services[service] != nil
}

// OverloadedFraction returns the fraction of a service's targets whose recent load
// report shows overload: an admission threshold above 0 or no spare capacity.
func (r *Router) OverloadedFraction(now time.Time, service describer.ServiceName) float64 {
	g := r.services[service]
	if g == nil || len(g.targets) == 0 {
		return 0
	}
	overloaded := 0
	for _, target := range g.targets {
		if load := target.RecentLoad(now); load.Threshold > 0 || load.Utilization() >= 1 {
			overloaded++
		}
	}
	return float64(overloaded) / float64(len(g.targets))
}

func (r *Router) tierOf(member *encoder.Member) tier {
	switch {
	case r.config.Switches.NoZones:
		return sameZone
	case member.GetZone() == r.config.Zone && member.GetRegion() == r.config.Region:
		return sameZone
	case member.GetRegion() == r.config.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// Choose returns a target for one attempt and the reason for choosing it, or nil and
// the reason why there is none.
//
// It tries the nearest tier first and compares two random candidates of it. If the
// better one is busy or slow, the choice spills over to the next tier. If no tier
// has spare capacity, it takes the best of the compared candidates. See
// prefersOwnRegion for when another region is ruled out.
//
// Where targets report their slowdown, chooseByTime decides instead.
func (r *Router) Choose(now time.Time, service describer.ServiceName, constraints Constraints) (*Target, caller.Reason) {
	g := r.services[service]
	if g == nil {
		return nil, caller.ReasonNoTarget
	}
	r.collectCandidates(now, g, constraints, true)
	if len(g.candidates) == 0 {
		// An avoided target is better than none.
		r.collectCandidates(now, g, constraints, false)
	}
	if len(g.candidates) == 0 {
		return nil, caller.ReasonNoTarget
	}
	if r.config.Switches.Random {
		return g.candidates[r.rng.IntN(len(g.candidates))], caller.ReasonNearest
	}
	if r.placesByTime(now, g) {
		return r.chooseByTime(now, g, constraints)
	}
	median := r.medianLatency(now, g)
	var best *Target
	bestScore := 0.0
	reason := caller.ReasonNearest
	for currentTier := sameZone; currentTier < tierCount; currentTier++ {
		target, score := r.pickBetter(now, g.candidates, currentTier, median)
		if currentTier == otherRegion && best != nil && r.config.Limits.prefersOwnRegion(bestScore, score) {
			break
		}
		if target != nil && (best == nil || score < bestScore) {
			if best != nil {
				reason = caller.ReasonSpill
			}
			best, bestScore = target, score
		}
		if best != nil && bestScore < r.config.Limits.spilloverFrom(currentTier) {
			return best, reason
		}
	}
	return best, caller.ReasonLeastLoaded
}

// collectCandidates fills g.candidates with the targets that meet the constraints.
// If skipAvoided is set, it leaves out ejected and suspected targets, unless they
// exceed maxAvoidedFraction.
func (r *Router) collectCandidates(now time.Time, g *targetGroup, constraints Constraints, skipAvoided bool) {
	g.candidates = g.candidates[:0]
	avoided := 0
	for _, target := range g.targets {
		if isAvoided(now, target) {
			avoided++
		}
	}
	if r.config.Switches.NoEjection || float64(avoided) > maxAvoidedFraction*float64(len(g.targets)) {
		skipAvoided = false
	}
	for _, target := range g.targets {
		if r.IsLeaving(target) {
			continue
		}
		if skipAvoided && isAvoided(now, target) {
			continue
		}
		if !constraints.CrossRegion && target.tier == otherRegion {
			continue
		}
		if slices.Contains(constraints.Exclude, target.Member.GetId()) {
			continue
		}
		g.candidates = append(g.candidates, target)
	}
}

// isAvoided reports whether the target is ejected by this node or suspected of having
// failed (member state SUSPECT).
func isAvoided(now time.Time, target *Target) bool {
	return target.Ejected(now) || target.Member.GetState() == encoder.MemberState_SUSPECT
}

// pickBetter returns the better of two random candidates of a tier and its score,
// or nil if the tier has no candidate.
func (r *Router) pickBetter(now time.Time, candidates []*Target, currentTier tier, median time.Duration) (*Target, float64) {
	var first, second *Target
	count := 0
	for _, target := range candidates {
		if target.tier != currentTier {
			continue
		}
		count++
		// Reservoir sampling picks two candidates uniformly, without copying
		// the candidates of the tier.
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
