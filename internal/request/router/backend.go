package router

import (
	"iter"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

const (
	// maxRoomUtilization is the utilization below which a target has room for another call.
	maxRoomUtilization = 0.9
	// backendRetention is how long a router keeps what a backend server said of itself.
	backendRetention = 10 * time.Minute
	// maxNotices bounds the starts of backend servers that a router keeps notices of.
	maxNotices = 8192
	// maxRateLimitAge is the age at which a rate limit is no longer told to other nodes.
	maxRateLimitAge = time.Minute
)

// backendKey identifies one start of a registered backend server.
type backendKey struct {
	id            string
	bornUnixMilli int64
}

// backendNotice is what one start of a backend server said of itself. It stays when the node
// beside the backend server restarts.
type backendNotice struct {
	observed time.Time
	// rateLimit is the rate limit that was known at limitObserved.
	rateLimit     float64
	limitObserved time.Time
	// leaving never ends: a server that takes calls again has another start.
	leaving bool
}

func keyOf(member *encoder.Member) backendKey {
	return backendKey{
		id:            member.GetBackend().GetId(),
		bornUnixMilli: member.GetBackend().GetBornUnixMilli(),
	}
}

// recordNotice stores what a load report of the target says of its backend server. A report of a
// node that does not know the rate limit does not end the one that is known here.
func (r *Router) recordNotice(now time.Time, target *Target) {
	key := keyOf(target.Member)
	if key.id == "" {
		return
	}
	load := target.lastLoad
	notice := r.notices[key]
	notice.observed = now
	notice.leaving = notice.leaving || load.BackendLeaving
	if load.RateLimitKnown || load.RateLimit > 0 {
		notice.rateLimit, notice.limitObserved = load.RateLimit, now
	}
	if notice.rateLimit == 0 && !notice.leaving {
		delete(r.notices, key)
		return
	}
	r.storeNotice(now, key, notice)
}

// recordAnnouncement stores that the backend server of a member leaves, if the member
// announces that. A node that has restarted may not know it any more.
func (r *Router) recordAnnouncement(now time.Time, member *encoder.Member) {
	if !member.GetBackend().GetLeaving() {
		return
	}
	key := keyOf(member)
	notice := r.notices[key]
	notice.observed = now
	notice.leaving = true
	r.storeNotice(now, key, notice)
}

// storeNotice stores a notice and removes those that are too old. If there are too many, it
// removes the oldest one.
func (r *Router) storeNotice(now time.Time, key backendKey, notice backendNotice) {
	r.notices[key] = notice
	oldest := key
	for other, notice := range r.notices {
		if now.Sub(notice.observed) > backendRetention {
			delete(r.notices, other)
		} else if notice.observed.Before(r.notices[oldest].observed) {
			oldest = other
		}
	}
	if len(r.notices) > maxNotices {
		delete(r.notices, oldest)
	}
}

// IsLeaving reports whether the target takes no new calls: its node or its backend server
// leaves.
func (r *Router) IsLeaving(target *Target) bool {
	return target.isLeaving() || len(r.notices) > 0 && r.notices[keyOf(target.Member)].leaving
}

// RateLimit returns the rate limit of the target's backend server, in calls per second, or 0
// if none is known.
func (r *Router) RateLimit(now time.Time, target *Target) float64 {
	notice := r.notices[keyOf(target.Member)]
	if now.Sub(notice.limitObserved) > maxRateLimitAge {
		return 0
	}
	return notice.rateLimit
}

// Utilization returns the running and queued calls of all usable targets of a service as a
// fraction of their limits, or 1 if there are none.
func (r *Router) Utilization(now time.Time, service describer.ServiceName) float64 {
	outstanding, limit := 0.0, 0.0
	for target := range r.usableTargets(now, service) {
		outstanding += float64(target.outstanding(now))
		limit += target.limit()
	}
	if limit == 0 {
		return 1
	}
	return outstanding / limit
}

// HasRoom reports whether a target of the service other than the excluded member has room for
// another call.
func (r *Router) HasRoom(now time.Time, service describer.ServiceName, exclude string) bool {
	for target := range r.usableTargets(now, service) {
		if target.Member.GetId() != exclude && r.score(now, target, 0) < maxRoomUtilization {
			return true
		}
	}
	return false
}

// usableTargets returns the targets of a service that neither leave nor are avoided.
func (r *Router) usableTargets(now time.Time, service describer.ServiceName) iter.Seq[*Target] {
	return func(yield func(*Target) bool) {
		g := r.services[service]
		if g == nil {
			return
		}
		for _, target := range g.targets {
			if !r.IsLeaving(target) && !isAvoided(now, target) && !yield(target) {
				return
			}
		}
	}
}
