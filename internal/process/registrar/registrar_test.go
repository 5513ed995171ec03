package registrar

import (
	"net/netip"
	"testing"
	"time"
)

var (
	address = netip.MustParseAddrPort("10.0.0.1:80")
	start   = time.Unix(1_800_000_000, 0)
)

func beat(id string, born time.Duration, sequence uint64, state State) Heartbeat {
	return Heartbeat{
		ID:       id,
		Address:  address,
		Service:  "allot",
		Slots:    10,
		State:    state,
		Born:     start.Add(born),
		Sequence: sequence,
	}
}

func newRegistrar() *Registrar {
	return New(Config{
		Service:  "allot",
		Address:  address,
		Interval: time.Second,
	})
}

func TestHeartbeatsAreJudged(t *testing.T) {
	foreignService := beat("a", 0, 9, Ready)
	foreignService.Service = "desk"
	foreignAddress := beat("a", 0, 9, Ready)
	foreignAddress.Address = netip.MustParseAddrPort("10.0.0.2:80")
	type step struct {
		after time.Duration
		beat  Heartbeat
		want  Verdict
		state State
		id    string
	}
	for name, steps := range map[string][]step{
		"rising sequence": {
			{beat: beat("a", 0, 1, Ready), want: Taken, state: Ready, id: "a"},
			{beat: beat("a", 0, 2, Draining), want: Taken, state: Draining, id: "a"},
		},
		"late heartbeat of the same start": {
			{beat: beat("a", 0, 3, Draining), want: Taken, state: Draining, id: "a"},
			{beat: beat("a", 0, 2, Ready), want: Late, state: Draining, id: "a"},
		},
		"a leaving is not taken back": {
			{beat: beat("a", 0, 3, Draining), want: Taken, state: Draining, id: "a"},
			{beat: beat("a", 0, 4, Ready), want: Late, state: Draining, id: "a"},
		},
		"same id started again": {
			{beat: beat("a", 0, 9, Draining), want: Taken, state: Draining, id: "a"},
			{beat: beat("a", time.Second, 1, Ready), want: Taken, state: Ready, id: "a"},
			{beat: beat("a", 0, 10, Draining), want: Late, state: Ready, id: "a"},
		},
		"late heartbeat of a predecessor": {
			{beat: beat("b", time.Second, 1, Ready), want: Taken, state: Ready, id: "b"},
			{beat: beat("a", 0, 7, Ready), want: Late, state: Ready, id: "b"},
		},
		"earlier clock after silence": {
			{beat: beat("b", time.Second, 1, Ready), want: Taken, state: Ready, id: "b"},
			{after: 6 * time.Second, beat: beat("a", 0, 1, Ready), want: Taken, state: Ready, id: "a"},
		},
		"foreign": {
			{beat: foreignService, want: Foreign, state: Gone},
			{beat: foreignAddress, want: Foreign, state: Gone},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, now := newRegistrar(), start
			for i, step := range steps {
				now = now.Add(step.after)
				if got := r.Heartbeat(now, step.beat); got != step.want {
					t.Errorf("step %d: got %s, want %s", i, got, step.want)
				}
				got := r.Current(now)
				if got.State != step.state || got.ID != step.id {
					t.Errorf("step %d: got %s %s, want %s %s", i, got.ID, got.State, step.id, step.state)
				}
			}
		})
	}
}

func TestSilentBackendServerIsGone(t *testing.T) {
	r := newRegistrar()
	r.Heartbeat(start, beat("a", 0, 1, Ready))
	if got := r.Current(start.Add(4 * time.Second)).State; got != Ready {
		t.Errorf("after 4 intervals: got %s, want ready", got)
	}
	if got := r.Current(start.Add(6 * time.Second)).State; got != Gone {
		t.Errorf("after 6 intervals: got %s, want gone", got)
	}
	if got := r.Heartbeat(start.Add(7*time.Second), beat("a", 0, 2, Ready)); got != Taken {
		t.Errorf("heard again: got %s, want taken", got)
	}
}

func TestDeregisteredStartStaysAway(t *testing.T) {
	r := newRegistrar()
	r.Heartbeat(start, beat("a", 0, 1, Ready))
	if got := r.Deregister("b", time.Time{}); got != Late {
		t.Errorf("another one: got %s, want late", got)
	}
	if got := r.Deregister("a", time.Time{}); got != Taken {
		t.Errorf("got %s, want taken", got)
	}
	if got := r.Current(start).State; got != Gone {
		t.Errorf("got %s, want gone", got)
	}
	if got := r.Heartbeat(start, beat("a", 0, 2, Ready)); got != Late {
		t.Errorf("heartbeat after deregistration: got %s, want late", got)
	}
	if got := r.Heartbeat(start, beat("a", time.Second, 1, Ready)); got != Taken {
		t.Errorf("next start: got %s, want taken", got)
	}
}
