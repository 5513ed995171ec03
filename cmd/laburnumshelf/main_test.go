package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
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

	"github.com/laburnumshelf/laburnumshelf/internal/platform/logserver"
	"github.com/laburnumshelf/laburnumshelf/internal/version/publisher"
)

// patience bounds every wait of these tests; they poll and end as soon as they
// can.
const patience = 30 * time.Second

// binary is the program under test.
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

// process is one node as a process.
type process struct {
	cmd   *exec.Cmd
	call  string
	admin string
	log   *bytes.Buffer
	done  chan error
}

// fleet is the log stand-in, backend servers and nodes.
type fleet struct {
	t     *testing.T
	store *logserver.Store
	log   *httptest.Server
	nodes []*process
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	store := logserver.New(logserver.Retention{})
	f := &fleet{
		t:     t,
		store: store,
		log:   httptest.NewServer(store.Handler()),
	}
	t.Cleanup(f.log.Close)
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

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// start runs a node beside a backend server.
func (f *fleet) start(id string, backend http.Handler) *process {
	f.t.Helper()
	server := httptest.NewServer(backend)
	f.t.Cleanup(server.Close)
	p := &process{
		call:  freeAddress(f.t),
		admin: freeAddress(f.t),
		log:   &bytes.Buffer{},
		done:  make(chan error, 1),
	}
	settings := fmt.Sprintf(`{"id": %q, "region": "r", "zone": "z", "service": "county/allot", "slots": 20,
		"callAddress": %q, "adminAddress": %q, "peerAddress": %q, "backendAddress": %q, "logUrl": %q}`,
		id, p.call, p.admin, freeAddress(f.t), strings.TrimPrefix(server.URL, "http://"), f.log.URL)
	file := filepath.Join(f.t.TempDir(), "node.jsonc")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	p.cmd = exec.Command(binary, "node", "--config", file)
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() {
		p.done <- p.cmd.Wait()
	}()
	f.t.Cleanup(func() {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
	})
	f.nodes = append(f.nodes, p)
	return p
}

// eventually polls until check holds.
func (f *fleet) eventually(what string, check func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if check() {
			return
		}
	}
	f.t.Fatalf("waited %s: got no %s", patience, what)
}

// settled waits until all nodes know each other and the settings.
func (f *fleet) settled() {
	f.t.Helper()
	want := fmt.Sprintf(`"members":%d,`, len(f.nodes))
	f.eventually("settled fleet", func() bool {
		for _, p := range f.nodes {
			status := get(p.admin + "/status")
			if !strings.Contains(status, want) || !strings.Contains(status, `"settingsVersion":1,`) {
				return false
			}
		}
		return true
	})
}

func get(address string) string {
	resp, err := http.Get("http://" + address)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

// ask makes one request through a node and returns status, headers and body.
func ask(t *testing.T, p *process, method, id, token string) (int, http.Header, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.call+"/plots", nil)
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

func named(name string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, name, " ", r.Header.Get("Shelf-Request-Id"))
	}
}

