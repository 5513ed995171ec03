// Package allocator divides the quotas of organisations among the nodes of the fleet. For each
// shard of organisations, one node does so, the allocating node.
//
// The load pattern that it answers: an organisation sends more requests than its quota allows,
// through several nodes, none of which sees all of them.
//
// The package does no I/O. Its owner passes each report of a node to Report and sends the
// grants back.
//
// # Usage
//
//	roster := allocator.NewRoster(self)
//	a := allocator.New(self, roster)
//	a.SetQuotas(allocator.NewIndex(settings))
//	roster.Update(now, member)
//	grants := a.Report(now, sender, usages)
package allocator

import (
	"math"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Allocation parameters.
const (
	// takeoverTime is how long a new allocating node only redistributes what its reporters
	// hold. In this time it hears from the other holders, which report every second
	// and whose packets may take 3 s.
	takeoverTime = 4 * time.Second
	// lossTakeoverTime applies instead if members are unreachable. It is the time for which
	// they keep their rates.
	lossTakeoverTime = 30 * time.Second
	// youngTakeoverTime applies instead in a fleet that has just started, where no node holds
	// anything from before. Until then the nodes have mostly met each other.
	youngTakeoverTime = time.Second
	// cutOffTime is the silence after which a node counts as one that no grant reaches. Such a
	// node applies its silent rate.
	cutOffTime = 1500 * time.Millisecond
	// holdTime is how long the rate of a silent node counts as held. A silent node keeps its
	// rate for 30 s. The other 15 s cover the detection of a partition: nodes on the far side
	// report to another allocating node by then, which lowers their rates 30 s after it has
	// taken over.
	holdTime = 45 * time.Second
	// shareDelay is the time after which an unreachable member has a share reserved, as it may
	// use one after 30 s of silence.
	shareDelay = 25 * time.Second
	// maxPause is the time between two calls of Tick after which the process may have been
	// frozen while another node allocated.
	maxPause = 2 * time.Second
	// demandTime is the time after which the demand in a report no longer counts.
	demandTime = 3 * time.Second
	// refreshPeriod is the time between two sums over all nodes of an organisation. Reports
	// in between change the sums by their difference.
	refreshPeriod = 200 * time.Millisecond
	// rateRatio is the part of a node's demand that it is granted as a rate. It asks for the
	// rest as single tokens from the pool, because a rate is lost at a node whose bucket is
	// full. The measured demand below minRateDemand is too inexact for a rate.
	//
	// silentRatio is the part of the quota that is divided as silent rates, in proportion to
	// the demand. The rest is for newcomers.
	silentRatio   = 0.9
	rateRatio     = 0.5
	minRateDemand = 4
	// fairPool is the largest part of the pool that a node gets at once, in equal parts for all
	// nodes with demand.
	fairPool = 4
	// rateTolerance is the relative difference up to which a node keeps its rate. Until a node
	// reports that it has applied a lower rate, the higher one counts as held.
	rateTolerance = 0.3
	// A node's burst is baseBurst, or its equal part of burstRatio of the stock if that is
	// less, and what its rate fills in burstTime.
	baseBurst  = 3
	burstRatio = 0.5
	burstTime  = time.Second
)

// Allocator is the table of one node for the shards that it allocates. It is not safe for
// concurrent use.
type Allocator struct {
	self   Node
	roster *Roster
	quotas *Index
	shards [ShardCount]shard
	ticked time.Time
	// returned is the roster's time of the last return that was handled.
	returned time.Time
}

// shard is one shard of organisations.
type shard struct {
	owned bool
	// since is the time of the last takeover. lossy is set if members were unreachable
	// during it.
	since time.Time
	lossy bool
	// young is set if the fleet has just started at the takeover.
	young bool
	// primed is the time of the last takeover with tokens in the pools.
	primed    time.Time
	hasTokens bool
	divisions map[Name]*division
}

// New returns an Allocator of the node self without quotas.
func New(self Node, roster *Roster) *Allocator {
	return &Allocator{
		self:   self,
		roster: roster,
	}
}

// SetQuotas puts the quotas of new settings in force.
func (a *Allocator) SetQuotas(quotas *Index) {
	a.quotas = quotas
	for s := range a.shards {
		for name, d := range a.shards[s].divisions {
			quota, ok := quotas.Lookup(name)
			if !ok {
				delete(a.shards[s].divisions, name)
				continue
			}
			d.quota = quota
		}
	}
}

// Tick notes which shards the node allocates. Its owner calls it several times a second.
func (a *Allocator) Tick(now time.Time) {
	paused := !a.ticked.IsZero() && Elapsed(a.ticked, now) >= maxPause
	a.ticked = now
	// Another node may have allocated on the far side of a partition that is over.
	restarted := paused || a.roster.returned.After(a.returned)
	a.returned = a.roster.returned
	a.roster.Forget(now)
	for s := range a.shards {
		sh := &a.shards[s]
		owned := a.roster.Allocating(s) == a.self
		switch {
		case !owned:
			sh.divisions = nil
		case !sh.owned:
			sh.takeOver(now)
			sh.young = a.roster.isYoung(now)
		case restarted:
			sh.conserve(now)
		}
		sh.owned = owned
		if owned && now.Sub(sh.since) < takeoverTime {
			sh.lossy = sh.lossy || a.roster.hasRecentLoss(now, lossTakeoverTime)
			// A node that has restarted alone learns of older members only now.
			sh.young = sh.young && a.roster.isYoung(now)
		}
	}
}

// takeOver empties the table.
func (s *shard) takeOver(now time.Time) {
	s.since = now
	s.lossy = false
	s.divisions = make(map[Name]*division)
	s.hasTokens = s.primed.IsZero() || now.Sub(s.primed) >= lossTakeoverTime
	if s.hasTokens {
		s.primed = now
	}
}

// conserve starts a takeover with the table that is known: other nodes may have divided the rates
// of nodes that could not be heard in another way.
func (s *shard) conserve(now time.Time) {
	s.since = now
	s.lossy, s.young = false, false
	for _, d := range s.divisions {
		d.conserve(now)
	}
}

// takingOver reports whether the allocating node may not know all holders yet.
func (s *shard) takingOver(now time.Time) bool {
	return now.Sub(s.since) < s.takeoverTime()
}

func (s *shard) takeoverTime() time.Duration {
	switch {
	case s.lossy:
		return lossTakeoverTime
	case s.young:
		return youngTakeoverTime
	}
	return takeoverTime
}

// Report applies what a node uses and returns what it may use.
func (a *Allocator) Report(now time.Time, from Node, usages []*encoder.QuotaUsage) []*encoder.QuotaGrant {
	grants := make([]*encoder.QuotaGrant, 0, len(usages))
	for _, usage := range usages {
		name := Name{
			Team:         usage.GetTeam(),
			Organisation: usage.GetOrganisation(),
		}
		sh := &a.shards[ShardOf(name)]
		quota, ok := a.quotas.Lookup(name)
		if !ok || !sh.owned || !isValid(usage) {
			continue
		}
		d := sh.divisions[name]
		if d == nil {
			d = newDivision(now, quota)
			switch {
			case !sh.takingOver(now):
				// No node has held anything since the takeover.
				d.updated = sh.since
			case sh.hasTokens:
				d.pool = reserveTokens * a.roster.metRatio()
			}
			sh.divisions[name] = d
		}
		d.advance(now, a.roster, sh.takingOver(now))
		grant := d.report(now, from, usage)
		if grant == nil {
			continue
		}
		grant.SettingsVersion = a.quotas.Version()
		grants = append(grants, grant)
	}
	return grants
}

// isValid reports whether the numbers of a usage are usable. Packets carry no signature.
func isValid(usage *encoder.QuotaUsage) bool {
	for _, number := range []float64{usage.GetDemand(), usage.GetRate(), usage.GetTokens(), usage.GetSilentRate()} {
		if !(number >= 0 && number <= math.MaxFloat32) {
			return false
		}
	}
	return true
}

// Divisions returns the number of organisations, and of their entries for single nodes, in the
// table.
func (a *Allocator) Divisions() (organisations, entries int) {
	for s := range a.shards {
		organisations += len(a.shards[s].divisions)
		for _, d := range a.shards[s].divisions {
			entries += len(d.entries)
		}
	}
	return organisations, entries
}

// Elapsed returns the time from one reading of the clock to another, by the monotonic clock or
// by the wall clock, whichever shows more: the monotonic clock of a suspended machine may stand
// still.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
