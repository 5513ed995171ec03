package gatekeeper

import (
	"testing"
	"time"
)

// TestRequestThatMayOutliveTheStopIsPassedOn guards against requests that are taken late in a
// planned stop and cut off at its end.
func TestRequestThatMayOutliveTheStopIsPassedOn(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	cut := now.Add(5 * time.Second)
	early, late := cut.Add(-time.Second), cut.Add(time.Millisecond)
	g := New()
	enter := func(phase string, wantEarly, wantLate, wantEarlyInternal, wantLateInternal bool) {
		t.Helper()
		for _, request := range []struct {
			deadline time.Time
			internal bool
			want     bool
		}{
			{early, false, wantEarly},
			{late, false, wantLate},
			{early, true, wantEarlyInternal},
			{late, true, wantLateInternal},
		} {
			got := g.Enter(request.deadline, request.internal)
			if got {
				g.Leave()
			}
			if got != request.want {
				t.Errorf("%s: deadline %s after the cut, internal %t: got passed on %t, want %t", phase, request.deadline.Sub(cut), request.internal, got, request.want)
			}
		}
	}
	enter("before the stop", true, true, true, true)
	g.RequireEnd(cut)
	enter("before clients are refused", true, false, true, false)
	g.RefuseClients()
	enter("clients are refused", false, false, true, false)
	g.Close()
	enter("closed", false, false, false, false)
}

// TestRequestIsPassedOnAfterTheGateWasIdle guards against a request that is passed on while its
// connection is closed.
func TestRequestIsPassedOnAfterTheGateWasIdle(t *testing.T) {
	g := New()
	deadline := time.Unix(1_800_000_000, 0)
	g.Enter(deadline, true)
	idle := g.CloseWhenIdle()
	select {
	case <-idle:
		t.Error("got idle with an open request")
	default:
	}
	if !g.Enter(deadline, true) {
		t.Error("got a refusal while another request is open, want it passed on")
	}
	g.Leave()
	g.Leave()
	select {
	case <-g.CloseWhenIdle():
	default:
		t.Error("got not idle after the last request")
	}
	if g.Enter(deadline, true) {
		t.Error("got a request passed on after the gate was idle")
	}
	if got := g.Open(); got != 0 {
		t.Errorf("got %d open requests, want none", got)
	}
}
