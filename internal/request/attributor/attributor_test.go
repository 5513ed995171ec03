package attributor

import (
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

func TestStrainOfFailedCall(t *testing.T) {
	full := caller.Load{
		InFlight: 10,
		Queued:   3,
		Limit:    10,
		Strain:   0.25,
	}
	free := caller.Load{
		InFlight: 2,
		Limit:    10,
		Strain:   0.25,
	}
	tests := []struct {
		name   string
		answer caller.Answer
		load   caller.Load
		want   float64
	}{
		{"refused by a full target", caller.Answer{Outcome: caller.NotRun, Reason: caller.ReasonQueueTimeout}, full, 1},
		{"refused in time by a target", caller.Answer{Outcome: caller.NotRun, Reason: caller.ReasonHopeless}, free, 1},
		{"rejected by a backend server with free slots", caller.Answer{Outcome: caller.NotRun, Reason: caller.ReasonRefusedByBackend}, free, 0},
		{"rejected by a full backend server", caller.Answer{Outcome: caller.NotRun, Reason: caller.ReasonRefusedByBackend}, full, 1},
		{"no answer from a full target", caller.Answer{Outcome: caller.Unknown, Reason: caller.ReasonTimeout}, full, 1},
		{"no answer", caller.Answer{Outcome: caller.Unknown, Reason: caller.ReasonTimeout}, free, 0.25},
		{"no answer, nothing reported", caller.Answer{Outcome: caller.Unknown, Reason: caller.ReasonTimeout}, caller.Load{}, 0},
		{"failed by its own calls", caller.Answer{Outcome: caller.Answered, Status: 500}, free, 0.25},
		{"connection lost", caller.Answer{Outcome: caller.Unknown, Reason: caller.ReasonConnectionLost}, free, 0},
	}
	for _, test := range tests {
		if got := OverloadRatio(&test.answer, test.load); got != test.want {
			t.Errorf("%s: got strain %v, want %v", test.name, got, test.want)
		}
	}
}

func TestTableForgetsCausesThatEnded(t *testing.T) {
	table := NewTable()
	now := time.Unix(100, 0)
	for range 40 {
		table.RecordFailure(now, 1)
	}
	if got := table.OverloadRatio(now); got != 1 {
		t.Errorf("all failures for lack of capacity: got strain %v, want 1", got)
	}
	// 3 s later answers are lost, and nothing lacks capacity.
	now = now.Add(3 * time.Second)
	for range 45 {
		table.RecordFailure(now, 0)
	}
	if got := table.OverloadRatio(now); got > 0.15 {
		t.Errorf("45 other failures 3 s after 40 for lack of capacity: got strain %.2f, want at most 0.15", got)
	}
	now = now.Add(20 * time.Second)
	if got := table.OverloadRatio(now); got != 0 {
		t.Errorf("20 s without failures: got strain %v, want 0", got)
	}
}
