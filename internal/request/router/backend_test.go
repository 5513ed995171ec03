package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// withBackend returns a member with one start of a backend server.
func withBackend(id string, born int64, incarnation uint64) *encoder.Member {
	member := memberAt(0, sameZonePlace)
	member.Incarnation = incarnation
	member.Registers = true
	member.Backend = &encoder.Backend{
		Id:            id,
		BornUnixMilli: born,
		State:         encoder.BackendState_BACKEND_READY,
	}
	return member
}

// TestNoticeIsForgottenWhenTheNodeRestarts restarts the node beside a backend server, and then the
// backend server.
func TestNoticeIsForgottenWhenTheNodeRestarts(t *testing.T) {
	now := start.Add(time.Minute)
	r := newRouter(sameZonePlace)
	id := memberAt(0, sameZonePlace).GetId()
	r.Update(now, withBackend("i-1", 1000, 5))
	recordLoad(r, now, id, caller.Load{
		Limit:          10,
		RateLimit:      7,
		BackendLeaving: true,
	})
	for _, step := range []struct {
		name    string
		member  *encoder.Member
		limit   float64
		leaving bool
	}{
		{"same node", withBackend("i-1", 1000, 5), 7, true},
		{"restarted node", withBackend("i-1", 1000, 6), 7, true},
		{"next start under the same id", withBackend("i-1", 2000, 6), 0, false},
		{"other backend server", withBackend("i-2", 1000, 6), 0, false},
	} {
		r.Update(now, step.member)
		target := r.Target(id)
		if got := r.RateLimit(now, target); got != step.limit {
			t.Errorf("%s: got rate limit %v, want %v", step.name, got, step.limit)
		}
		chosen, reason := r.Choose(now, testService, Constraints{})
		if got := chosen == nil; got != step.leaving {
			t.Errorf("%s: got no target %t (%s), want %t", step.name, got, reason, step.leaving)
		}
	}
	r.Update(now, withBackend("i-1", 1000, 7))
	later := now.Add(maxRateLimitAge + time.Second)
	if got := r.RateLimit(later, r.Target(id)); got != 0 {
		t.Errorf("after maxRateLimitAge: got rate limit %v, want none", got)
	}
	if chosen, _ := r.Choose(later, testService, Constraints{}); chosen != nil {
		t.Error("later: got a target that leaves")
	}
}

// TestBackendServerThatLeftIsUsedAgain guards against a server that is chosen again after a
// restart of its node, when the leaving is known from the announcement alone.
func TestBackendServerThatLeftIsUsedAgain(t *testing.T) {
	now := start.Add(time.Minute)
	announce := func(incarnation uint64, born int64, state encoder.BackendState, leaving bool) *encoder.Member {
		member := withBackend("i-1", born, incarnation)
		member.Backend.State = state
		member.Backend.Leaving = leaving
		return member
	}
	for _, left := range []encoder.BackendState{encoder.BackendState_BACKEND_DRAINING, encoder.BackendState_BACKEND_GONE} {
		r := newRouter(sameZonePlace)
		for _, step := range []struct {
			name   string
			member *encoder.Member
			chosen bool
		}{
			{"ready", announce(5, 1000, encoder.BackendState_BACKEND_READY, false), true},
			{"silent", announce(5, 1000, encoder.BackendState_BACKEND_GONE, false), false},
			{"back after its silence", announce(5, 1000, encoder.BackendState_BACKEND_READY, false), true},
			{"left", announce(5, 1000, left, true), false},
			{"late heartbeat at a restarted node", announce(6, 1000, encoder.BackendState_BACKEND_READY, false), false},
			{"next start under the same id", announce(6, 2000, encoder.BackendState_BACKEND_READY, false), true},
		} {
			r.Update(now, step.member)
			chosen, reason := r.Choose(now, testService, Constraints{})
			if got := chosen != nil; got != step.chosen {
				t.Errorf("%s, %s: got a target %t (%s), want %t", left, step.name, got, reason, step.chosen)
			}
		}
	}
}

// TestNoticesGrowWithoutBound guards against memory that grows with the servers that leave.
func TestNoticesGrowWithoutBound(t *testing.T) {
	now := start.Add(time.Minute)
	r := newRouter(sameZonePlace)
	for i := range maxNotices + 100 {
		member := withBackend(fmt.Sprint("i-", i), 1000, 5)
		member.Backend.Leaving = true
		now = now.Add(time.Millisecond)
		r.Update(now, member)
	}
	if got := len(r.notices); got > maxNotices {
		t.Errorf("got %d notices, want at most %d", got, maxNotices)
	}
	last := backendKey{id: fmt.Sprint("i-", maxNotices+99), bornUnixMilli: 1000}
	if !r.notices[last].leaving {
		t.Error("the newest notice is gone")
	}
}

// TestReportOfRestartedNodeEndsTheRateLimit guards against a rate limit that is forgotten because
// the restarted node beside the backend server refuses a call before it has learned the limit.
func TestReportOfRestartedNodeEndsTheRateLimit(t *testing.T) {
	now := start.Add(time.Minute)
	r := newRouter(sameZonePlace)
	id := memberAt(0, sameZonePlace).GetId()
	r.Update(now, withBackend("i-1", 1000, 5))
	recordLoad(r, now, id, caller.Load{Limit: 10, RateLimit: 7})
	r.Update(now, withBackend("i-1", 1000, 6))
	for range 3 {
		now = now.Add(time.Second)
		recordLoad(r, now, id, caller.Load{Limit: 10})
		if got := r.RateLimit(now, r.Target(id)); got != 7 {
			t.Fatalf("after a report that knows no limit: got %v, want 7", got)
		}
	}
	now = now.Add(maxRateLimitAge)
	if got := r.RateLimit(now, r.Target(id)); got != 0 {
		t.Errorf("after maxRateLimitAge without a report that knows the limit: got %v, want none", got)
	}
}

// TestEndedRateLimitStays guards against a rate limit that outlives the answer that ends it.
func TestEndedRateLimitStays(t *testing.T) {
	now := start.Add(time.Minute)
	r := newRouter(sameZonePlace)
	id := memberAt(0, sameZonePlace).GetId()
	r.Update(now, withBackend("i-1", 1000, 5))
	recordLoad(r, now, id, caller.Load{Limit: 10, RateLimit: 7})
	recordLoad(r, now, id, caller.Load{Limit: 10, RateLimitKnown: true})
	if got := r.RateLimit(now, r.Target(id)); got != 0 {
		t.Errorf("got rate limit %v after the target's node knew that there is none, want none", got)
	}
}
