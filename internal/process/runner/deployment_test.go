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

	"github.com/laburnumshelf/laburnumshelf/internal/platform/logserver"
	"github.com/laburnumshelf/laburnumshelf/internal/process/configurer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/platform"
)

// patience bounds every wait of these tests; they poll and end as soon as they
// can.
const patience = 20 * time.Second

// heartbeatInterval is the time between two heartbeats.
const heartbeatInterval = time.Second

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

	// mu guards what the backend server says of itself in its heartbeats; an empty
	// state means that it sends none.
	mu       sync.Mutex
	state    string
	sequence int
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

// free returns addresses of one host. All are held until the last one is found, so
// that no two are the same.
func free(t *testing.T, host string, count int) []netip.AddrPort {
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
	addresses := free(d.t, host, 5)
	p.config = configurer.Config{
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
	go d.keepBeating(p)
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

// keepBeating repeats the place's last heartbeat, as the platform's backend
// servers do, so that a test that is held up loses no registration.
func (d *deployment) keepBeating(p *place) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.repeat(p)
		case <-d.t.Context().Done():
			return
		}
	}
}

func (d *deployment) repeat(p *place) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != "" {
		d.heartbeat(p)
	}
}

// beat sends a heartbeat to the place's node, which is repeated from now on, and
// returns the status.
func (d *deployment) beat(p *place, state string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	return d.heartbeat(p)
}

// deregister takes the place's backend server away.
func (d *deployment) deregister(p *place) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = ""
	return d.post(p, "/-/Instances.Deregister/"+p.id, "")
}

// heartbeat sends one heartbeat; p.mu is held, so that they arrive in order.
func (d *deployment) heartbeat(p *place) int {
	p.sequence++
	body := fmt.Sprintf(`{"address":%q,"born":1000,"info":{"service":%q,"version":"v1","zone":"z","slots":10},"status":{"state":%q,"seq":%d,"warmupLeftS":0}}`,
		p.config.BackendAddress, p.service, p.state, p.sequence)
	return d.post(p, "/-/Instances.Heartbeat/"+p.id, body)
}

func (d *deployment) post(p *place, path, body string) int {
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
			if !d.ready(p) || p.node.dispatcher.TargetCount() != len(places) {
				return false
			}
		}
		return true
	})
}

// pair starts a place of service a and one of service b that know each other and
// the first configuration.
func (d *deployment) pair() (a, b *place) {
	d.t.Helper()
	d.configure(1, "")
	a, b = d.start("a"), d.start("b")
	d.beat(a, "ready")
	d.beat(b, "ready")
	d.settled(a, b)
	return a, b
}
