// Package quotakeeper keeps one node's parts of the quotas of organisations: a token bucket for
// each organisation whose requests the node receives. It reports the demand to the nodes that
// allocate the quotas and applies their grants.
//
// The load pattern that it answers: an organisation sends more requests than its quota allows.
//
// The package does no I/O. Its owner sends the reports that Reports returns and passes the
// grants that arrive to Apply. Organisations without a quota have no state and no reports.
//
// # Usage
//
//	k := quotakeeper.New(roster)
//	k.SetQuotas(now, allocator.NewIndex(settings))
//	decision := k.Take(now, name)
//	if decision.Verdict == quotakeeper.Wait {
//		// Send the reports, wait for a grant.
//		decision = k.Retake(now, name, false)
//	}
//	k.Return(now, name)
package quotakeeper

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/allocator"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// MaxWait is the longest time that a request waits for a grant.
const MaxWait = 150 * time.Millisecond

// Parameters of a node.
const (
	// scanPeriod is the time between two checks of all buckets for a report that is due.
	scanPeriod = 50 * time.Millisecond
	// steadyPeriod is the time between two reports about one organisation, if none is urgent.
	steadyPeriod = time.Second
	// urgentPeriod is the shortest time between two reports about one organisation.
	urgentPeriod = 50 * time.Millisecond
	// resendTime is the time without an answer after which a report counts as lost. A round
	// trip between regions takes less.
	resendTime = 45 * time.Millisecond
	// exhaustedTime is how long the pool counts as empty after it has given fewer tokens than
	// the node asked for. Requests do not wait for it then.
	exhaustedTime = 250 * time.Millisecond
	// cutOffTime is the time without an answer after which the node applies its silent rate.
	cutOffTime = 500 * time.Millisecond
	// silenceTime is the time without a grant after which the node uses an equal share. The
	// allocating node counts the rate as held for longer.
	silenceTime = 30 * time.Second
	// idleTime is the time without requests of an organisation after which its rate is given
	// back.
	idleTime = 5 * time.Second
	// handedLifetime is how long tokens from the pool may be kept beyond the burst, for the
	// requests that wait for them.
	handedLifetime = MaxWait
	// A node with fewer than lowStock tokens asks for those of stockTime, and for minStock at
	// least. One token is left for a request that arrives before the answer.
	// A node with less demand than minStockDemand asks only for the requests that wait: a token
	// that waits for a request at one node is missing at the others.
	stockTime      = 250 * time.Millisecond
	minStock       = 3
	minStockDemand = 4
	lowStock       = 1 + wholeToken
	// maxWaiting bounds the requests of one organisation that wait for a grant.
	maxWaiting = 64
	// maxUsages bounds the usages in one packet. One takes about 60 bytes.
	maxUsages = 16
	// minRetryAfter and maxRetryAfter bound the time in a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Verdict says what to do with a request.
type Verdict uint8

// The verdicts.
const (
	// Admit takes a token.
	Admit Verdict = iota
	// Refuse takes none.
	Refuse
	// Wait takes none. A grant may bring one soon.
	Wait
)

// Decision is the decision on one request.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time after which the organisation's next request fits, for a refusal.
	RetryAfter time.Duration
}

// Report is what to send to an allocating node.
type Report struct {
	To     allocator.Node
	Usages []*encoder.QuotaUsage
}

// Keeper keeps the parts of one node. It is not safe for concurrent use.
type Keeper struct {
	roster  *allocator.Roster
	quotas  *allocator.Index
	buckets map[allocator.Name]*bucket
	// urgent holds the buckets that need a report before the next scan.
	urgent  map[*bucket]struct{}
	scanned time.Time
	// sequence is that of the last usage reported. Sequences rise with the microseconds since
	// started, so that a grant shows the age of the report that it answers.
	sequence uint64
	started  time.Time
}

// New returns a Keeper without quotas.
func New(roster *allocator.Roster) *Keeper {
	return &Keeper{
		roster:  roster,
		buckets: make(map[allocator.Name]*bucket),
		urgent:  make(map[*bucket]struct{}),
	}
}

// SetQuotas puts the quotas of new settings in force. A lower quota binds at once.
func (k *Keeper) SetQuotas(now time.Time, quotas *allocator.Index) {
	k.quotas = quotas
	for name, b := range k.buckets {
		quota, ok := quotas.Lookup(name)
		if !ok {
			k.remove(b)
			continue
		}
		if quota != b.quota {
			b.refill(now, k.roster.Count())
			b.setQuota(quota, quotas.Version())
			k.urgent[b] = struct{}{}
		}
	}
}

// HasQuota reports whether the organisation has a quota.
func (k *Keeper) HasQuota(name allocator.Name) bool {
	_, ok := k.quotas.Lookup(name)
	return ok
}

// Take decides on a new request of an organisation.
func (k *Keeper) Take(now time.Time, name allocator.Name) Decision {
	b := k.buckets[name]
	if b == nil {
		quota, ok := k.quotas.Lookup(name)
		if !ok {
			return Decision{}
		}
		b = newBucket(now, name, quota, k.roster.Count(), k.sequence, k.roster.Phase(name))
		k.buckets[name] = b
	}
	b.refill(now, k.roster.Count())
	b.recordArrival(now)
	decision := b.take(now)
	if decision.Verdict == Wait {
		b.waiting++
	}
	if b.needsUrgentReport(now) {
		k.urgent[b] = struct{}{}
	}
	return decision
}

