package runner

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// arrivalLog holds the times at which requests arrived at a backend server.
type arrivalLog struct {
	mu    sync.Mutex
	times []time.Time
}

// serveWith lets the backend server of n answer with the given header, and returns the log of
// its arrivals.
func (n *testNode) serveWith(name, value string) *arrivalLog {
	log := &arrivalLog{}
	run := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		log.mu.Lock()
		log.times = append(log.times, time.Now())
		log.mu.Unlock()
		w.Header().Set(name, value)
		fmt.Fprint(w, "x")
	})
	n.run.Store(&run)
	return log
}

// mostIn returns the largest number of arrivals in a window, among those from a time on.
func (l *arrivalLog) mostIn(window time.Duration, from time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for i, first := range l.times {
		count := 0
		for _, arrival := range l.times[i:] {
			if !first.Before(from) && arrival.Sub(first) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// sendSteadily sends safe requests to the node of n for a duration.
func (d *deployment) sendSteadily(n *testNode, prefix string, duration time.Duration) {
	const interval = 10 * time.Millisecond
	var requests sync.WaitGroup
	for i := range int(duration / interval) {
		requests.Go(func() {
			d.send(n, "GET", "/safe/1", fmt.Sprint(prefix, i))
		})
		time.Sleep(interval)
	}
	requests.Wait()
}

// TestPlatformBackendServerGetsMoreThanItsNamedLimit sends ten times the limit through another
// node, also after the node beside the backend server has restarted.
func TestPlatformBackendServerGetsMoreThanItsNamedLimit(t *testing.T) {
	const (
		limit   = "10"
		window  = 4 * time.Second
		allowed = 65
	)
	d := newDeployment(t)
	target, entry := d.startPair()
	arrivals := target.serveWith("Server-Limit", limit)
	named := time.Now()
	if got := d.send(entry, "GET", "/safe/1", "first"); got.header.Get("Server-Limit") != limit {
		t.Errorf("got header Server-Limit %q at the client, want %s", got.header.Get("Server-Limit"), limit)
	}
	d.sendSteadily(entry, "a", 5*time.Second)
	target.stop()
	<-target.done
	d.runNode(target)
	d.reportState(target, "ready")
	d.awaitReady(target, entry)
	d.sendSteadily(entry, "b", 3*time.Second)
	if got := arrivals.mostIn(window, named); got > allowed {
		t.Errorf("got %d requests in %s, want at most %d", got, window, allowed)
	}
	if got := d.send(entry, "POST", "/once/1", "late"); got.status == 503 && got.header.Get("Retry-After") == "" {
		t.Error("refused without Retry-After")
	}
}

// TestPlatformLeavingBackendServerGetsRequests lets a backend server say in its answers that it
// leaves, while its heartbeats say that it is ready. The entry must remember it when the node
// beside the backend server has restarted.
func TestPlatformLeavingBackendServerGetsRequests(t *testing.T) {
	d := newDeployment(t)
	target, entry := d.startPair()
	arrivals := target.serveWith("Server-Leaving", "1")
	if got := d.send(entry, "GET", "/safe/1", "first"); got.header.Get("Server-Leaving") != "1" {
		t.Errorf("got header Server-Leaving %q at the client, want 1", got.header.Get("Server-Leaving"))
	}
	left := time.Now()
	refused := func(cause string) {
		t.Helper()
		for i, method := range []string{"GET", "POST"} {
			path := []string{"/safe/1", "/once/1"}[i]
			if got := d.send(entry, method, path, cause+method); got.status != 503 || got.header.Get("Retry-After") == "" {
				t.Errorf("%s: got %d, Retry-After %q, want 503 with Retry-After", cause, got.status, got.header.Get("Retry-After"))
			}
		}
	}
	refused("at once")
	d.reportState(target, "ready")
	refused("after a heartbeat")
	target.stop()
	<-target.done
	d.runNode(target)
	d.reportState(target, "ready")
	d.awaitReady(target, entry)
	refused("after a restart of the node")
	if got := arrivals.mostIn(time.Hour, left); got != 0 {
		t.Errorf("got %d requests after the answer, want none", got)
	}
}

// TestPlatformDeregisteredServerIsUsedAgain guards against a server that is in use again when a
// heartbeat from before its leaving arrives late at a restarted node. The entry is new, so that
// only the node beside the server can know.
func TestPlatformDeregisteredServerIsUsedAgain(t *testing.T) {
	for _, leave := range []string{"deregister", "draining"} {
		t.Run(leave, func(t *testing.T) {
			d := newDeployment(t)
			target, entry := d.startPair()
			if leave == "deregister" {
				d.deregister(target)
			} else {
				d.reportState(target, "draining")
			}
			target.stop()
			entry.stop()
			<-target.done
			<-entry.done
			d.runNode(target)
			d.runNode(entry)
			d.reportState(entry, "ready")
			d.eventually("the leaving at the new process", func() bool {
				d.reportState(target, "ready")
				members := entry.node.announcer.Members()
				return slices.ContainsFunc(members, func(member *encoder.Member) bool {
					return member.GetBackend().GetId() == target.id && member.GetBackend().GetLeaving()
				})
			})
			runs := target.runs.Load()
			for i := range 5 {
				if got := d.send(entry, "GET", "/safe/1", fmt.Sprint("late", i)); got.status != 503 {
					t.Errorf("after a late heartbeat: got %d, want 503", got.status)
				}
			}
			if got := target.runs.Load(); got != runs {
				t.Errorf("got %d runs after the server left, want none", got-runs)
			}
			target.born++
			d.reportState(target, "ready")
			d.eventually("use of the next start", func() bool {
				return d.send(entry, "GET", "/safe/1", "next").status == 200
			})
		})
	}
}
