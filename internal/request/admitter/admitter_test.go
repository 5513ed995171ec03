package admitter

import (
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time {
	return start.Add(d)
}

func newAdmitter(slots, queue int) *Admitter {
	return New(Config{
		Slots:        slots,
		MaxQueue:     queue,
		QueueTimeout: 100 * time.Millisecond,
	}, Switches{}, start)
}

func ticketOf(criticality describer.Criticality, hop uint32) *Ticket {
	return NewTicket("route", caller.Priority(criticality)<<8, hop, time.Time{}, 0)
}

// verdict returns the ticket's verdict, or ReasonQueued while it has none.
func verdict(ticket *Ticket) caller.Reason {
	select {
	case reason := <-ticket.Verdict:
		return reason
	default:
		return caller.ReasonQueued
	}
}

func TestHigherCriticalityThenChildCallsGoFirst(t *testing.T) {
	a := newAdmitter(2, 3)
	running := ticketOf(describer.Normal, 0)
	a.Submit(start, running)
	a.Submit(start, ticketOf(describer.Normal, 0))
	normal, child, critical := ticketOf(describer.Normal, 0), ticketOf(describer.Normal, 1), ticketOf(describer.Critical, 0)
	for _, ticket := range []*Ticket{normal, child, critical} {
		a.Submit(start, ticket)
	}
	for _, want := range []*Ticket{critical, child, normal} {
		a.Release(at(time.Millisecond), running, 0, false)
		if got := verdict(want); got != caller.ReasonAdmitted {
			t.Errorf("priority %d hop %d: got %s, want admitted", want.Priority, want.Hop, got)
		}
		running = want
	}
}

func TestFullQueueEvictsLeastCriticalCall(t *testing.T) {
	a := newAdmitter(2, 1)
	a.Submit(start, ticketOf(describer.Normal, 0))
	a.Submit(start, ticketOf(describer.Normal, 0))
	normal, critical := ticketOf(describer.Normal, 0), ticketOf(describer.Critical, 0)
	a.Submit(start, normal)
	a.Submit(start, critical)
	if got := verdict(normal); got != caller.ReasonEvicted {
		t.Errorf("normal call: got %s, want evicted", got)
	}
	if got := verdict(critical); got != caller.ReasonQueued {
		t.Errorf("critical call: got %s, want queued", got)
	}
	late := ticketOf(describer.Sheddable, 0)
	a.Submit(start, late)
	if got := verdict(late); got != caller.ReasonQueueFull {
		t.Errorf("sheddable call: got %s, want queueFull", got)
	}
}

func TestExpiredAndHopelessCallsAreRefused(t *testing.T) {
	a := newAdmitter(2, 8)
	expired := NewTicket("route", 0, 0, at(-time.Millisecond), 0)
	a.Submit(start, expired)
	if got := verdict(expired); got != caller.ReasonHopeless {
		t.Errorf("expired call: got %s, want hopeless", got)
	}
	hopeless := NewTicket("route", 0, 0, at(50*time.Millisecond), 60*time.Millisecond)
	a.Submit(start, hopeless)
	if got := verdict(hopeless); got != caller.ReasonHopeless {
		t.Errorf("call with less time left than its expected run time: got %s, want hopeless", got)
	}
	a.Submit(start, ticketOf(describer.Normal, 0))
	a.Submit(start, ticketOf(describer.Normal, 0))
	waiting := ticketOf(describer.Normal, 0)
	a.Submit(start, waiting)
	a.Tick(at(150 * time.Millisecond))
	if got := verdict(waiting); got != caller.ReasonQueueTimeout {
		t.Errorf("call that waited longer than its maximum queue wait: got %s, want queueTimeout", got)
	}
}

func TestNewestFirstUnderOverload(t *testing.T) {
	a := newAdmitter(2, 2)
	running := ticketOf(describer.Normal, 0)
	a.Submit(start, running)
	a.Submit(start, ticketOf(describer.Normal, 0))
	older, newer := ticketOf(describer.Normal, 0), ticketOf(describer.Normal, 0)
	a.Submit(at(time.Millisecond), older)
	a.Submit(at(2*time.Millisecond), newer)
	a.Submit(at(3*time.Millisecond), ticketOf(describer.Sheddable, 0))
	a.Release(at(4*time.Millisecond), running, 0, false)
	if got := verdict(newer); got != caller.ReasonAdmitted {
		t.Errorf("newest call after a call was dropped: got %s, want admitted", got)
	}
}

func TestAbandonRemovesQueuedTicket(t *testing.T) {
	a := newAdmitter(2, 8)
	a.Submit(start, ticketOf(describer.Normal, 0))
	a.Submit(start, ticketOf(describer.Normal, 0))
	waiting := ticketOf(describer.Normal, 0)
	a.Submit(start, waiting)
	if !a.Abandon(waiting) {
		t.Error("queued ticket: Abandon returned false, want true")
	}
	if got := a.Load().Queued; got != 0 {
		t.Errorf("queue length after Abandon: got %d, want 0", got)
	}
}

// server simulates a backend server. A call takes the time work; with more than
// capacity calls at once, it takes proportionally longer. Capacity 0 is unlimited.
type server struct {
	work     time.Duration
	capacity int
}

// drive keeps the limiter at its limit in the given period and returns the limit.
func (s server) drive(l *Limiter, from, to time.Duration) int {
	const step = 10 * time.Millisecond
	carry := 0.0
	for now := from; now < to; now += step {
		limit := l.Limit()
		callTime := s.work
		if s.capacity > 0 && limit > s.capacity {
			callTime = s.work * time.Duration(limit) / time.Duration(s.capacity)
		}
		carry += float64(limit) * float64(step) / float64(callTime)
		for ; carry >= 1; carry-- {
			l.RecordLimitReached()
			l.RecordFinish(at(now), "route", callTime, callTime)
		}
	}
	return l.Limit()
}

func TestLimitFallsWhenCallsCompete(t *testing.T) {
	l := NewLimiter(100, start)
	// The low limit lets the limiter measure the baseline service time first.
	l.SetSlots(30)
	server{work: 100 * time.Millisecond, capacity: 40}.drive(l, 0, 5*time.Second)
	l.SetSlots(100)
	got := server{work: 100 * time.Millisecond, capacity: 40}.drive(l, 5*time.Second, 30*time.Second)
	// The limit grows once more from the highest limit at which service times are
	// still within the tolerance.
	want := 40*inflationTolerance*growthFactor + 1
	if float64(got) > want {
		t.Errorf("announced 100, real capacity 40: got limit %d, want at most %.0f", got, want)
	}
}

func TestLimitStaysWhenCallsAreSlowForAnotherReason(t *testing.T) {
	l := NewLimiter(100, start)
	server{work: 100 * time.Millisecond}.drive(l, 0, 5*time.Second)
	got := server{work: time.Second}.drive(l, 5*time.Second, 40*time.Second)
	if got < 100 {
		t.Errorf("calls ten times slower, limit not the cause: got limit %d, want 100", got)
	}
}

func TestThresholdMatchesArrivalsToCapacity(t *testing.T) {
	threshold := Threshold{}
	const capacity = 100.0
	offer := func(from, to time.Duration, perSecond int, saturated bool) {
		level := 0
		interval := time.Second / time.Duration(perSecond)
		for now := from; now < to; now += interval {
			level = (level + 97) % caller.PriorityLevels
			if caller.Priority(level) >= threshold.Value() {
				threshold.RecordArrival(caller.Priority(level))
				if saturated {
					threshold.RecordSaturation()
				}
			}
			threshold.AdvanceWindow(at(now), capacity)
		}
	}
	offer(0, 2*time.Second, 400, true)
	if got := float64(threshold.Value()) / caller.PriorityLevels; got < 0.65 || got > 0.85 {
		t.Errorf("arrivals at four times the capacity: got threshold at %.2f of the levels, want about 0.75", got)
	}
	offer(2*time.Second, 7*time.Second, 50, false)
	if got := threshold.Value(); got != 0 {
		t.Errorf("5 s after the overload: got threshold %d, want 0", got)
	}
}

func TestBulkheadLimitsSlowRoute(t *testing.T) {
	b := NewBulkhead()
	now := 0.0
	// Ten calls of 100 ms run at any time. Each waits 80 ms for child calls.
	for i := range 100 {
		now = float64(i) / 10
		for range 10 {
			b.RecordStart("slow", now-0.1)
			b.RecordFinish("slow", now-0.1, 100*time.Millisecond, 80*time.Millisecond)
		}
		for range 10 {
			b.RecordStart("slow", now)
		}
		b.AdvanceWindow(at(time.Duration(now*float64(time.Second))), now)
		for range 10 {
			b.RecordFinish("slow", now, 100*time.Millisecond, 80*time.Millisecond)
		}
	}
	for range 20 {
		b.RecordStart("slow", now)
	}
	if b.ShouldRefuse("slow", now+0.03) {
		t.Error("typical age of running calls: got refused, want admitted")
	}
	if !b.ShouldRefuse("slow", now+1) {
		t.Error("age of ten call times: got admitted, want refused")
	}
	if b.ShouldRefuse("other", now+1) {
		t.Error("another route: got refused, want admitted")
	}
}

func BenchmarkSubmitRelease(b *testing.B) {
	for _, bench := range []struct {
		name   string
		queued int
	}{
		{name: "idle", queued: 0},
		{name: "queue64", queued: 64},
	} {
		b.Run(bench.name, func(b *testing.B) {
			a := newAdmitter(100, bench.queued+1)
			a.switches.NoExpiry = true
			var running []*Ticket
			for range 100 {
				ticket := ticketOf(describer.Normal, 0)
				a.Submit(start, ticket)
				running = append(running, ticket)
			}
			for range bench.queued {
				a.Submit(start, ticketOf(describer.Normal, 0))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := at(time.Duration(i) * time.Microsecond)
				a.Release(now, running[i%100], 0, false)
				ticket := ticketOf(describer.Normal, 0)
				a.Submit(now, ticket)
				running[i%100] = ticket
			}
		})
	}
}