// Retake decides again on a request that had to wait. It returns Wait only if last is unset.
func (k *Keeper) Retake(now time.Time, name allocator.Name, last bool) Decision {
	b := k.buckets[name]
	if b == nil {
		return Decision{}
	}
	b.refill(now, k.roster.Count())
	b.waiting = max(b.waiting-1, 0)
	decision := b.take(now)
	if decision.Verdict != Wait {
		return decision
	}
	if last {
		return b.refuse(now)
	}
	b.waiting++
	k.urgent[b] = struct{}{}
	return decision
}

// Return gives back the token of a request that reached no backend server.
func (k *Keeper) Return(now time.Time, name allocator.Name) {
	if b := k.buckets[name]; b != nil {
		b.refill(now, k.roster.Count())
		b.tokens = min(b.tokens+1, b.burst)
		b.returned++
	}
}

// Urgent reports whether Reports has something to send before the next scan.
func (k *Keeper) Urgent() bool {
	return len(k.urgent) > 0
}

// Reports returns the reports that are due. Its owner calls it every 50 ms, and while Urgent
// reports true, more often.
func (k *Keeper) Reports(now time.Time) []Report {
	var due []*bucket
	if now.Sub(k.scanned) >= scanPeriod || now.Before(k.scanned) {
		k.scanned = now
		due = k.scan(now)
	} else {
		for b := range k.urgent {
			if now.Sub(b.sent) >= urgentPeriod || now.Before(b.sent) {
				due = append(due, b)
			}
		}
	}
	return k.build(now, due)
}

// scan returns the buckets with a report due, and those of the same allocating nodes whose report
// is due soon. It removes the buckets that have given their rate back.
func (k *Keeper) scan(now time.Time) []*bucket {
	var due, soon []*bucket
	destinations := make(map[allocator.Node]bool)
	for _, b := range k.buckets {
		if b.released(now) {
			k.remove(b)
			continue
		}
		allocating := k.roster.Allocating(b.shard)
		if allocating != b.allocating {
			b.changeAllocating(allocating)
			k.urgent[b] = struct{}{}
		}
		_, urgent := k.urgent[b]
		urgent = urgent || b.waiting > 0 || b.isLost(now)
		age := now.Sub(b.sent)
		switch {
		case age < 0, age >= steadyPeriod, urgent && age >= urgentPeriod:
			due = append(due, b)
			destinations[allocating] = true
		case age >= steadyPeriod/2:
			soon = append(soon, b)
		}
	}
	for _, b := range soon {
		if destinations[b.allocating] {
			due = append(due, b)
		}
	}
	return due
}

// build returns the reports about the buckets, grouped by allocating node.
func (k *Keeper) build(now time.Time, due []*bucket) []Report {
	slices.SortFunc(due, func(a, b *bucket) int {
		return cmp.Or(a.shard-b.shard, strings.Compare(a.name.Organisation, b.name.Organisation), strings.Compare(a.name.Team, b.name.Team))
	})
	var reports []Report
	open := make(map[allocator.Node]int)
	for _, b := range due {
		delete(k.urgent, b)
		b.refill(now, k.roster.Count())
		b.changeAllocating(k.roster.Allocating(b.shard))
		if k.started.IsZero() {
			k.started = now
		}
		k.sequence = max(k.sequence+1, uint64(max(now.Sub(k.started).Microseconds(), 0)))
		usage := b.report(now, k.sequence)
		at, ok := open[b.allocating]
		if !ok || len(reports[at].Usages) >= maxUsages {
			at = len(reports)
			open[b.allocating] = at
			reports = append(reports, Report{
				To: b.allocating,
			})
		}
		reports[at].Usages = append(reports[at].Usages, usage)
	}
	return reports
}

// Apply applies grants of the node from, which is the sender.
func (k *Keeper) Apply(now time.Time, from allocator.Node, grants []*encoder.QuotaGrant) {
	for _, grant := range grants {
		b := k.buckets[allocator.Name{
			Team:         grant.GetTeam(),
			Organisation: grant.GetOrganisation(),
		}]
		if b == nil || b.allocating != from {
			continue
		}
		b.refill(now, k.roster.Count())
		reported := k.started.Add(time.Duration(grant.GetSequence()) * time.Microsecond)
		b.apply(now, grant, now.Sub(reported) >= cutOffTime)
	}
}

func (k *Keeper) remove(b *bucket) {
	delete(k.buckets, b.name)
	delete(k.urgent, b)
}

// Usage describes what a node knows of one organisation, for operators.
type Usage struct {
	Name    allocator.Name
	Demand  float64
	Rate    float64
	Taken   int64
	Refused int64
}

// Usages returns the limit organisations with the highest demand here.
func (k *Keeper) Usages(now time.Time, limit int) []Usage {
	usages := make([]Usage, 0, len(k.buckets))
	for _, b := range k.buckets {
		usages = append(usages, Usage{
			Name:    b.name,
			Demand:  b.demandAt(now),
			Rate:    b.rate,
			Taken:   b.taken - b.returned,
			Refused: b.refused,
		})
	}
	slices.SortFunc(usages, func(a, b Usage) int {
		return cmp.Compare(b.Demand, a.Demand)
	})
	return usages[:min(limit, len(usages))]
}