func TestRequestsGoOnWhenNodeAndLogDie(t *testing.T) {
	f := newFleet(t)
	entry := f.start("a", named("a"))
	f.start("b", named("b"))
	victim := f.start("c", named("c"))
	f.settled()
	f.log.CloseClientConnections()
	f.store.SetFaults(logserver.Faults{Down: true})
	victim.cmd.Process.Kill()
	failed := 0
	for i := range 300 {
		id := fmt.Sprint("request-", i)
		status, _, body := ask(t, entry, "GET", id, "")
		if status != 200 || !strings.HasSuffix(body, " "+id) {
			failed++
			t.Logf("request %d: got %d %q", i, status, body)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if failed > 0 {
		t.Errorf("node and log killed: got %d of 300 idempotent requests failed, want 0", failed)
	}
	out, err := exec.Command(binary, "explain", "--node", entry.admin, "request-7").CombinedOutput()
	if err != nil || !strings.Contains(string(out), "route") || !strings.Contains(string(out), "admit") {
		t.Errorf("explain: got %v\n%s\nwant the routing and the admission", err, out)
	}
	// An instance started during the outage gets the settings from its peers.
	f.nodes = f.nodes[:2]
	f.eventually("death of the node", func() bool {
		return strings.Contains(get(entry.admin+"/status"), `"members":2,`)
	})
}

func TestBookingRunsOnceThroughAnyNode(t *testing.T) {
	runs := atomic.Int64{}
	booking := func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "run ", runs.Add(1))
	}
	f := newFleet(t)
	a, b := f.start("a", http.HandlerFunc(booking)), f.start("b", http.HandlerFunc(booking))
	f.settled()
	status, header, _ := ask(t, a, "POST", "booking", "")
	if status != http.StatusPreconditionRequired || header.Get("Shelf-Outcome") != "notRun" {
		t.Fatalf("without a token: got %d %s, want 428 notRun", status, header.Get("Shelf-Outcome"))
	}
	token := header.Get("Shelf-Token")
	for _, p := range []*process{a, b, a} {
		if status, _, body := ask(t, p, "POST", "booking", token); status != 200 || body != "run 1" {
			t.Errorf("got %d %q, want the first outcome", status, body)
		}
	}
	if got := runs.Load(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
	if status, header, _ := ask(t, a, "POST", "booking", "damaged!"); status != 400 {
		t.Errorf("damaged token: got %d %v, want 400", status, header)
	}
}

func TestDrainCutsNoDownload(t *testing.T) {
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
	leaving := f.start("a", http.HandlerFunc(download))
	f.settled()
	type result struct {
		status int
		body   string
	}
	results := make(chan result, 1)
	go func() {
		status, _, body := ask(t, leaving, "GET", "map", "")
		results <- result{status: status, body: body}
	}()
	<-started
	other := f.start("b", named("b"))
	f.settled()
	leaving.cmd.Process.Signal(syscall.SIGTERM)
	f.eventually("announcement of the leaving node", func() bool {
		return strings.Contains(get(other.admin+"/members"), `"state":"leaving"`)
	})
	for i := range 20 {
		if status, _, body := ask(t, other, "GET", fmt.Sprint("r", i), ""); status != 200 || !strings.HasPrefix(body, "b ") {
			t.Errorf("during the drain: got %d %q, want an answer of b", status, body)
		}
	}
	got := <-results
	if got.status != 200 || sha256.Sum256([]byte(got.body)) != sha256.Sum256(content) {
		t.Errorf("got %d with %d bytes, want the whole download of %d", got.status, len(got.body), len(content))
	}
	select {
	case err := <-leaving.done:
		if err != nil || !strings.Contains(leaving.log.String(), "msg=drained") {
			t.Errorf("got exit %v, want a drained node", err)
		}
	case <-time.After(patience):
		t.Error("the drained node did not stop")
	}
}

func TestFrozenNodeIsRoutedAround(t *testing.T) {
	f := newFleet(t)
	entry := f.start("a", named("a"))
	f.start("b", named("b"))
	frozen := f.start("c", named("c"))
	f.settled()
	frozen.cmd.Process.Signal(syscall.SIGSTOP)
	f.eventually("run of 50 answers", func() bool {
		for i := range 50 {
			if status, _, _ := ask(t, entry, "GET", fmt.Sprint("r", i), ""); status != 200 {
				return false
			}
		}
		return true
	})
	f.eventually("death of the frozen node", func() bool {
		return strings.Contains(get(entry.admin+"/status"), `"members":2,`)
	})
	frozen.cmd.Process.Signal(syscall.SIGCONT)
	f.eventually("return of the node", func() bool {
		return strings.Contains(get(entry.admin+"/status"), `"members":3,`)
	})
}

func TestNewInstanceGetsSettingsFromPeersDuringAnOutage(t *testing.T) {
	f := newFleet(t)
	f.start("a", named("a"))
	f.settled()
	// The announcement stream still answers while the settings stream is gone:
	// what matters is that no settings come from the log.
	late := f.start("b", named("b"))
	f.eventually("contact", func() bool {
		return strings.Contains(get(late.admin+"/status"), `"members":2,`)
	})
	f.store.SetFaults(logserver.Faults{Down: true})
	f.settled()
}

func TestCommandsReportWhatIsWrong(t *testing.T) {
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
