package runner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/platform/logserver"
	"github.com/laburnumshelf/laburnumshelf/internal/process/configurer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/platform"
)

// patience bounds every wait of these tests; they poll and end as soon as they
// can.
const patience = 20 * time.Second

// place is one machine: a backend server that speaks the platform, and its node.
type place struct {
	id      string
	service string
	config  configurer.Config
	node    *Node
	stop    context.CancelFunc
	done    chan error
	runs    atomic.Int32
	last    atomic.Pointer[http.Request]
	delay   atomic.Int64
}

// deployment is a store and the machines.
type deployment struct {
	t        *testing.T
	store    *logserver.Store
	storeURL string
	sequence int
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	store := logserver.New(logserver.Retention{})
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	return &deployment{
		t:        t,
		store:    store,
		storeURL: server.URL,
	}
}

// configure writes the operator's configuration: one safe and one unrepeatable
// route to service a, and one to service b.
func (d *deployment) configure(version int, extra string) {
	d.t.Helper()
	route := func(name, kind, prefix, service string) string {
		return fmt.Sprintf(`{"name":%q,"kind":%q,"aimS":1,"priority":0,"routeMatch":{"pathPrefix":%q},"routeAction":{"service":%q,"timeoutS":2,"maxAttempts":2}}`,
			name, kind, prefix, service)
	}
	rules := route("safe", "safe", "/safe/", "a") + "," + route("once", "non_idempotent", "/once/", "a") + "," + route("b", "safe", "/b/", "b") + extra
	content := fmt.Sprintf(`{"version":"%08x","listeners":[{"host":"h.example","rules":[%s]}]}`, version, rules)
	if err := d.store.Put(d.t.Context(), platform.OperatorTable, "config", []byte(content)); err != nil {
		d.t.Fatal(err)
	}
}

func free(t *testing.T, host string) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// start runs a backend server and its node on a loopback address of their own.
func (d *deployment) start(service string) *place {
	d.t.Helper()
	d.sequence++
	host := fmt.Sprintf("127.0.0.%d", 10+d.sequence)
	p := &place{
		id:      fmt.Sprintf("i-%d", d.sequence),
		service: service,
	}
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		d.t.Fatal(err)
	}
	server := &http.Server{
		Handler: http.HandlerFunc(p.serve),
	}
	go server.Serve(listener)
	d.t.Cleanup(func() {
		server.Close()
	})
	p.config = configurer.Config{
		ID:             fmt.Sprintf("node-%d", d.sequence),
		Region:         "r",
		Zone:           "z",
		Service:        describer.ServiceName{Team: "county", Name: service},
		CallAddress:    free(d.t, host),
		AdminAddress:   free(d.t, host),
		PeerAddress:    free(d.t, host),
		BackendAddress: listener.Addr().(*net.TCPAddr).AddrPort(),
		Slots:          10,
		Connections:    10,
		LogURL:         d.storeURL,
		StopTimeout:    10 * time.Second,
		DecisionsKept:  100,
		Platform: &configurer.Platform{
			ReadinessAddress:  free(d.t, host),
			RegistryAddress:   free(d.t, host),
			HeartbeatInterval: time.Second,
		},
	}
	d.run(p)
	return p
}

// run starts the place's node.
func (d *deployment) run(p *place) {
	d.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	node, err := New(p.config, log)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.node, p.stop, p.done = node, cancel, make(chan error, 1)
	done := p.done
	go func() {
		done <- node.Run(ctx)
	}()
	d.t.Cleanup(cancel)
}

