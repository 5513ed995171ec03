package quotakeeper

import (
	"math"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/allocator"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Parameters of the measured demand.
const (
	// demandDecay is the time constant of the measured demand.
	demandDecay = 2 * time.Second
	// minDemandTime is the time that the first requests are taken to spread over.
	minDemandTime = 2 * time.Second
	// The demand has grown if it exceeds the reported one by the factor growth and by
	// minGrowth requests per second. One request at a small node must not count as growth.
	growth    = 1.5
	minGrowth = 1.5
	// wholeToken allows for rounding, since grants complete fractions of a token.
	wholeToken = 1 - 1e-9
	// silentBurstTime is the time in which the silent rate fills the burst.
	silentBurstTime = time.Second
)

// bucket is the token bucket of one organisation at one node.
type bucket struct {
	name  allocator.Name
	shard int
	quota allocator.Quota
	// quotaVersion is the settings version at which the quota changed here.
	quotaVersion int64
	// rate and burst are the node's part of the quota. silentRate is its rate while it gets no
	// grants.
	rate       float64
	burst      float64
	silentRate float64
	// tokens are those within the burst, and handed those from the pool beyond it, which
	// are valid until handedUntil.
	tokens      float64
	handed      float64
	handedUntil time.Time
	filled      time.Time

	demand       float64
	since        time.Time
	measured     time.Time
	lastArrival  time.Time
	reportedRate float64

	// allocating is the node that the reports go to.
	allocating allocator.Node
	sent       time.Time
	// sequence is that of the last report, and applied that of the last grant applied.
	sequence uint64
	applied  uint64
	// heard is the time of the last grant, or of the first request. unanswered is the time
	// of the first report since then, or zero.
	heard      time.Time
	unanswered time.Time
	// asked is the sequence of the last report that asked for tokens, and wanted their number.
	asked          uint64
	wanted         float64
	exhaustedUntil time.Time
	// givenBack is the sequence of the first report after the rate was given back, or 0.
	givenBack uint64
	waiting   int
	// silent reports whether the node applies its silent rate. phase is the part of a token,
	// below 1, that it has then at first.
	silent bool
	phase  float64

	taken    int64
	returned int64
	refused  int64
}

func newBucket(now time.Time, name allocator.Name, quota allocator.Quota, count int, sequence uint64, phase float64) *bucket {
	rate := quota.UnconfirmedShare(count)
	return &bucket{
		name:     name,
		shard:    allocator.ShardOf(name),
		quota:    quota,
		rate:     rate,
		burst:    2 * rate,
		filled:   now,
		since:    now,
		measured: now,
		heard:    now,
		applied:  sequence,
		phase:    phase,
	}
}

// refill adds the tokens of the time since the last call. After a long silence of the allocating
// node it changes to an equal share among count nodes.
func (b *bucket) refill(now time.Time, count int) {
	if allocator.Elapsed(b.heard, now) >= silenceTime {
		b.rate = b.quota.Share(count)
		b.burst = b.quota.Stock() / float64(max(count, 1))
		b.handed = 0
	}
	if !b.unanswered.IsZero() && now.Sub(b.unanswered) >= cutOffTime {
		b.rate = max(b.rate, b.silentRate)
		b.burst = max(b.burst, b.rate*silentBurstTime.Seconds())
		b.beginSilence()
	}
	elapsed := max(now.Sub(b.filled), 0)
	b.filled = now
	b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), b.burst)
	if !now.Before(b.handedUntil) {
		b.handed = 0
	}
}

// beginSilence lets the bucket of a node that gets no grants hold a whole token, however low its
// silent rate is. It starts with a part of a token that differs from node to node, so that the
// nodes of a small organisation admit its requests at their rates from the start on average.
func (b *bucket) beginSilence() {
	if b.silentRate == 0 {
		return
	}
	b.burst = max(b.burst, 1)
	if !b.silent {
		b.silent = true
		b.tokens = max(b.tokens, b.phase)
	}
}

func (b *bucket) recordArrival(now time.Time) {
	elapsed := max(now.Sub(b.measured), 0)
	b.demand = b.demand*math.Exp(-elapsed.Seconds()/demandDecay.Seconds()) + 1/demandDecay.Seconds()
	b.measured = now
	b.lastArrival = now
	b.givenBack = 0
}

func (b *bucket) demandAt(now time.Time) float64 {
	elapsed := max(now.Sub(b.measured), 0)
	age := max(now.Sub(b.since), minDemandTime)
	return b.demand * math.Exp(-elapsed.Seconds()/demandDecay.Seconds()) / (1 - math.Exp(-age.Seconds()/demandDecay.Seconds()))
}

// take takes a token if there is one.
func (b *bucket) take(now time.Time) Decision {
	switch {
	case b.handed >= wholeToken:
		b.handed = max(b.handed-1, 0)
	case b.tokens >= wholeToken:
		b.tokens = max(b.tokens-1, 0)
	case b.mayWait(now):
		return Decision{
			Verdict: Wait,
		}
	default:
		return b.refuse(now)
	}
	b.taken++
	return Decision{}
}

// mayWait reports whether a grant may bring a token soon.
func (b *bucket) mayWait(now time.Time) bool {
	if b.waiting >= maxWaiting || now.Before(b.exhaustedUntil) {
		return false
	}
	return b.unanswered.IsZero() || now.Sub(b.unanswered) < MaxWait
}

