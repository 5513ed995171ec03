package runner

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// deadlineRun is a run of a request that never ends by itself.
type deadlineRun struct {
	sent time.Time
	// told is the time that the backend server is told that is left, and ended the time from
	// the sending of the request to the end of its connection.
	told  time.Duration
	ended time.Duration
}

// deadlineRuns are the runs by their request ID.
type deadlineRuns struct {
	mu   sync.Mutex
	runs map[string]*deadlineRun
}

func (d *deadlineRuns) start(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[id] = &deadlineRun{
		sent: time.Now(),
	}
}

func (d *deadlineRuns) get(id string) deadlineRun {
	d.mu.Lock()
	defer d.mu.Unlock()
	return *d.runs[id]
}

// serve answers quick requests at once and others never.
func (d *deadlineRuns) serve(_ http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Laburnumshelf-Request-Id")
	if strings.HasPrefix(id, "quick") {
		return
	}
	millis, _ := strconv.Atoi(r.Header.Get("X-Laburnumshelf-Deadline-Ms"))
	d.mu.Lock()
	d.runs[id].told = time.Duration(millis) * time.Millisecond
	d.mu.Unlock()
	<-r.Context().Done()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[id].ended = time.Since(d.runs[id].sent)
}

// The node's own answer must not come before the deadline that the caller stated, which the caller
// counts from its sending, and the run must not be canceled before. The backend server must not be
// told a later end.
func TestPlatformNoRunEndsBeforeTheCallersDeadline(t *testing.T) {
	d := newDeployment(t)
	target, entry := d.startPair()
	runs := &deadlineRuns{
		runs: make(map[string]*deadlineRun),
	}
	serve := http.HandlerFunc(runs.serve)
	target.run.Store(&serve)
	for i := range 12 {
		node := []*testNode{entry, target}[i%2]
		request := []struct{ method, path string }{{"GET", "/safe/1"}, {"POST", "/once/1"}}[i/2%2]
		// Without it, the next request would be refused as hopeless.
		if got := d.send(node, request.method, request.path, fmt.Sprint("quick-", i)); got.status != http.StatusOK {
			t.Fatalf("quick request: got %d, want 200", got.status)
		}
		req, err := http.NewRequest(request.method, "http://"+node.config.CallAddress.String()+request.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		id := fmt.Sprint("slow-", i)
		stated := time.Duration(50+7*i) * time.Millisecond
		req.Host = "h.example"
		req.Header.Set("X-Laburnumshelf-Request-Id", id)
		req.Header.Set("X-Laburnumshelf-Deadline-Ms", strconv.FormatInt(stated.Milliseconds(), 10))
		runs.start(id)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		took := time.Since(runs.get(id).sent)
		resp.Body.Close()
		if resp.StatusCode != http.StatusGatewayTimeout || took < stated {
			t.Errorf("%s: got %d after %s, want 504 after %s", id, resp.StatusCode, took, stated)
		}
		d.eventually("the end of the run", func() bool {
			return runs.get(id).ended > 0
		})
		if got := runs.get(id); got.told > stated || got.ended < stated {
			t.Errorf("%s: the backend server is told %s and canceled after %s, want at most and at least %s", id, got.told, got.ended, stated)
		}
	}
}
