package allocator

import (
	"math"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// maxOutstanding bounds the grants to one node that are kept until it has reported that it
// applied one of them or a later one.
const maxOutstanding = 8

// division is the quota of one organisation with its division among the nodes.
type division struct {
	quota   Quota
	entries map[string]*entry
	// brought is the sum of the silent rates that nodes had when they reported first.
	brought float64
	// limit is the rate that all nodes together may hold, without the shares that are
	// reserved for unreachable members. In a takeover it grows with brought.
	limit      float64
	takingOver bool
	// pool holds tokens that are not at any node.
	pool    float64
	updated time.Time
	// The following sums are over all entries.
	refreshed  time.Time
	held       float64
	heldSilent float64
	demand     float64
	active     int
	// heldBurst is only over the entries of nodes that can be heard, and cutOff is the held
	// rate of the others.
	heldBurst float64
	cutOff    float64
}

// entry is one node's part of the quota.
type entry struct {
	incarnation uint64
	demand      float64
	// rate and silentRate are those that the node has reported, and outstanding holds the
	// grants that it may apply or have applied since.
	rate        float64
	silentRate  float64
	outstanding []outstandingGrant
	sequence    uint64
	heard       time.Time
	// unconfirmed is set if the node has not reported since a takeover that kept the table.
	unconfirmed bool
	// cutOff is set if the node has not been heard lately.
	cutOff bool
	// burst is that of the last grant that the node has reported as applied.
	burst float64
	// held is the larger of rate and the rates in outstanding. heldSilent and heldBurst are
	// the same of the silent rates and the bursts.
	held       float64
	heldSilent float64
	heldBurst  float64
}

type outstandingGrant struct {
	sequence uint64
	rate     float64
	silent   float64
	burst    float64
}

func newDivision(now time.Time, quota Quota) *division {
	return &division{
		quota:   quota,
		entries: make(map[string]*entry),
		updated: now,
	}
}

// conserve limits the rate to what the nodes are known to hold, for a takeover. What a silent node
// is believed to hold is corrected by its next report.
func (d *division) conserve(now time.Time) {
	d.updated = now
	if !d.takingOver {
		d.takingOver = true
		d.refreshed = time.Time{}
		d.brought = 0
		for _, e := range d.entries {
			d.brought += e.heldSilent
		}
	}
	for _, e := range d.entries {
		e.unconfirmed = e.unconfirmed || now.Sub(e.heard) >= cutOffTime
	}
}

// advance fills the pool up to now and updates the sums if they are old.
func (d *division) advance(now time.Time, roster *Roster, takingOver bool) {
	d.takingOver = takingOver
	elapsed := max(now.Sub(d.updated), 0)
	d.updated = now
	if d.refreshed.IsZero() || now.Sub(d.refreshed) >= refreshPeriod {
		d.refresh(now, roster)
	}
	free := max(d.limit-d.held, 0)
	most := max(d.stock()-d.heldBurst, 0)
	if takingOver {
		most = max(most, reserveTokens)
	}
	d.pool = min(d.pool+free*elapsed.Seconds(), most)
}

// stock returns the number of tokens that may exist in the pool and at the nodes that can be
// heard. The others have the rest, in proportion to the rates.
func (d *division) stock() float64 {
	return d.quota.Stock() * max(d.limit-d.cutOff, 0) / d.quota.Rate
}

// refresh drops entries of ended processes and computes the sums and the limit.
func (d *division) refresh(now time.Time, roster *Roster) {
	d.refreshed = now
	d.held, d.heldSilent, d.heldBurst, d.cutOff, d.demand, d.active = 0, 0, 0, 0, 0, 0
	share := d.quota.Share(roster.Count())
	for id, e := range d.entries {
		silence := now.Sub(e.heard)
		switch {
		case roster.isGone(id, e.incarnation), silence >= holdTime && e.held == 0 && roster.members[id].reachable:
			delete(d.entries, id)
			continue
		case silence >= holdTime:
			e.rate = share
			e.burst = d.quota.Stock() / float64(max(roster.Count(), 1))
			e.outstanding = nil
			e.silentRate = 0
			e.updateHeld()
		case silence >= cutOffTime:
			e.rate = max(e.rate, e.heldSilent)
			e.updateHeld()
		}
		if silence >= demandTime {
			e.demand = 0
		}
		d.held += e.held
		d.heldSilent += e.heldSilent
		e.cutOff = silence >= cutOffTime
		if e.cutOff {
			d.cutOff += e.held
		} else {
			d.heldBurst += e.heldBurst
		}
		d.demand += e.demand
		if e.demand > 0 {
			d.active++
		}
	}
	d.limit = d.quota.Rate * roster.metRatio()
	if d.takingOver {
		d.limit = min(d.limit, d.brought+reserveRatio*d.limit)
		return
	}
	for id, m := range roster.lost {
		if now.Sub(m.changed) < shareDelay {
			continue
		}
		if e := d.entries[id]; e != nil {
			d.limit -= max(share-e.held, 0)
		} else {
			d.limit -= share
		}
	}
}

// report applies one report and returns the grant for it, or nil if the report is out of date.
func (d *division) report(now time.Time, from Node, usage *encoder.QuotaUsage) *encoder.QuotaGrant {
	e := d.entries[from.ID]
	switch {
	case e == nil:
		e = &entry{
			incarnation: from.Incarnation,
		}
		d.entries[from.ID] = e
		brought := max(usage.GetRate(), usage.GetSilentRate())
		d.brought += brought
		if d.takingOver {
			d.limit = min(d.limit+brought, d.quota.Rate)
		}
	case from.Incarnation > e.incarnation:
		d.subtract(e)
		*e = entry{
			incarnation: from.Incarnation,
			demand:      e.demand,
		}
	case from.Incarnation < e.incarnation || usage.GetSequence() <= e.sequence:
		return nil
	case e.unconfirmed:
		brought := max(usage.GetRate(), usage.GetSilentRate()) - e.heldSilent
		d.brought += brought
		d.limit = min(d.limit+brought, d.quota.Rate)
		e.unconfirmed = false
	}
	d.demand += usage.GetDemand() - e.demand
	if e.demand == 0 && usage.GetDemand() > 0 {
		d.active++
	} else if e.demand > 0 && usage.GetDemand() == 0 {
		d.active--
	}
	d.subtract(e)
	e.apply(now, usage)
	rate := d.grantRate(e)
	silent := d.grantSilent(e, rate)
	burst := d.grantBurst(e, rate)
	e.addOutstanding(outstandingGrant{
		sequence: usage.GetSequence(),
		rate:     rate,
		silent:   silent,
		burst:    burst,
	})
	d.held += e.held
	d.heldSilent += e.heldSilent
	d.heldBurst += e.heldBurst
	return &encoder.QuotaGrant{
		Team:         usage.GetTeam(),
		Organisation: usage.GetOrganisation(),
		Rate:         rate,
		SilentRate:   silent,
		Burst:        burst,
		Tokens:       d.takeTokens(usage.GetTokens()),
		Sequence:     usage.GetSequence(),
	}
}

// subtract takes an entry out of the sums.
func (d *division) subtract(e *entry) {
	d.held -= e.held
	d.heldSilent -= e.heldSilent
	if e.cutOff {
		d.cutOff -= e.held
		e.cutOff = false
	} else {
		d.heldBurst -= e.heldBurst
	}
}

// apply stores what a node reports.
func (e *entry) apply(now time.Time, usage *encoder.QuotaUsage) {
	e.demand = usage.GetDemand()
	e.rate = usage.GetRate()
	e.silentRate = usage.GetSilentRate()
	e.sequence = usage.GetSequence()
	e.heard = now
	kept := e.outstanding[:0]
	for _, grant := range e.outstanding {
		if grant.sequence == usage.GetApplied() {
			e.burst = grant.burst
		}
		if grant.sequence > usage.GetApplied() {
			kept = append(kept, grant)
		}
	}
	if e.demand == 0 && e.rate == 0 {
		e.burst = 0
	}
	e.outstanding = kept
	e.updateHeld()
}

// addOutstanding notes a grant. If there are too many, the oldest two count as one with the
// higher values.
func (e *entry) addOutstanding(grant outstandingGrant) {
	e.outstanding = append(e.outstanding, grant)
	if len(e.outstanding) > maxOutstanding {
		e.outstanding[1].rate = max(e.outstanding[0].rate, e.outstanding[1].rate)
		e.outstanding[1].silent = max(e.outstanding[0].silent, e.outstanding[1].silent)
		e.outstanding[1].burst = max(e.outstanding[0].burst, e.outstanding[1].burst)
		e.outstanding = append(e.outstanding[:0], e.outstanding[1:]...)
	}
	e.updateHeld()
}

func (e *entry) updateHeld() {
	e.held, e.heldSilent, e.heldBurst = e.rate, max(e.rate, e.silentRate), e.burst
	for _, grant := range e.outstanding {
		e.heldSilent = max(e.heldSilent, grant.silent)
		e.held = max(e.held, grant.rate)
		e.heldBurst = max(e.heldBurst, grant.burst)
	}
}

// grantRate returns the rate of a node: a part of its demand, and at most what the others do not
// hold, also while no grant reaches them. The sums of held rates must be without the node's own.
func (d *division) grantRate(e *entry) float64 {
	if e.demand < minRateDemand || d.demand <= 0 {
		return 0
	}
	rate := rateRatio * e.demand * min(d.limit/d.demand, 1)
	if rate >= (1-rateTolerance)*e.rate && rate <= (1+rateTolerance)*e.rate {
		rate = e.rate
	}
	return max(min(rate, d.limit-max(d.held, d.heldSilent)), 0)
}

// grantSilent returns the rate of a node while no grant reaches it. The sum of silent rates must
// be without the node's own.
func (d *division) grantSilent(e *entry, rate float64) float64 {
	if e.demand <= 0 || d.demand <= 0 {
		return 0
	}
	silent := silentRatio * d.limit * e.demand / d.demand
	return max(min(silent, d.limit-d.heldSilent), rate)
}

// grantBurst returns the burst of a node with a granted rate.
func (d *division) grantBurst(e *entry, rate float64) float64 {
	if e.demand <= 0 || rate <= 0 {
		return 0
	}
	burst := min(baseBurst, burstRatio*d.stock()/float64(max(d.active, 1))) + rate*burstTime.Seconds()
	return max(min(burst, d.stock()-d.heldBurst), 0)
}

// takeTokens returns up to the wanted number of tokens from the pool, so many that the node has a
// whole number. If the pool is low, it returns fewer, so that some nodes do not store what others
// need.
func (d *division) takeTokens(wanted float64) float64 {
	most := max(fairPool*d.pool/float64(max(d.active, 1)), 1)
	fraction := wanted - math.Floor(wanted)
	tokens := fraction + math.Floor(min(wanted, d.pool, most)-fraction)
	if tokens < fraction {
		return 0
	}
	d.pool -= tokens
	return tokens
}
