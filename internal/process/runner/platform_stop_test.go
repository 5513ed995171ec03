package runner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// exchange is one request of a client and what it saw. The status is 0 if the connection
// ended without a complete answer.
type exchange struct {
	id     string
	status int
}

// sendOnConnections sends requests one after another on kept connections to the node of n,
// until stop is closed or the node accepts no connection. It opens a new connection only
// after the old one has ended, like a client that does not notice a planned stop.
func sendOnConnections(n *testNode, client int, stop <-chan struct{}) []exchange {
	var exchanges []exchange
	var conn net.Conn
	var reader *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-stop:
			return exchanges
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", n.config.CallAddress.String()); err != nil {
				return exchanges
			}
			defer conn.Close()
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("c%d-%d", client, i)
		fmt.Fprintf(conn, "POST /once/1 HTTP/1.1\r\nHost: h.example\r\nX-Laburnumshelf-Request-Id: %s\r\nX-Laburnumshelf-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", id)
		status, reusable := readStatus(reader)
		exchanges = append(exchanges, exchange{
			id:     id,
			status: status,
		})
		if !reusable {
			conn.Close()
			conn = nil
		}
	}
}

// readStatus reads one complete answer and returns its status, or 0, and whether the
// connection can be used again.
func readStatus(reader *bufio.Reader) (status int, reusable bool) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false
	}
	return resp.StatusCode, !resp.Close
}

// TestPlatformStopUnderLoadCutsNoAcceptedRequest stops a node while clients press on it with
// kept connections, once the node that takes their requests and once the node beside the
// backend server that runs them. A request that ran has its answer, none runs twice, and a
// refusal as not run is true.
func TestPlatformStopUnderLoadCutsNoAcceptedRequest(t *testing.T) {
	for _, stopped := range []string{"entry", "target"} {
		t.Run(stopped, func(t *testing.T) {
			d := newDeployment(t)
			target, entry := d.startPair()
			target.delay.Store(int64(100 * time.Millisecond))
			leaving := entry
			if stopped == "target" {
				leaving = target
			}
			stop := make(chan struct{})
			results := make(chan []exchange, 12)
			var clients sync.WaitGroup
			for client := range cap(results) {
				clients.Go(func() {
					results <- sendOnConnections(entry, client, stop)
				})
			}
			time.Sleep(300 * time.Millisecond)
			leaving.node.Drain()
			select {
			case <-leaving.done:
			case <-time.After(waitTimeout):
				t.Fatal("the node still runs after its drain")
			}
			close(stop)
			clients.Wait()
			close(results)
			for exchanges := range results {
				checkExchanges(t, target, exchanges)
			}
		})
	}
}

func checkExchanges(t *testing.T, target *testNode, exchanges []exchange) {
	t.Helper()
	for _, e := range exchanges {
		runs := target.runsOf(e.id)
		switch {
		case runs > 1:
			t.Errorf("request %s: got %d runs, want at most 1", e.id, runs)
		case runs == 1 && e.status != http.StatusOK:
			t.Errorf("request %s ran: got status %d, want 200", e.id, e.status)
		case runs == 0 && e.status == http.StatusOK:
			t.Errorf("request %s did not run: got status 200", e.id)
		}
	}
}

// holdingListener is a listener whose first connection that reads something while hold is set
// keeps it from the server until release, like a server whose goroutines get no processor time.
// Its later reads wait for the end of the test.
type holdingListener struct {
	net.Listener
	hold    atomic.Bool
	held    chan struct{}
	release chan struct{}
	end     chan struct{}
}

type holdingConn struct {
	net.Conn
	listener *holdingListener
	wasHeld  atomic.Bool
}

// Accept implements net.Listener.
func (l *holdingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &holdingConn{
		Conn:     conn,
		listener: l,
	}, err
}

