package admitter

import (
	"math"
	"time"
)

// Limiter parameters.
const (
	// initialShare is the share of the slots a fresh limiter starts with.
	initialShare = 0.5
	minLimit     = 2
	// headroom keeps the limit above the measured bandwidth-delay product, so
	// that a growing capacity is noticed.
	headroom = 1.3
	// baselineAge is the time after which the shortest service time must be
	// measured again.
	baselineAge = 10 * time.Second
	// probeShare is the share of the limit in use while measuring it.
	probeShare = 0.6
	minWindow  = 100 * time.Millisecond
	// windowServices is the number of service times that a window spans.
	windowServices = 3
)

// Limiter finds the concurrency limit of one backend server from its own
// observations: throughput times shortest service time, with headroom. Unlike
// a limit that shrinks whenever latency grows, it leaves the limit of a server
// alone whose calls became slow without competing for capacity.
//
// The service time excludes what the backend server waits for its own calls.
type Limiter struct {
	slots int
	limit float64

	windowStart time.Time
	completed   int
	shortest    time.Duration
	saturated   bool

	baseline     time.Duration
	baselineTime time.Time
	rate         float64
	probing      bool
	failed       bool
}

// NewLimiter returns a limiter for a backend server with the given slots.
func NewLimiter(slots int, now time.Time) *Limiter {
	return &Limiter{
		slots:        slots,
		limit:        math.Max(minLimit, float64(slots)*initialShare),
		windowStart:  now,
		baselineTime: now,
	}
}

// SetSlots changes the upper bound of the limit.
func (l *Limiter) SetSlots(slots int) {
	l.slots = slots
	l.limit = l.clamp(l.limit)
}

// Limit returns the number of calls that may run at once.
func (l *Limiter) Limit() int {
	if l.probing {
		return max(int(l.limit*probeShare), minLimit)
	}
	return int(l.limit)
}

// Saturated notes that a call had to wait for the limit.
func (l *Limiter) Saturated() {
	l.saturated = true
}

// Failed notes that the backend server refused or failed a call for overload.
func (l *Limiter) Failed() {
	l.failed = true
}

// Done notes one completed call and its service time.
func (l *Limiter) Done(now time.Time, service time.Duration) {
	l.completed++
	if l.shortest == 0 || service < l.shortest {
		l.shortest = service
	}
	if now.Sub(l.windowStart) >= l.window() {
		l.update(now)
	}
}

func (l *Limiter) window() time.Duration {
	return max(minWindow, windowServices*l.baseline)
}

// update ends a window.
func (l *Limiter) update(now time.Time) {
	elapsed := now.Sub(l.windowStart).Seconds()
	rate := float64(l.completed) / elapsed
	expired := now.Sub(l.baselineTime) > baselineAge
	switch {
	case l.baseline == 0 || l.shortest <= l.baseline || l.probing || (expired && !l.saturated):
		l.baseline = l.shortest
		l.baselineTime = now
		l.probing = false
	case expired:
		l.probing = true
	}
	l.adjust(rate)
	l.windowStart = now
	l.completed = 0
	l.shortest = 0
	l.saturated = false
	l.failed = false
}

func (l *Limiter) adjust(rate float64) {
	if l.failed {
		l.limit = l.clamp(l.limit * 0.9)
		return
	}
	if !l.saturated || l.probing {
		return
	}
	product := rate * l.baseline.Seconds() * headroom
	if product >= l.limit {
		l.limit = l.clamp(math.Min(product, l.limit*2))
		return
	}
	l.limit = l.clamp(math.Max(product, l.limit*0.8))
}

func (l *Limiter) clamp(limit float64) float64 {
	if l.slots > 0 {
		limit = math.Min(limit, float64(l.slots))
	}
	return math.Max(limit, minLimit)
}
