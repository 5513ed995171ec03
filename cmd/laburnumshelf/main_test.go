package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/logserver"
	"github.com/laburnumshelf/laburnumshelf/internal/version/publisher"
)

// waitTimeout is the longest time that a test waits for a condition. Tests poll
// the condition and continue as soon as it holds.
const waitTimeout = 30 * time.Second

// binary is the path of the program under test, which TestMain builds.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "laburnumshelf")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "laburnumshelf")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is a node that runs as a process of its own.
type process struct {
	cmd          *exec.Cmd
	callAddress  string
	adminAddress string
	// output collects what the process writes to its standard output and error output.
	output *bytes.Buffer
	// exited receives the result of cmd.Wait.
	exited chan error
}

// fleet consists of a simulated store of the platform and the nodes that use it.
// Each node has a backend server.
type fleet struct {
	t     *testing.T
	store *logserver.Store
	// storeServer serves store over HTTP.
	storeServer *httptest.Server
	nodes       []*process
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	store := logserver.New(logserver.Retention{})
	f := &fleet{
		t:           t,
		store:       store,
		storeServer: httptest.NewServer(store.Handler()),
	}
	t.Cleanup(f.storeServer.Close)
	_, err := publisher.Publish(t.Context(), store, publisher.Change{
		Path: "/county/services/allot",
		Document: []byte(`{"routes": [
			{"name": "lookup", "methods": ["GET"], "path": "/", "criticality": "normal", "idempotent": true, "timeout": "20s"},
			{"name": "assign", "methods": ["POST"], "path": "/", "criticality": "critical", "idempotent": false, "timeout": "5s"},
		]}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// startNode starts a node and a backend server with the handler beside it.
func (f *fleet) startNode(id string, backend http.Handler) *process {
	f.t.Helper()
	server := httptest.NewServer(backend)
	f.t.Cleanup(server.Close)
	p := &process{
		callAddress:  freeAddress(f.t),
		adminAddress: freeAddress(f.t),
		output:       &bytes.Buffer{},
		exited:       make(chan error, 1),
	}
	settings := fmt.Sprintf(`{"id": %q, "region": "r", "zone": "z", "service": "county/allot", "slots": 20,
		"callAddress": %q, "adminAddress": %q, "peerAddress": %q, "backendAddress": %q, "logUrl": %q}`,
		id, p.callAddress, p.adminAddress, freeAddress(f.t), strings.TrimPrefix(server.URL, "http://"), f.storeServer.URL)
	file := filepath.Join(f.t.TempDir(), "node.jsonc")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	p.cmd = exec.Command(binary, "node", "--config", file)
	p.cmd.Stdout = p.output
	p.cmd.Stderr = p.output
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() {
		p.exited <- p.cmd.Wait()
	}()
	f.t.Cleanup(func() {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
	})
	f.nodes = append(f.nodes, p)
	return p
}

// eventually polls check until it returns true, and fails the test after
// waitTimeout. what names the condition in the failure message.
func (f *fleet) eventually(what string, check func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if check() {
			return
		}
	}
	f.t.Fatalf("timed out after %s waiting for %s", waitTimeout, what)
}

// waitUntilConverged waits until every node reports all nodes as members and has
// settings version 1.
func (f *fleet) waitUntilConverged() {
	f.t.Helper()
	want := fmt.Sprintf(`"members":%d,`, len(f.nodes))
	f.eventually("all nodes to know each other and the settings", func() bool {
		for _, p := range f.nodes {
			status := get(p.adminAddress + "/status")
			if !strings.Contains(status, want) || !strings.Contains(status, `"settingsVersion":1,`) {
				return false
			}
		}
		return true
	})
}

// get returns the response body of a GET request, or "" if the request failed. The
// address includes the path.
func get(address string) string {
	resp, err := http.Get("http://" + address)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

// sendRequest sends a request through a node and returns the status, headers and
// body of the response. If there is no complete response, the status is 0 and the
// body is the error message.
func sendRequest(t *testing.T, p *process, method, id, token string) (int, http.Header, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.callAddress+"/plots", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Shelf-Service", "county/allot")
	req.Header.Set("Shelf-Request-Id", id)
	if token != "" {
		req.Header.Set("Shelf-Token", token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err.Error()
	}
	return resp.StatusCode, resp.Header, string(body)
}

// echoHandler returns a handler that answers with the name and the ID of the
// request.
func echoHandler(name string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, name, " ", r.Header.Get("Shelf-Request-Id"))
	}
}

func TestRequestsSucceedAfterNodeAndLogFail(t *testing.T) {
	f := newFleet(t)
	entry := f.startNode("a", echoHandler("a"))
	f.startNode("b", echoHandler("b"))
	killed := f.startNode("c", echoHandler("c"))
	f.waitUntilConverged()
	f.storeServer.CloseClientConnections()
	f.store.SetFaults(logserver.Faults{Down: true})
	killed.cmd.Process.Kill()
	failed := 0
	for i := range 300 {
		id := fmt.Sprint("request-", i)
		status, _, body := sendRequest(t, entry, "GET", id, "")
		if status != 200 || !strings.HasSuffix(body, " "+id) {
			failed++
			t.Logf("request %d: got %d %q", i, status, body)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if failed > 0 {
		t.Errorf("after the node and the log failed: got %d of 300 idempotent requests failed, want 0", failed)
	}
	out, err := exec.Command(binary, "explain", "--node", entry.adminAddress, "request-7").CombinedOutput()
	if err != nil || !strings.Contains(string(out), "route") || !strings.Contains(string(out), "admit") {
		t.Errorf("explain: got %v\n%s\nwant the routing decision and the admission decision", err, out)
	}
	// The other nodes remove the killed node from their members while the log is down.
	f.nodes = f.nodes[:2]
	f.eventually("removal of the killed node from the members", func() bool {
		return strings.Contains(get(entry.adminAddress+"/status"), `"members":2,`)
	})
}

func TestNonIdempotentRequestRunsOnceAcrossNodes(t *testing.T) {
	runs := atomic.Int64{}
	countRuns := func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "run ", runs.Add(1))
	}
	f := newFleet(t)
	a, b := f.startNode("a", http.HandlerFunc(countRuns)), f.startNode("b", http.HandlerFunc(countRuns))
	f.waitUntilConverged()
	status, header, _ := sendRequest(t, a, "POST", "booking", "")
	if status != http.StatusPreconditionRequired || header.Get("Shelf-Outcome") != "notRun" {
		t.Fatalf("without a token: got %d %s, want 428 notRun", status, header.Get("Shelf-Outcome"))
	}
	token := header.Get("Shelf-Token")
	for _, p := range []*process{a, b, a} {
		if status, _, body := sendRequest(t, p, "POST", "booking", token); status != 200 || body != "run 1" {
			t.Errorf("got %d %q, want the answer of the first run", status, body)
		}
	}
	if got := runs.Load(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
	if status, header, _ := sendRequest(t, a, "POST", "booking", "damaged!"); status != 400 {
		t.Errorf("damaged token: got %d %v, want 400", status, header)
	}
}

func TestDrainWaitsForOpenDownload(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789abcdef"), 4<<20/16)
	started := make(chan struct{})
	download := func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(content); i += 64 << 10 {
			w.Write(content[i : i+64<<10])
			w.(http.Flusher).Flush()
			if i == 0 {
				close(started)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	f := newFleet(t)
	leaving := f.startNode("a", http.HandlerFunc(download))
	f.waitUntilConverged()
	type result struct {
		status int
		body   string
	}
	results := make(chan result, 1)
	go func() {
		status, _, body := sendRequest(t, leaving, "GET", "map", "")
		results <- result{status: status, body: body}
	}()
	<-started
	other := f.startNode("b", echoHandler("b"))
	f.waitUntilConverged()
	leaving.cmd.Process.Signal(syscall.SIGTERM)
	f.eventually("announcement that the node is leaving", func() bool {
		return strings.Contains(get(other.adminAddress+"/members"), `"state":"leaving"`)
	})
	for i := range 20 {
		if status, _, body := sendRequest(t, other, "GET", fmt.Sprint("r", i), ""); status != 200 || !strings.HasPrefix(body, "b ") {
			t.Errorf("during the drain: got %d %q, want an answer from b", status, body)
		}
	}
	got := <-results
	if got.status != 200 || sha256.Sum256([]byte(got.body)) != sha256.Sum256(content) {
		t.Errorf("got %d with %d bytes, want the whole download of %d", got.status, len(got.body), len(content))
	}
	select {
	case err := <-leaving.exited:
		if err != nil || !strings.Contains(leaving.output.String(), "msg=drained") {
			t.Errorf("got exit %v, want exit without error after the log line msg=drained", err)
		}
	case <-time.After(waitTimeout):
		t.Error("the drained node did not exit")
	}
}

func TestRoutingAvoidsFrozenNode(t *testing.T) {
	f := newFleet(t)
	entry := f.startNode("a", echoHandler("a"))
	f.startNode("b", echoHandler("b"))
	frozen := f.startNode("c", echoHandler("c"))
	f.waitUntilConverged()
	frozen.cmd.Process.Signal(syscall.SIGSTOP)
	f.eventually("50 successful requests in a row", func() bool {
		for i := range 50 {
			if status, _, _ := sendRequest(t, entry, "GET", fmt.Sprint("r", i), ""); status != 200 {
				return false
			}
		}
		return true
	})
	f.eventually("removal of the frozen node from the members", func() bool {
		return strings.Contains(get(entry.adminAddress+"/status"), `"members":2,`)
	})
	frozen.cmd.Process.Signal(syscall.SIGCONT)
	f.eventually("return of the resumed node to the members", func() bool {
		return strings.Contains(get(entry.adminAddress+"/status"), `"members":3,`)
	})
}

func TestNewNodeHasSettingsDuringLogOutage(t *testing.T) {
	f := newFleet(t)
	f.startNode("a", echoHandler("a"))
	f.waitUntilConverged()
	// The log is up until the new node has found its peer, because nodes find each
	// other through the log. From then on, no settings come from the log.
	joining := f.startNode("b", echoHandler("b"))
	f.eventually("contact", func() bool {
		return strings.Contains(get(joining.adminAddress+"/status"), `"members":2,`)
	})
	f.store.SetFaults(logserver.Faults{Down: true})
	f.waitUntilConverged()
}

func TestCommandExitCodesAndMessages(t *testing.T) {
	file := filepath.Join(t.TempDir(), "allot.jsonc")
	if err := os.WriteFile(file, []byte(`{"maxQueue": -1, "nonsense": 1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, command := range []struct {
		args []string
		code int
		want string
	}{
		{args: []string{"check", "--path", "/county/services/allot", file}, code: 3, want: "allot.jsonc:1:14: maxQueue is -1"},
		{args: []string{"publish", "--log", "http://127.0.0.1:1", "/county/services/allot", file}, code: 3, want: "nonsense"},
		{args: []string{"get", "--log", "http://127.0.0.1:1"}, code: 5, want: "connection refused"},
		{args: []string{"status", "--node", "127.0.0.1:1"}, code: 5, want: "connection refused"},
		{args: []string{"nonsense"}, code: 2, want: "--help"},
		{args: []string{"version"}, code: 0, want: "laburnumshelf"},
	} {
		cmd := exec.Command(binary, command.args...)
		out, _ := cmd.CombinedOutput()
		if got := cmd.ProcessState.ExitCode(); got != command.code || !strings.Contains(string(out), command.want) {
			t.Errorf("%v: got code %d and %q, want %d and %q", command.args, got, out, command.code, command.want)
		}
	}
}
