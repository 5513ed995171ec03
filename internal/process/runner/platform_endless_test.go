package runner

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// endlessBody is the answer of a faulty backend server, which sends a body until the caller
// closes the connection.
func endlessBody(w http.ResponseWriter, r *http.Request) {
	chunk := []byte(strings.Repeat("x", 32<<10))
	for r.Context().Err() == nil {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// TestPlatformEndlessBodiesFillTheMemory guards against nodes that keep bytes without end of faulty
// backend servers for clients that do not read, and whose memory then ends the requests of others.
func TestPlatformEndlessBodiesFillTheMemory(t *testing.T) {
	// A node has 256 MB, and its backend server up to 280 slots.
	const maxCallBytes = 256 << 20 / 280
	d := newDeployment(t)
	d.configure(1, "")
	entry, other := d.start("b"), d.start("b")
	nodes := []*testNode{entry, other}
	const targets = 3
	for range targets {
		target := d.start("a")
		run := http.HandlerFunc(endlessBody)
		target.run.Store(&run)
		nodes = append(nodes, target)
	}
	for _, n := range nodes {
		d.reportState(n, "ready")
	}
	d.awaitReady(nodes...)
	before := heapBytes()
	const calls = targets * 10
	for i := range calls {
		conn, err := net.Dial("tcp", entry.config.CallAddress.String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		method, path := "GET", "/safe/1"
		if i%2 == 0 {
			method, path = "POST", "/once/1"
		}
		fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Laburnumshelf-Request-Id: e%d\r\nX-Laburnumshelf-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n", method, path, i)
	}
	var requests sync.WaitGroup
	for i := range 50 {
		requests.Go(func() {
			if got := d.send(entry, "GET", "/b/1", fmt.Sprint("o", i)); got.status != http.StatusOK {
				t.Errorf("request of another client: got %d, want 200", got.status)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	if got := (heapBytes() - before) / calls; got > maxCallBytes {
		t.Errorf("got %d bytes for a call at both of its nodes, want at most %d at one", got, maxCallBytes)
	}
	requests.Wait()
	d.eventually("end of the calls at their deadline", func() bool {
		return entry.node.gate.Open() == 0
	})
}
