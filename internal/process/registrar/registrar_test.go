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

func heartbeat(id string, born time.Duration, sequence uint64, state State) Heartbeat {
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

func TestHeartbeatVerdicts(t *testing.T) {
	foreignService := heartbeat("a", 0, 9, Ready)
	foreignService.Service = "desk"
	foreignAddress := heartbeat("a", 0, 9, Ready)
	foreignAddress.Address = netip.MustParseAddrPort("10.0.0.2:80")
	type step struct {
		after     time.Duration
		heartbeat Heartbeat
		want      Verdict
		state     State
		id        string
	}
	for name, steps := range map[string][]step{
		"rising sequence": {
			{heartbeat: heartbeat("a", 0, 1, Ready), want: Taken, state: Ready, id: "a"},
			{heartbeat: heartbeat("a", 0, 2, Draining), want: Taken, state: Draining, id: "a"},
		},
		"late heartbeat of the same start": {
			{heartbeat: heartbeat("a", 0, 3, Draining), want: Taken, state: Draining, id: "a"},
			{heartbeat: heartbeat("a", 0, 2, Ready), want: Late, state: Draining, id: "a"},
		},
		"draining is not reverted to ready": {
			{heartbeat: heartbeat("a", 0, 3, Draining), want: Taken, state: Draining, id: "a"},
			{heartbeat: heartbeat("a", 0, 4, Ready), want: Late, state: Draining, id: "a"},
		},
		"same id started again": {
			{heartbeat: heartbeat("a", 0, 9, Draining), want: Taken, state: Draining, id: "a"},
			{heartbeat: heartbeat("a", time.Second, 1, Ready), want: Taken, state: Ready, id: "a"},
			{heartbeat: heartbeat("a", 0, 10, Draining), want: Late, state: Ready, id: "a"},
		},
		"late heartbeat of an earlier start": {
			{heartbeat: heartbeat("b", time.Second, 1, Ready), want: Taken, state: Ready, id: "b"},
			{heartbeat: heartbeat("a", 0, 7, Ready), want: Late, state: Ready, id: "b"},
		},
		"earlier start time after the lease expired": {
			{heartbeat: heartbeat("b", time.Second, 1, Ready), want: Taken, state: Ready, id: "b"},
			{after: 6 * time.Second, heartbeat: heartbeat("a", 0, 1, Ready), want: Taken, state: Ready, id: "a"},
		},
		"foreign": {
			{heartbeat: foreignService, want: Foreign, state: Gone},
			{heartbeat: foreignAddress, want: Foreign, state: Gone},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, now := newRegistrar(), start
			for i, step := range steps {
				now = now.Add(step.after)
				if got := r.Heartbeat(now, step.heartbeat); got != step.want {
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

func TestBackendServerIsGoneWhenLeaseExpires(t *testing.T) {
	r := newRegistrar()
	r.Heartbeat(start, heartbeat("a", 0, 1, Ready))
	if got := r.Current(start.Add(4 * time.Second)).State; got != Ready {
		t.Errorf("after 4 intervals: got %s, want ready", got)
	}
	if got := r.Current(start.Add(6 * time.Second)).State; got != Gone {
		t.Errorf("after 6 intervals: got %s, want gone", got)
	}
	if got := r.Heartbeat(start.Add(7*time.Second), heartbeat("a", 0, 2, Ready)); got != Taken {
		t.Errorf("heartbeat after silence: got %s, want taken", got)
	}
}

func TestDeregisteredStartStaysGone(t *testing.T) {
	r := newRegistrar()
	r.Heartbeat(start, heartbeat("a", 0, 1, Ready))
	if got := r.Deregister("b", time.Time{}); got != Late {
		t.Errorf("deregistration of another ID: got %s, want late", got)
	}
	if got := r.Deregister("a", time.Time{}); got != Taken {
		t.Errorf("deregistration: got %s, want taken", got)
	}
	if got := r.Current(start).State; got != Gone {
		t.Errorf("state after deregistration: got %s, want gone", got)
	}
	if got := r.Heartbeat(start, heartbeat("a", 0, 2, Ready)); got != Late {
		t.Errorf("heartbeat after deregistration: got %s, want late", got)
	}
	if got := r.Heartbeat(start, heartbeat("a", time.Second, 1, Ready)); got != Taken {
		t.Errorf("heartbeat of the next start: got %s, want taken", got)
	}
}

// TestDeregistrationWithoutStartTimeKeepsTheKnownOne deregisters a server twice, the second
// time without a start time and after another server has registered. Heartbeats of the
// first server's ended start must still be late.
func TestDeregistrationWithoutStartTimeKeepsTheKnownOne(t *testing.T) {
	r := newRegistrar()
	r.Heartbeat(start, heartbeat("a", time.Second, 1, Ready))
	r.Deregister("a", start.Add(time.Second))
	r.Heartbeat(start, heartbeat("b", 2*time.Second, 1, Ready))
	r.Deregister("a", time.Time{})
	later := start.Add(time.Minute)
	if got := r.Heartbeat(later, heartbeat("a", time.Second, 2, Ready)); got != Late {
		t.Errorf("heartbeat of the deregistered start: got %s, want late", got)
	}
}

// TestLeavingBackendServerIsReadyAgainByHeartbeat reports ready after a backend server said
// elsewhere that it leaves, also after its lease has expired.
func TestLeavingBackendServerIsReadyAgainByHeartbeat(t *testing.T) {
	r := newRegistrar()
	now := start
	r.Heartbeat(now, heartbeat("a", 0, 1, Ready))
	r.MarkDraining("other")
	if got := r.Current(now).State; got != Ready {
		t.Errorf("another one leaves: got %s, want ready", got)
	}
	r.MarkDraining("a")
	for sequence, wait := range []time.Duration{0, time.Second, time.Second, time.Minute, time.Second} {
		now = now.Add(wait)
		if got := r.Current(now).State; got == Ready {
			t.Errorf("before heartbeat %d: got ready, want draining or gone", sequence)
		}
		r.Heartbeat(now, heartbeat("a", 0, uint64(sequence+2), Ready))
		if got := r.Current(now).State; got != Draining {
			t.Errorf("after heartbeat %d: got %s, want draining", sequence, got)
		}
	}
	r.Heartbeat(now, heartbeat("a", time.Second, 1, Ready))
	if got := r.Current(now).State; got != Ready {
		t.Errorf("next start: got %s, want ready", got)
	}
}

// TestStartThatLeftIsRegisteredAgain guards against a late heartbeat that puts a start in force
// again which an earlier process knew to have left.
func TestStartThatLeftIsRegisteredAgain(t *testing.T) {
	r := newRegistrar()
	r.MarkLeaving("a", start)
	if got := r.Heartbeat(start, heartbeat("a", 0, 7, Ready)); got != Taken {
		t.Errorf("got verdict %s, want taken", got)
	}
	if got := r.Current(start); got.State != Draining || !got.Leaving {
		t.Errorf("start that left: got %s, leaving %t, want draining, leaving", got.State, got.Leaving)
	}
	for _, next := range []Heartbeat{heartbeat("a", time.Second, 1, Ready), heartbeat("b", 2*time.Second, 1, Ready)} {
		r.Heartbeat(start, next)
		if got := r.Current(start); got.State != Ready || got.Leaving || got.ID != next.ID {
			t.Errorf("next start %s: got %s of %s, leaving %t, want ready", next.ID, got.State, got.ID, got.Leaving)
		}
	}
	r.MarkLeaving("b", start.Add(2*time.Second))
	if got := r.Current(start); got.State != Draining {
		t.Errorf("start in force: got %s, want draining", got.State)
	}
}

// TestSilentStartCountsAsLeaving guards against a server that is lost for good after a silence.
func TestSilentStartCountsAsLeaving(t *testing.T) {
	r := newRegistrar()
	r.Heartbeat(start, heartbeat("a", 0, 1, Ready))
	later := start.Add(time.Minute)
	if got := r.Current(later); got.State != Gone || got.Leaving {
		t.Errorf("after silence: got %s, leaving %t, want gone, not leaving", got.State, got.Leaving)
	}
	r.Heartbeat(later, heartbeat("a", 0, 2, Ready))
	if got := r.Current(later); got.State != Ready {
		t.Errorf("after its next heartbeat: got %s, want ready", got.State)
	}
	r.Deregister("a", time.Time{})
	if got := r.Current(later); got.State != Gone || !got.Leaving {
		t.Errorf("deregistered: got %s, leaving %t, want gone, leaving", got.State, got.Leaving)
	}
}

// TestEarlierStartThatLeftHidesALaterOne guards against what other members tell late of an earlier
// start under the same ID.
func TestEarlierStartThatLeftHidesALaterOne(t *testing.T) {
	r := newRegistrar()
	r.Heartbeat(start, heartbeat("a", time.Second, 1, Ready))
	r.MarkDraining("a")
	r.MarkLeaving("a", start)
	if got := r.Heartbeat(start, heartbeat("a", time.Second, 2, Ready)); got != Taken {
		t.Errorf("heartbeat of the start that leaves: got verdict %s, want taken", got)
	}
	if got := r.Current(start); got.State != Draining {
		t.Errorf("got %s, want draining", got.State)
	}
}

// TestUnknownStartThatDeregisteredIsTaken guards against a start that is put in force by a late
// heartbeat after it deregistered as an unknown one, and against a next start that is not taken.
func TestUnknownStartThatDeregisteredIsTaken(t *testing.T) {
	for name, prepare := range map[string]func(*Registrar){
		"no registration": func(*Registrar) {},
		"earlier start": func(r *Registrar) {
			r.Heartbeat(start, heartbeat("a", -time.Minute, 9, Ready))
		},
		"other server, silent": func(r *Registrar) {
			r.Heartbeat(start.Add(-time.Hour), heartbeat("b", -time.Hour, 9, Ready))
			r.Current(start)
		},
	} {
		r := newRegistrar()
		prepare(r)
		if got := r.Deregister("a", start); got != Taken {
			t.Errorf("%s: got verdict %s, want taken", name, got)
		}
		if got := r.Heartbeat(start, heartbeat("a", 0, 10, Ready)); got != Late {
			t.Errorf("%s: late heartbeat: got verdict %s, want late", name, got)
		}
		if got := r.Current(start); got.ID != "a" || got.State != Gone || !got.Leaving {
			t.Errorf("%s: got %s %s, leaving %t, want a gone, leaving", name, got.ID, got.State, got.Leaving)
		}
		if got := r.Heartbeat(start, heartbeat("a", time.Second, 1, Ready)); got != Taken {
			t.Errorf("%s: next start: got verdict %s, want taken", name, got)
		}
	}
	r := newRegistrar()
	r.Heartbeat(start, heartbeat("b", 0, 1, Ready))
	if got := r.Deregister("a", start.Add(time.Second)); got != Late || r.Current(start).State != Ready {
		t.Errorf("beside a server in force: got verdict %s, want late", got)
	}
}
