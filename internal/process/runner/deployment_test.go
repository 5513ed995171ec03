package runner

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/process/configurer"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/logserver"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/platform"
)

// waitTimeout limits each wait of these tests. A wait polls its condition and ends as
// soon as the condition holds.
const waitTimeout = 20 * time.Second

// heartbeatInterval is the time between two heartbeats of a backend server.
const heartbeatInterval = time.Second

// testNode is a node with its backend server, which speaks the platform's protocols.
type testNode struct {
	id          string
	service     string
	config      configurer.Config
	node        *Node
	stop        context.CancelFunc
	done        chan error
	runs        atomic.Int32
	lastRequest atomic.Pointer[http.Request]
	// wrapCalls replaces the listener of callers, if it is set before runNode.
	wrapCalls func(net.Listener) net.Listener
	// run replaces the default run of a request, if it is set.
	run atomic.Pointer[http.HandlerFunc]
	// ran counts the runs of each request ID.
	ranMu sync.Mutex
	ran   map[string]int
	delay atomic.Int64

	// mu guards the state and the sequence number in the heartbeats of the backend
	// server. It sends no heartbeats while the state is empty.
	mu       sync.Mutex
	state    string
	sequence int
	// born is the start time of the backend server.
	born int
}

// deployment is a store with the nodes that use it.
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

// configure writes the operator's configuration: a safe and a non-idempotent route
// to service a, a safe route to service b, and the rules in extra.
func (d *deployment) configure(version int, extra string) {
	d.t.Helper()
	d.configureWith(version, extra, "")
}

// configureWith is configure with more fields of the configuration.
func (d *deployment) configureWith(version int, extra, fields string) {
	d.t.Helper()
	route := func(name, kind, prefix, service string) string {
		return fmt.Sprintf(`{"name":%q,"kind":%q,"aimS":1,"priority":0,"routeMatch":{"pathPrefix":%q},"routeAction":{"service":%q,"timeoutS":2,"maxAttempts":2}}`,
			name, kind, prefix, service)
	}
	rules := route("safe", "safe", "/safe/", "a") + "," + route("once", "non_idempotent", "/once/", "a") + "," + route("b", "safe", "/b/", "b") + extra
	content := fmt.Sprintf(`{"version":"%08x","listeners":[{"host":"h.example","rules":[%s]}]%s}`, version, rules, fields)
	if err := d.store.Put(d.t.Context(), platform.OperatorTable, "config", []byte(content)); err != nil {
		d.t.Fatal(err)
	}
}

// freeAddresses returns count free addresses of one host. It keeps all of them open
// until the last one is found, so that no two are the same.
func freeAddresses(t *testing.T, host string, count int) []netip.AddrPort {
	t.Helper()
	var addresses []netip.AddrPort
	for range count {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return addresses
}

// start starts a backend server and its node on a loopback address of their own.
func (d *deployment) start(service string) *testNode {
	d.t.Helper()
	d.sequence++
	host := fmt.Sprintf("127.0.0.%d", 10+d.sequence)
	n := &testNode{
		id:      fmt.Sprintf("i-%d", d.sequence),
		service: service,
		born:    1000,
	}
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		d.t.Fatal(err)
	}
	server := &http.Server{
		Handler: http.HandlerFunc(n.serve),
	}
	go server.Serve(listener)
	d.t.Cleanup(func() {
		server.Close()
	})
	addresses := freeAddresses(d.t, host, 5)
	n.config = configurer.Config{
		ID:             fmt.Sprintf("node-%d", d.sequence),
		Region:         "r",
		Zone:           "z",
		Service:        describer.ServiceName{Team: "county", Name: service},
		CallAddress:    addresses[0],
		AdminAddress:   addresses[1],
		PeerAddress:    addresses[2],
		BackendAddress: listener.Addr().(*net.TCPAddr).AddrPort(),
		Slots:          10,
		Connections:    10,
		LogURL:         d.storeURL,
		StopTimeout:    10 * time.Second,
		DecisionsKept:  100,
		Platform: &configurer.Platform{
			ReadinessAddress:  addresses[3],
			RegistryAddress:   addresses[4],
			HeartbeatInterval: heartbeatInterval,
		},
	}
	go d.repeatHeartbeats(n)
	d.runNode(n)
	return n
}

