package runner

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// innerCaller is a backend server that makes calls one after another for each request, on a kept
// connection to its node.
type innerCaller struct {
	node *testNode
	// runTime is how long it makes calls for a request.
	runTime  time.Duration
	deadline time.Duration

	mu        sync.Mutex
	exchanges []exchange
}

// serve makes the calls for a request and answers 500 if one fails.
func (c *innerCaller) serve(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	parent := r.Header.Get("X-Laburnumshelf-Request-Id")
	conn, err := net.Dial("tcp", c.node.config.CallAddress.String())
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer func() {
		conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for i := 0; time.Since(started) < c.runTime; i++ {
		id := fmt.Sprint(parent, ".", i)
		fmt.Fprintf(conn, "GET /b/1 HTTP/1.1\r\nHost: h.example\r\nX-Laburnumshelf-Request-Id: %s\r\nX-Laburnumshelf-Deadline-Ms: %d\r\n\r\n", id, c.deadline.Milliseconds())
		status, reusable := readStatus(reader)
		c.record(id, status)
		if status != http.StatusOK {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		if !reusable {
			conn.Close()
			if conn, err = net.Dial("tcp", c.node.config.CallAddress.String()); err != nil {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			reader = bufio.NewReader(conn)
		}
	}
}

func (c *innerCaller) record(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchanges = append(c.exchanges, exchange{
		id:     id,
		status: status,
	})
}

// TestPlatformSeriesOfCallsIsCutAsTwoNodesStop guards against a stop that ends a run by an answer of
// a node's own: the node beside the run and that of one of its two targets stop, overlapping, while
// the run makes calls until close to the end of the stop. Calls with short deadlines must all be
// made. Those that may outlive the stop are refused at its end: they must not run, and what the
// run then answers must be passed on.
func TestPlatformSeriesOfCallsIsCutAsTwoNodesStop(t *testing.T) {
	t.Run("short deadlines", func(t *testing.T) {
		answers, exchanges := stopUnderSeriesOfCalls(t, 700*time.Millisecond)
		for _, got := range answers {
			if got.status != http.StatusOK {
				t.Errorf("run that began before the stop: got status %d, body %q, want 200", got.status, got.body)
			}
		}
		for _, e := range exchanges {
			if e.status != http.StatusOK {
				t.Errorf("call %s: got status %d after %d runs, want 200", e.id, e.status, e.runs)
			}
		}
	})
	t.Run("deadlines after the stop", func(t *testing.T) {
		answers, exchanges := stopUnderSeriesOfCalls(t, 5*time.Second)
		for _, got := range answers {
			signature := got.header.Get("X-Laburnumshelf-Response-Signature")
			if got.status != http.StatusInternalServerError || signature == "" {
				t.Errorf("run that began before the stop: got status %d, signature %q, want 500 of the backend server", got.status, signature)
			}
		}
		for _, e := range exchanges {
			made := e.status == http.StatusOK && e.runs > 0
			refused := e.status == http.StatusServiceUnavailable && e.runs == 0
			if !made && !refused {
				t.Errorf("call %s: got status %d after %d runs, want 200, or 503 without a run", e.id, e.status, e.runs)
			}
		}
	})
}

// innerExchange is an exchange of a call and how often it ran.
type innerExchange struct {
	exchange
	runs int
}

// stopUnderSeriesOfCalls sends requests whose runs make calls with the deadline for 3.6 s, stops the
// node beside these runs and a little later that of one of the two targets of the calls, and
// returns the answers to the requests and the exchanges of the calls.
func stopUnderSeriesOfCalls(t *testing.T, deadline time.Duration) ([]answer, []innerExchange) {
	t.Helper()
	const (
		stopTimeout = 6 * time.Second
		callTime    = 60 * time.Millisecond
		runTime     = 3600 * time.Millisecond
		runs        = 4
	)
	d := newDeployment(t)
	d.configure(1, `,{"name":"long","kind":"safe","aimS":1,"priority":0,"routeMatch":{"pathPrefix":"/long/"},"routeAction":{"service":"a","timeoutS":6,"maxAttempts":2}}`)
	front, leaving, staying := d.start("a"), d.start("b"), d.start("b")
	nodes := []*testNode{front, leaving, staying}
	for _, n := range nodes {
		d.reportState(n, "ready")
	}
	d.awaitReady(nodes...)
	for _, n := range nodes[1:] {
		n.delay.Store(int64(callTime))
	}
	for _, n := range nodes[:2] {
		n.node.stopTimeout.Store(int64(stopTimeout))
	}
	inner := &innerCaller{
		node:     front,
		runTime:  runTime,
		deadline: deadline,
	}
	serve := http.HandlerFunc(inner.serve)
	front.run.Store(&serve)
	d.eventually("an internal route", func() bool {
		d.send(front, "GET", "/b/1", "r")
		return front.node.dispatcher.IsInternal("b")
	})
	results := make(chan answer, runs)
	for i := range runs {
		go func() {
			results <- d.send(staying, "GET", "/long/1", fmt.Sprint("run", i))
		}()
	}
	d.eventually("the runs", func() bool {
		return front.runs.Load() == runs
	})
	front.node.Drain()
	time.Sleep(300 * time.Millisecond)
	leaving.node.Drain()
	var answers []answer
	for range runs {
		answers = append(answers, <-results)
	}
	<-front.done
	<-leaving.done
	inner.mu.Lock()
	defer inner.mu.Unlock()
	var exchanges []innerExchange
	for _, e := range inner.exchanges {
		exchanges = append(exchanges, innerExchange{
			exchange: e,
			runs:     leaving.runsOf(e.id) + staying.runsOf(e.id),
		})
	}
	return answers, exchanges
}