// serve answers as the platform's backend servers do.
func (p *place) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Laburnumshelf-Request-Id", r.Header.Get("X-Laburnumshelf-Request-Id"))
	if expected := r.Header.Get("X-Laburnumshelf-Expect-Instance"); expected != p.id {
		h.Set("X-Laburnumshelf-Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.runs.Add(1)
	p.last.Store(r.Clone(context.Background()))
	select {
	case <-time.After(time.Duration(p.delay.Load())):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Laburnumshelf-Response-Signature", "signed-by-"+p.id)
	fmt.Fprintf(w, "%s ran %s", p.id, r.RequestURI)
}

// beat sends one heartbeat to the place's node and returns the status.
func (d *deployment) beat(p *place, state string, sequence int) int {
	d.t.Helper()
	body := fmt.Sprintf(`{"address":%q,"born":1000,"info":{"service":%q,"version":"v1","zone":"z","slots":10},"status":{"state":%q,"seq":%d,"warmupLeftS":0}}`,
		p.config.BackendAddress, p.service, state, sequence)
	return d.post(p, "/-/Instances.Heartbeat/"+p.id, body)
}

func (d *deployment) post(p *place, path, body string) int {
	d.t.Helper()
	resp, err := http.Post("http://"+p.config.Platform.RegistryAddress.String()+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	header http.Header
}

// send sends a client's request to the place's node.
func (d *deployment) send(p *place, method, path, id string) answer {
	d.t.Helper()
	req, err := http.NewRequest(method, "http://"+p.config.CallAddress.String()+path, nil)
	if err != nil {
		d.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Laburnumshelf-Request-Id", id)
	req.Header.Set("X-Laburnumshelf-Deadline-Ms", "5000")
	req.Header.Set("X-Laburnumshelf-Caller-Service", "forged")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{
		status: resp.StatusCode,
		body:   string(body),
		header: resp.Header,
	}
}

func (d *deployment) eventually(what string, check func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	d.t.Fatalf("waited %s: got no %s", patience, what)
}

func (d *deployment) ready(p *place) bool {
	resp, err := http.Get("http://" + p.config.Platform.ReadinessAddress.String() + "/-/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// settled waits until each node is ready and knows all targets.
func (d *deployment) settled(places ...*place) {
	d.t.Helper()
	d.eventually("settled deployment", func() bool {
		for _, p := range places {
			if !d.ready(p) || p.node.dispatcher.Targets() != len(places) {
				return false
			}
		}
		return true
	})
}

func TestPlatformServesRequestsThroughTwoNodes(t *testing.T) {
	d := newDeployment(t)
	a, b := d.start("a"), d.start("b")
	if got := d.send(a, "GET", "/safe/1", "0"); got.status != http.StatusServiceUnavailable {
		t.Errorf("without settings: got %d, want 503", got.status)
	}
	if d.ready(a) {
		t.Error("ready without settings and targets")
	}
	d.configure(1, "")
	d.beat(a, "ready", 1)
	d.beat(b, "ready", 1)
	d.settled(a, b)
	got := d.send(b, "GET", "/safe/1?x=%2F", "1")
	if got.status != 200 || got.body != "i-1 ran /safe/1?x=%2F" || got.header.Get("X-Laburnumshelf-Response-Signature") != "signed-by-i-1" {
		t.Errorf("got %+v", got)
	}
	seen := a.last.Load()
	if caller := seen.Header.Get("X-Laburnumshelf-Caller-Service"); caller != "b" {
		t.Errorf("got caller service %q, want b", caller)
	}
	if got := d.send(b, "POST", "/once/1", "2"); got.status != 200 {
		t.Errorf("unrepeatable request: got %d, want 200", got.status)
	}
	if got := d.send(b, "GET", "/missing/", "3"); got.status != 404 {
		t.Errorf("no route: got %d, want 404", got.status)
	}
	if got := a.runs.Load(); got != 2 {
		t.Errorf("got %d runs, want 2", got)
	}
}

func TestPlatformLeavingBackendServerGetsNoNewWork(t *testing.T) {
	d := newDeployment(t)
	d.configure(1, "")
	first, second, entry := d.start("a"), d.start("a"), d.start("b")
	for _, p := range []*place{first, second, entry} {
		d.beat(p, "ready", 1)
	}
	d.settled(first, second, entry)
	if got := d.beat(first, "draining", 2); got != 200 {
		t.Fatalf("got %d, want the leaving acknowledged", got)
	}
	before := first.runs.Load()
	for i := range 20 {
		method, path := "GET", "/safe/1"
		if i%2 == 0 {
			method, path = "POST", "/once/1"
		}
		if got := d.send(entry, method, path, fmt.Sprint("r", i)); got.status != 200 {
			t.Errorf("request %d: got %d, want 200 from the other target", i, got.status)
		}
	}
	if got := first.runs.Load(); got != before {
		t.Errorf("got %d runs after the acknowledgement, want none", got-before)
	}
	d.post(second, "/-/Instances.Deregister/"+second.id, "")
	if got := d.send(entry, "GET", "/safe/1", "last"); got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("no target left: got %d, Retry-After %q, want 503 with a time", got.status, got.header.Get("Retry-After"))
	}
}

func TestPlatformNodeThatStartsAgainIsFound(t *testing.T) {
	d := newDeployment(t)
	d.configure(1, "")
	target, entry := d.start("a"), d.start("b")
	d.beat(target, "ready", 1)
	d.beat(entry, "ready", 1)
	d.settled(target, entry)
	target.stop()
	<-target.done
	d.run(target)
	d.beat(target, "ready", 2)
	d.settled(target, entry)
	if got := d.send(entry, "GET", "/safe/1", "1"); got.status != 200 {
		t.Errorf("got %d, want 200", got.status)
	}
}

func TestPlatformAnswersAtTheRoutesTimeout(t *testing.T) {
	const timeout = 2 * time.Second
	d := newDeployment(t)
	d.configure(1, "")
	target, entry := d.start("a"), d.start("b")
	d.beat(target, "ready", 1)
	d.beat(entry, "ready", 1)
	d.settled(target, entry)
	target.delay.Store(int64(4 * time.Second))
	for i, request := range []struct{ method, path string }{{"GET", "/safe/1"}, {"POST", "/once/1"}} {
		started := time.Now()
		got := d.send(entry, request.method, request.path, fmt.Sprint(i))
		if got.status != http.StatusGatewayTimeout {
			t.Errorf("%s: got %d, want 504", request.path, got.status)
		}
		if took := time.Since(started); took < timeout-100*time.Millisecond || took > timeout+500*time.Millisecond {
			t.Errorf("%s: got the answer after %s, want %s", request.path, took, timeout)
		}
	}
}

func TestPlatformConfigurationReachesEveryNode(t *testing.T) {
	d := newDeployment(t)
	d.configure(1, "")
	a, b := d.start("a"), d.start("b")
	d.beat(a, "ready", 1)
	d.beat(b, "ready", 1)
	d.settled(a, b)
	d.configure(7, `,{"name":"new","kind":"safe","aimS":1,"priority":0,"routeMatch":{"pathPrefix":"/new/"},"routeAction":{"service":"a","timeoutS":2,"maxAttempts":1}}`)
	d.eventually("new route everywhere", func() bool {
		return d.send(a, "GET", "/new/1", "1").status == 200 && d.send(b, "GET", "/new/1", "2").status == 200
	})
}

func TestPlatformDrainServesUntilClientsHaveGone(t *testing.T) {
	d := newDeployment(t)
	d.configure(1, "")
	target, leaving := d.start("a"), d.start("b")
	d.beat(target, "ready", 1)
	d.beat(leaving, "ready", 1)
	d.settled(target, leaving)
	target.delay.Store(int64(time.Second))
	open := make(chan answer, 1)
	go func() {
		open <- d.send(leaving, "POST", "/once/1", "open")
	}()
	d.eventually("open request", func() bool {
		return target.runs.Load() == 1
	})
	leaving.node.Drain()
	if d.ready(leaving) {
		t.Error("a draining node says that it is ready")
	}
	if got := d.send(leaving, "GET", "/safe/1", "new"); got.status != 200 {
		t.Errorf("request before clients noticed: got %d, want 200", got.status)
	}
	if got := <-open; got.status != 200 {
		t.Errorf("open request: got %d, want 200", got.status)
	}
	select {
	case <-leaving.done:
	case <-time.After(patience):
		t.Error("the node still runs")
	}
}

func TestPlatformStopEndsWithinItsTimeout(t *testing.T) {
	const grace = 2 * time.Second
	d := newDeployment(t)
	d.configure(1, "")
	target, leaving := d.start("a"), d.start("b")
	d.beat(target, "ready", 1)
	d.beat(leaving, "ready", 1)
	d.settled(target, leaving)
	leaving.node.stopTimeout.Store(int64(grace))
	target.delay.Store(int64(time.Minute))
	// A connection without a request and one whose request is open.
	silent, err := net.Dial("tcp", leaving.config.CallAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	go d.send(leaving, "GET", "/safe/1", "open")
	d.eventually("open request", func() bool {
		return target.runs.Load() == 1
	})
	started := time.Now()
	leaving.node.Drain()
	<-leaving.done
	if took := time.Since(started); took > grace {
		t.Errorf("the stop took %s, want at most %s", took, grace)
	}
}

func TestPlatformRequestsThatComeTooLateForADrainAreRefused(t *testing.T) {
	d := newDeployment(t)
	d.configure(1, "")
	target, leaving := d.start("a"), d.start("b")
	d.beat(target, "ready", 1)
	d.beat(leaving, "ready", 1)
	d.settled(target, leaving)
	target.delay.Store(int64(1500 * time.Millisecond))
	leaving.node.Drain()
	// Keeps a request open across the end of the time for which the node serves on.
	time.Sleep(leaveTime - 500*time.Millisecond)
	open := make(chan answer, 1)
	go func() {
		open <- d.send(leaving, "POST", "/once/1", "open")
	}()
	conn, err := net.Dial("tcp", leaving.config.CallAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	time.Sleep(time.Second)
	runs := target.runs.Load()
	fmt.Fprint(conn, "GET /safe/1 HTTP/1.1\r\nHost: h.example\r\nX-Laburnumshelf-Request-Id: late\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("late request: got %d, Retry-After %q, close %t, want 503 with a time and the end of the connection", resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close)
	}
	if got := target.runs.Load(); got != runs {
		t.Error("the late request ran")
	}
	if got := <-open; got.status != 200 {
		t.Errorf("open request: got %d, want 200", got.status)
	}
	<-leaving.done
}