// Read implements net.Conn.
func (c *holdingConn) Read(p []byte) (int, error) {
	if c.wasHeld.Load() {
		<-c.listener.end
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.listener.hold.CompareAndSwap(true, false) {
		c.wasHeld.Store(true)
		close(c.listener.held)
		<-c.listener.release
	}
	return n, err
}

// TestPlatformRequestReadAsTheNodeRefusesIsCutOff guards against a request that is passed on after
// its connection was closed: the node reads it in the moment in which it begins to refuse requests,
// or ends. The route counts as internal, so that the node makes its calls to the end.
func TestPlatformRequestReadAsTheNodeRefusesIsCutOff(t *testing.T) {
	for name, afterEnd := range map[string]bool{"refusing": false, "ended": true} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			target, leaving := d.startPair()
			leaving.stop()
			<-leaving.done
			listener := &holdingListener{
				held:    make(chan struct{}),
				release: make(chan struct{}),
				end:     make(chan struct{}),
			}
			defer close(listener.end)
			leaving.wrapCalls = func(calls net.Listener) net.Listener {
				listener.Listener = calls
				return listener
			}
			d.runNode(leaving)
			d.reportState(leaving, "ready")
			d.awaitReady(target, leaving)
			d.eventually("an internal route", func() bool {
				d.send(leaving, "GET", "/safe/1", "r")
				return leaving.node.dispatcher.IsInternal("safe")
			})
			conn, err := net.Dial("tcp", leaving.config.CallAddress.String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			request := func(id string) {
				fmt.Fprintf(conn, "GET /safe/1 HTTP/1.1\r\nHost: h.example\r\nX-Laburnumshelf-Request-Id: %s\r\n\r\n", id)
			}
			request("first")
			if status, _ := readStatus(reader); status != http.StatusOK {
				t.Fatalf("first request: got status %d, want 200", status)
			}
			target.delay.Store(int64(1500 * time.Millisecond))
			leaving.node.Drain()
			time.Sleep(lingerTime - 500*time.Millisecond)
			open := make(chan answer, 1)
			go func() {
				open <- d.send(leaving, "POST", "/once/1", "open")
			}()
			d.eventually("an open request", func() bool {
				return target.runsOf("open") == 1
			})
			target.delay.Store(0)
			listener.hold.Store(true)
			request("held")
			<-listener.held
			if afterEnd {
				<-leaving.done
			} else {
				time.Sleep(time.Second)
			}
			close(listener.release)
			conn.SetReadDeadline(time.Now().Add(waitTimeout))
			status, _ := readStatus(reader)
			// If the connection is closed, the request may still be passed on.
			time.Sleep(200 * time.Millisecond)
			if runs := target.runsOf("held"); runs > 0 != (status == http.StatusOK) {
				t.Errorf("held request: got status %d and %d runs, want an answer if and only if it ran", status, runs)
			}
			if got := <-open; got.status != http.StatusOK {
				t.Errorf("open request: got status %d, want 200", got.status)
			}
		})
	}
}

// TestPlatformLateRequestsAreCutAtTheEndOfTheStop guards against requests that are passed on late
// in a planned stop although they may outlive it, by clients and on routes that count as internal.
func TestPlatformLateRequestsAreCutAtTheEndOfTheStop(t *testing.T) {
	const stopTimeout = 6 * time.Second
	d := newDeployment(t)
	d.configure(1, `,{"name":"long","kind":"safe","aimS":1,"priority":0,"routeMatch":{"pathPrefix":"/long/"},"routeAction":{"service":"a","timeoutS":5,"maxAttempts":2}}`)
	target, leaving := d.start("a"), d.start("b")
	d.reportState(target, "ready")
	d.reportState(leaving, "ready")
	d.awaitReady(target, leaving)
	leaving.node.stopTimeout.Store(int64(stopTimeout))
	d.eventually("an internal route", func() bool {
		d.send(leaving, "GET", "/long/1", "r")
		return leaving.node.dispatcher.IsInternal("long")
	})
	target.delay.Store(int64(2400 * time.Millisecond))
	drained := time.Now()
	leaving.node.Drain()
	var requests sync.WaitGroup
	requests.Go(func() {
		// This request keeps the node while the others come.
		time.Sleep(lingerTime - 2*certainMargin)
		if got := d.send(leaving, "GET", "/long/1", "early"); got.status != http.StatusOK {
			t.Errorf("request before the end of the linger time: got status %d, want 200", got.status)
		}
	})
	for i := range 24 {
		requests.Go(func() {
			time.Sleep(lingerTime + time.Duration(i)*100*time.Millisecond)
			sent := time.Since(drained)
			id := fmt.Sprint("late", i)
			conn, err := net.Dial("tcp", leaving.config.CallAddress.String())
			if err != nil {
				return
			}
			defer conn.Close()
			fmt.Fprintf(conn, "GET /long/1 HTTP/1.1\r\nHost: h.example\r\nX-Laburnumshelf-Request-Id: %s\r\n\r\n", id)
			status, _ := readStatus(bufio.NewReader(conn))
			if runs := target.runsOf(id); runs > 0 && status != http.StatusOK {
				t.Errorf("request sent %s after the drain began: got status %d and %d runs, want a whole answer if it ran", sent, status, runs)
			}
		})
	}
	requests.Wait()
	<-leaving.done
}

// TestPlatformShortStopTakesRequestsUntilItsEnd guards against a stop that is shorter than the usual
// linger time, in which all requests are passed on and cut.
func TestPlatformShortStopTakesRequestsUntilItsEnd(t *testing.T) {
	const stopTimeout = 3 * time.Second
	d := newDeployment(t)
	target, leaving := d.startPair()
	leaving.node.stopTimeout.Store(int64(stopTimeout))
	target.delay.Store(int64(1500 * time.Millisecond))
	leaving.node.Drain()
	open := make(chan answer, 1)
	go func() {
		open <- d.send(leaving, "POST", "/once/1", "open")
	}()
	time.Sleep(stopTimeout / 2)
	if got := d.send(leaving, "POST", "/once/1", "late"); got.status != http.StatusServiceUnavailable {
		t.Errorf("request in the second half of the stop: got status %d, want 503", got.status)
	}
	if got := target.runsOf("late"); got != 0 {
		t.Errorf("request in the second half of the stop: got %d runs, want none", got)
	}
	if got := <-open; got.status != http.StatusOK {
		t.Errorf("request at the start of the stop: got status %d, want 200", got.status)
	}
	<-leaving.done
}
