// Package tallier counts the requests of organisations at the node where they enter: how many
// came, how many were served, and why others were not. It does no I/O.
//
// # Usage
//
//	tally := tallier.New()
//	tally.RecordArrival(now, tallier.Key{Team: "county", Organisation: "pulo780"})
//	tally.RecordAnswer(key, answer)
//	usages := tally.Largest(now, tallier.MaxReported)
package tallier

import (
	"cmp"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/fader"
)

const (
	// MaxReported is the number of organisations that status and metrics show.
	MaxReported = 20
	// maxCounted bounds the organisations that are counted. Beyond it, the one with the lowest
	// recent demand is forgotten.
	maxCounted = 1024
	// demandHalfLife is the time in which the recent demand falls by half without requests.
	demandHalfLife = 30 * time.Second
)

// Key identifies an organisation of a team.
type Key struct {
	Team         string
	Organisation string
}

// Usage is what a node counted of one organisation since it started.
type Usage struct {
	Team         string `json:"team"`
	Organisation string `json:"organisation"`
	// RecentPerSecond is the demand of about the last minute, in requests per second.
	RecentPerSecond float64 `json:"recentPerSecond"`
	Demand          int64   `json:"demand"`
	// Served counts the answers of backend servers with a status below 500.
	Served int64 `json:"served"`
	// Refused counts, by reason, the requests that did not run, and Failed the others that were
	// not served.
	Refused map[string]int64 `json:"refused,omitempty"`
	Failed  map[string]int64 `json:"failed,omitempty"`
}

// Plus returns the sum of u and what another node counted of the same organisation.
func (u Usage) Plus(other Usage) Usage {
	return Usage{
		Team:            other.Team,
		Organisation:    other.Organisation,
		RecentPerSecond: u.RecentPerSecond + other.RecentPerSecond,
		Demand:          u.Demand + other.Demand,
		Served:          u.Served + other.Served,
		Refused:         sumCounts(u.Refused, other.Refused),
		Failed:          sumCounts(u.Failed, other.Failed),
	}
}

func sumCounts(a, b map[string]int64) map[string]int64 {
	sum := make(map[string]int64, len(a)+len(b))
	for _, counts := range []map[string]int64{a, b} {
		for name, count := range counts {
			sum[name] += count
		}
	}
	return sum
}

// Tally holds the counters of one node. Its methods are safe for concurrent use.
type Tally struct {
	mu      sync.Mutex
	entries map[Key]*entry
}

// entry holds the counters of one organisation.
type entry struct {
	demand, served  int64
	refused, failed map[caller.Reason]int64
	recent          float64
	fader           fader.Fader
}

// New returns a Tally without counters.
func New() *Tally {
	return &Tally{
		entries: make(map[Key]*entry),
	}
}

// RecordArrival counts a request of an organisation.
func (t *Tally) RecordArrival(now time.Time, key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[key]
	if e == nil {
		if len(t.entries) >= maxCounted {
			t.forgetSmallest(now)
		}
		e = &entry{
			refused: make(map[caller.Reason]int64),
			failed:  make(map[caller.Reason]int64),
			fader:   fader.New(demandHalfLife),
		}
		t.entries[key] = e
	}
	e.demand++
	e.recent = e.recent*e.fader.DecayFactor(now) + 1
}

// RecordAnswer counts the answer to a request that RecordArrival counted.
func (t *Tally) RecordAnswer(key Key, answer *caller.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[key]
	switch {
	case e == nil:
		// The organisation was forgotten.
	case answer.Outcome == caller.Answered && answer.Status < http.StatusInternalServerError:
		e.served++
	case answer.Outcome == caller.NotRun:
		e.refused[answer.Reason]++
	default:
		e.failed[answer.Reason]++
	}
}

// forgetSmallest removes the organisation with the lowest recent demand. The caller holds t.mu.
func (t *Tally) forgetSmallest(now time.Time) {
	var smallest Key
	lowest := math.Inf(1)
	for key, e := range t.entries {
		if recent := e.recentAt(now); recent < lowest {
			smallest, lowest = key, recent
		}
	}
	delete(t.entries, smallest)
}

// recentAt returns the recent demand as a decaying number of requests.
func (e *entry) recentAt(now time.Time) float64 {
	e.recent *= e.fader.DecayFactor(now)
	return e.recent
}

// Largest returns the count organisations with the highest recent demand, the highest first.
func (t *Tally) Largest(now time.Time, count int) []Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	usages := make([]Usage, 0, len(t.entries))
	for key, e := range t.entries {
		usages = append(usages, Usage{
			Team:            key.Team,
			Organisation:    key.Organisation,
			RecentPerSecond: e.recentAt(now) * math.Ln2 / demandHalfLife.Seconds(),
			Demand:          e.demand,
			Served:          e.served,
			Refused:         namedCounts(e.refused),
			Failed:          namedCounts(e.failed),
		})
	}
	slices.SortFunc(usages, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.RecentPerSecond, a.RecentPerSecond), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Organisation, b.Organisation))
	})
	return usages[:min(count, len(usages))]
}

// namedCounts returns counts by the names of their reasons.
func namedCounts(counts map[caller.Reason]int64) map[string]int64 {
	named := make(map[string]int64, len(counts))
	for reason, count := range counts {
		named[reason.String()] += count
	}
	return named
}