// runNode starts the node of n.
func (d *deployment) runNode(n *testNode) {
	d.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	node, err := New(n.config, log)
	if err != nil {
		d.t.Fatal(err)
	}
	if n.wrapCalls != nil {
		node.listeners.calls = n.wrapCalls(node.listeners.calls)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.node, n.stop, n.done = node, cancel, make(chan error, 1)
	done := n.done
	go func() {
		done <- node.Run(ctx)
	}()
	d.t.Cleanup(cancel)
}

func (n *testNode) countRun(id string) {
	n.ranMu.Lock()
	defer n.ranMu.Unlock()
	if n.ran == nil {
		n.ran = make(map[string]int)
	}
	n.ran[id]++
}

// runsOf returns how often a request ran at the backend server.
func (n *testNode) runsOf(id string) int {
	n.ranMu.Lock()
	defer n.ranMu.Unlock()
	return n.ran[id]
}

// serve answers requests like a backend server of the platform.
func (n *testNode) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Laburnumshelf-Request-Id", r.Header.Get("X-Laburnumshelf-Request-Id"))
	if expected := r.Header.Get("X-Laburnumshelf-Expect-Instance"); expected != n.id {
		h.Set("X-Laburnumshelf-Instance-Id", n.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n.runs.Add(1)
	n.countRun(r.Header.Get("X-Laburnumshelf-Request-Id"))
	n.lastRequest.Store(r.Clone(context.Background()))
	if run := n.run.Load(); run != nil {
		h.Set("X-Laburnumshelf-Response-Signature", "signed-by-"+n.id)
		(*run)(w, r)
		return
	}
	select {
	case <-time.After(time.Duration(n.delay.Load())):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Laburnumshelf-Response-Signature", "signed-by-"+n.id)
	fmt.Fprintf(w, "%s ran %s", n.id, r.RequestURI)
}

// repeatHeartbeats sends heartbeats with the last reported state, like a backend
// server of the platform. A slow test then does not lose the registration.
func (d *deployment) repeatHeartbeats(n *testNode) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.repeatHeartbeat(n)
		case <-d.t.Context().Done():
			return
		}
	}
}

// repeatHeartbeat sends one heartbeat unless no state is reported.
func (d *deployment) repeatHeartbeat(n *testNode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state != "" {
		d.sendHeartbeat(n)
	}
}

// reportState sends a heartbeat with state to the node of n and returns the HTTP
// status. repeatHeartbeats repeats it from then on.
func (d *deployment) reportState(n *testNode, state string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state = state
	return d.sendHeartbeat(n)
}

// deregister deregisters the backend server of n, stops its heartbeats and returns the
// HTTP status.
func (d *deployment) deregister(n *testNode) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state = ""
	return d.post(n, "/-/Instances.Deregister/"+n.id, "")
}

// sendHeartbeat sends one heartbeat. The caller holds n.mu, so that heartbeats arrive
// in order.
func (d *deployment) sendHeartbeat(n *testNode) int {
	n.sequence++
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"z","slots":10},"status":{"state":%q,"seq":%d,"warmupLeftS":0}}`,
		n.config.BackendAddress, n.born, n.service, n.state, n.sequence)
	return d.post(n, "/-/Instances.Heartbeat/"+n.id, body)
}

// post sends a registry request to the node of n and returns the HTTP status, or 0
// without an answer.
func (d *deployment) post(n *testNode, path, body string) int {
	resp, err := http.Post("http://"+n.config.Platform.RegistryAddress.String()+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// answer is the answer to a client's request. It is zero if the request failed.
type answer struct {
	status int
	body   string
	header http.Header
}

// send sends a client's request to the node of n.
func (d *deployment) send(n *testNode, method, path, id string) answer {
	d.t.Helper()
	return d.sendWith(n, method, path, id, nil)
}

// sendWith sends a client's request with additional headers to the node of n.
func (d *deployment) sendWith(n *testNode, method, path, id string, header http.Header) answer {
	d.t.Helper()
	req, err := http.NewRequest(method, "http://"+n.config.CallAddress.String()+path, nil)
	if err != nil {
		d.t.Fatal(err)
	}
	req.Host = "h.example"
	for name, values := range header {
		req.Header[name] = values
	}
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

// eventually waits until check returns true and fails the test after waitTimeout.
func (d *deployment) eventually(condition string, check func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	d.t.Fatalf("timed out after %s waiting for %s", waitTimeout, condition)
}

// ready reports whether the node of n answers readiness probes with 200.
func (d *deployment) ready(n *testNode) bool {
	resp, err := http.Get("http://" + n.config.Platform.ReadinessAddress.String() + "/-/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until each node is ready and knows all targets.
func (d *deployment) awaitReady(nodes ...*testNode) {
	d.t.Helper()
	var missing []string
	defer func() {
		if d.t.Failed() {
			d.t.Log(missing)
		}
	}()
	d.eventually("readiness of all nodes", func() bool {
		missing = nil
		for _, n := range nodes {
			if ready, targets := d.ready(n), n.node.dispatcher.TargetCount(); !ready || targets != len(nodes) {
				missing = append(missing, fmt.Sprintf("%s: ready %t, %d targets, settings %d, members %v", n.config.ID, ready, targets, n.node.settings().Version, n.node.announcer.Members()))
			}
		}
		return len(missing) == 0
	})
}

// startPair starts a node of service a and one of service b. It waits until they know
// each other and the first configuration.
func (d *deployment) startPair() (a, b *testNode) {
	d.t.Helper()
	d.configure(1, "")
	a, b = d.start("a"), d.start("b")
	d.reportState(a, "ready")
	d.reportState(b, "ready")
	d.awaitReady(a, b)
	return a, b
}