// refuse counts a refusal. The time until the next request fits follows from the silent rate, which
// is the node's part of the whole quota, with the tokens that it would be handed.
func (b *bucket) refuse(now time.Time) Decision {
	b.refused++
	seconds := 1 / b.quota.Rate
	if rate := max(b.rate, b.silentRate); rate > 0 {
		seconds = max(1-b.tokens-b.handed, 0) / rate
	}
	after := time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	return Decision{
		Verdict:    Refuse,
		RetryAfter: max(after, minRetryAfter, b.exhaustedUntil.Sub(now)),
	}
}

// needsUrgentReport reports whether the bucket is nearly empty or the demand has grown.
func (b *bucket) needsUrgentReport(now time.Time) bool {
	demand := b.demandAt(now)
	if b.waiting > 0 || demand >= minStockDemand && b.tokens+b.handed < lowStock && !now.Before(b.exhaustedUntil) {
		return true
	}
	return demand > growth*b.reportedRate+minGrowth
}

// isLost reports whether a report or its answer seems lost. While the allocating node is silent for
// longer, reports are sent at the usual times.
func (b *bucket) isLost(now time.Time) bool {
	if b.unanswered.IsZero() {
		return false
	}
	silence := now.Sub(b.unanswered)
	return silence >= resendTime && silence < cutOffTime
}

// report returns the usage to send. If there were no requests for a while, it gives the rate back.
func (b *bucket) report(now time.Time, sequence uint64) *encoder.QuotaUsage {
	demand := b.demandAt(now)
	if now.Sub(b.lastArrival) >= idleTime {
		demand, b.demand, b.since = 0, 0, now
		b.rate, b.burst, b.tokens, b.handed, b.silentRate = 0, 0, 0, 0, 0
		if b.givenBack == 0 {
			b.givenBack = sequence
			// Grants that are under way must not be applied any more.
			b.applied = sequence - 1
		}
	}
	wanted := 0.0
	if have := b.tokens + b.handed; demand > 0 && (have < lowStock || b.waiting > 0) {
		stock := 0.0
		if demand >= minStockDemand {
			stock = max(minStock, demand*stockTime.Seconds())
		}
		wanted = max(math.Ceil(stock)+float64(b.waiting)-have, 0)
		if wanted > 0 {
			b.asked, b.wanted = sequence, wanted
		}
	}
	b.sent = now
	b.sequence = sequence
	b.reportedRate = demand
	if b.unanswered.IsZero() {
		b.unanswered = now
	}
	return &encoder.QuotaUsage{
		Team:         b.name.Team,
		Organisation: b.name.Organisation,
		Demand:       demand,
		Rate:         b.rate,
		Tokens:       wanted,
		Sequence:     sequence,
		Applied:      b.applied,
		SilentRate:   b.silentRate,
	}
}

// changeAllocating notes the node that the reports go to from now on.
func (b *bucket) changeAllocating(allocating allocator.Node) {
	if allocating == b.allocating {
		return
	}
	b.allocating = allocating
	b.unanswered = time.Time{}
}

// apply applies a grant, unless it is older than the last one applied. A grant from settings
// older than the quota in force here can only lower the rate. While grants are late, the node stays
// at its silent rate.
func (b *bucket) apply(now time.Time, grant *encoder.QuotaGrant, late bool) {
	if grant.GetSequence() <= b.applied || grant.GetSequence() > b.sequence {
		return
	}
	rate, burst, tokens := grant.GetRate(), grant.GetBurst(), grant.GetTokens()
	silentRate := grant.GetSilentRate()
	if grant.GetSettingsVersion() < b.quotaVersion {
		rate, burst, tokens = min(rate, b.rate), min(burst, b.burst), 0
		silentRate = min(silentRate, b.silentRate)
	}
	if b.givenBack > 0 {
		rate, burst, tokens, silentRate = 0, 0, 0, 0
	}
	b.applied = grant.GetSequence()
	b.heard = now
	if !late {
		b.unanswered = time.Time{}
	}
	b.rate = rate
	b.silent = false
	b.silentRate = silentRate
	b.burst = burst
	b.tokens = min(b.tokens, burst)
	if tokens > 0 {
		kept := min(tokens, b.burst-b.tokens)
		b.tokens += kept
		b.handed += tokens - kept
		b.handedUntil = now.Add(handedLifetime)
	}
	// Requests that began to wait after the report are no sign of an empty pool.
	if b.asked == grant.GetSequence() && tokens < b.wanted*wholeToken {
		b.exhaustedUntil = now.Add(exhaustedTime)
	}
}

// setQuota changes the quota. A lower one lowers the node's part in proportion.
func (b *bucket) setQuota(quota allocator.Quota, version int64) {
	if part := quota.Rate / b.quota.Rate; part < 1 {
		b.rate *= part
		b.silentRate *= part
	}
	if part := quota.Stock() / b.quota.Stock(); part < 1 {
		b.burst *= part
	}
	b.tokens = min(b.tokens, b.burst)
	b.handed = min(b.handed, b.burst)
	b.quota = quota
	b.quotaVersion = version
}

// released reports whether the allocating node knows that the rate was given back, or has been
// silent for so long that it counts an equal share.
func (b *bucket) released(now time.Time) bool {
	if b.givenBack == 0 {
		return false
	}
	return b.applied >= b.givenBack || allocator.Elapsed(b.heard, now) >= silenceTime
}
