package attributor

import (
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

func TestOverloadRatioOfFailedCall(t *testing.T) {
	full := caller.Load{
		InFlight:      10,
		Queued:        3,
		Limit:         10,
		OverloadRatio: 0.25,
	}
	free := caller.Load{
		InFlight:      2,
		Limit:         10,
		OverloadRatio: 0.25,
	}
	tests := []struct {
		name   string
		answer caller.Answer
		load   caller.Load
		want   float64
	}{
		{"refused by a full target", caller.Answer{Outcome: caller.NotRun, Reason: caller.ReasonQueueTimeout}, full, 1},
		{"refused by a target because the deadline is too near", caller.Answer{Outcome: caller.NotRun, Reason: caller.ReasonHopeless}, free, 1},
		{"refused by a backend server with free slots", caller.Answer{Outcome: caller.NotRun, Reason: caller.ReasonRefusedByBackend}, free, 0},
		{"refused by a full backend server", caller.Answer{Outcome: caller.NotRun, Reason: caller.ReasonRefusedByBackend}, full, 1},
		{"no answer from a full target", caller.Answer{Outcome: caller.Unknown, Reason: caller.ReasonTimeout}, full, 1},
		{"no answer", caller.Answer{Outcome: caller.Unknown, Reason: caller.ReasonTimeout}, free, 0.25},
		{"no answer, no load report", caller.Answer{Outcome: caller.Unknown, Reason: caller.ReasonTimeout}, caller.Load{}, 0},
		{"failed answer of a target with free slots", caller.Answer{Outcome: caller.Answered, Status: 500}, free, 0.25},
		{"connection lost", caller.Answer{Outcome: caller.Unknown, Reason: caller.ReasonConnectionLost}, free, 0},
	}
	for _, test := range tests {
		if got := OverloadRatio(&test.answer, test.load); got != test.want {
			t.Errorf("%s: got overload ratio %v, want %v", test.name, got, test.want)
		}
	}
}

func TestTableForgetsPastOverload(t *testing.T) {
	table := NewTable()
	now := time.Unix(100, 0)
	for range 40 {
		table.RecordFailure(now, 1)
	}
	if got := table.OverloadRatio(now); got != 1 {
		t.Errorf("all failures due to overload: got overload ratio %v, want 1", got)
	}
	// 3 s later, calls fail because answers are lost, not because of overload.
	now = now.Add(3 * time.Second)
	for range 45 {
		table.RecordFailure(now, 0)
	}
	if got := table.OverloadRatio(now); got > 0.15 {
		t.Errorf("45 other failures 3 s after 40 due to overload: got overload ratio %.2f, want at most 0.15", got)
	}
	now = now.Add(20 * time.Second)
	if got := table.OverloadRatio(now); got != 0 {
		t.Errorf("20 s without failures: got overload ratio %v, want 0", got)
	}
}
