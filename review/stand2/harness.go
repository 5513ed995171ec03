//go:build review2

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/logserver"
	"github.com/laburnumshelf/laburnumshelf/platform"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Figures of a small deployment, as the users' pages state them.
const (
	heartbeatPeriod = 1500 * time.Millisecond
	graceTime       = 6 * time.Second
	drainTime       = 2 * time.Second
	stabilityTime   = 3 * time.Second
	ackTimeout      = time.Second
)

// Headers of the users' protocol.
const (
	headerID        = "X-Laburnumshelf-Request-Id"
	headerDeadline  = "X-Laburnumshelf-Deadline-Ms"
	headerInstance  = "X-Laburnumshelf-Expect-Instance"
	headerCaller    = "X-Laburnumshelf-Caller-Service"
	headerSignature = "X-Laburnumshelf-Response-Signature"
)

const clientHost = "hulo84.example"

// deployment is a store, the machines of the system, and the record of what happened.
type deployment struct {
	trouble  bool
	dir      string
	store    *logserver.Store
	server   *httptest.Server
	machines []*machine
	started  time.Time

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

// newDeployment starts the store.
func newDeployment(recordPath string) (*deployment, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	store := logserver.New(logserver.Retention{})
	d := &deployment{
		trouble: os.Getenv("TROUBLE") != "0",
		dir:     dir,
		store:   store,
		server:  httptest.NewServer(store.Handler()),
		started: time.Now(),
		record:  bufio.NewWriter(file),
		file:    file,
	}
	d.logf("trouble=%v", d.trouble)
	return d, nil
}

// logf writes a line to the record, with the time since the start.
func (d *deployment) logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(d.started).Seconds()) + fmt.Sprintf(format, args...)
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintln(d.record, line)
}

// sayf writes a line to the record and to the standard output.
func (d *deployment) sayf(format string, args ...any) {
	d.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// close ends all processes that were started, and the record.
func (d *deployment) close() {
	for _, m := range d.machines {
		m.target.stop()
		m.kill()
	}
	d.server.CloseClientConnections()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.Flush()
	d.file.Close()
	os.RemoveAll(d.dir)
}

// route is a route of the operator's configuration.
type route struct {
	name     string
	kind     string
	service  string
	aim      float64
	timeout  float64
	attempts int
	priority int
}

// configure writes a version of the operator's configuration. The path prefix of a route is its
// name.
func (d *deployment) configure(version int, routes ...route) error {
	var rules, clusters []string
	seen := make(map[string]bool)
	for _, r := range routes {
		rules = append(rules, fmt.Sprintf(`{"name":"r-%s","kind":%q,"aimS":%g,"priority":%d,"routeMatch":{"pathPrefix":"/%s/"},"routeAction":{"service":%q,"timeoutS":%g,"maxAttempts":%d}}`,
			r.name, r.kind, r.aim, r.priority, r.name, r.service, r.timeout, r.attempts))
		if !seen[r.service] {
			seen[r.service] = true
			clusters = append(clusters, fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConnections":2000,"protocol":"h1","tls":false}`, r.service))
		}
	}
	content := fmt.Sprintf(`{"version":"%08x","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"listeners":[{"host":%q,"rules":[%s]}],"clusters":[%s]}`,
		version, clientHost, strings.Join(rules, ","), strings.Join(clusters, ","))
	return d.store.Put(context.Background(), platform.OperatorTable, "config", []byte(content))
}

// machine is a machine with a node and the target beside it.
type machine struct {
	d         *deployment
	name      string
	service   string
	outbound  netip.AddrPort
	readiness netip.AddrPort
	control   netip.AddrPort
	admin     netip.AddrPort
	peers     netip.AddrPort
	config    string
	target    *target
	// highest is the highest memory that enforceMemory has seen.
	highest int64

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// since is the start of the running process.
	since time.Time
}

// addMachine starts a target and prepares the settings of the node beside it.
func (d *deployment) addMachine(service string, slots int) (*machine, error) {
	n := len(d.machines) + 1
	host := fmt.Sprintf("127.0.0.%d", 20+n)
	addresses, err := freeAddresses(host, 5)
	if err != nil {
		return nil, err
	}
	m := &machine{
		d:         d,
		name:      fmt.Sprintf("sidecar-%d", n),
		service:   service,
		outbound:  addresses[0],
		readiness: addresses[1],
		control:   addresses[2],
		admin:     addresses[3],
		peers:     addresses[4],
	}
	m.target, err = newTarget(m, host, fmt.Sprintf("i-%08x", 0x7f3a0000+n), slots)
	if err != nil {
		return nil, err
	}
	settings := map[string]any{
		"id": m.name, "region": "lagos", "zone": "lagos-ikeja", "service": "platform/" + service,
		"callAddress": m.outbound.String(), "adminAddress": m.admin.String(), "peerAddress": m.peers.String(),
		"backendAddress": m.target.address.String(), "logUrl": d.server.URL,
		"stopTimeout": graceTime.String(), "decisionsKept": 2048,
		"platform": map[string]any{
			"readinessAddress": m.readiness.String(), "registryAddress": m.control.String(),
			"heartbeatInterval": heartbeatPeriod.String(),
		},
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	m.config = filepath.Join(d.dir, m.name+".jsonc")
	if err := os.WriteFile(m.config, content, 0o644); err != nil {
		return nil, err
	}
	d.machines = append(d.machines, m)
	return m, nil
}

// freeAddresses returns free addresses of a host.
func freeAddresses(host string, count int) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for range count {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return addresses, nil
}

// start starts the node with the command of the deploy file.
func (m *machine) start() error {
	cmd := exec.Command("target/laburnumshelf", "node")
	cmd.Env = append(os.Environ(), "LABURNUMSHELF_CONFIG="+m.config)
	if os.Getenv("NODELOG") != "" {
		out, err := os.OpenFile(filepath.Join(os.Getenv("NODELOG"), m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err == nil {
			cmd.Stdout, cmd.Stderr = out, out
		}
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited, m.since = cmd, exited, time.Now()
	m.mu.Unlock()
	m.d.logf("%s: process started", m.name)
	go func() {
		err := cmd.Wait()
		m.d.logf("%s: process ended: %v", m.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return
	}
	m.d.logf("%s: signal %v", m.name, s)
	cmd.Process.Signal(s)
}

// awaitExit waits for the end of the process.
func (m *machine) awaitExit(limit time.Duration) bool {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// running reports whether the process runs.
func (m *machine) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.exited == nil {
		return false
	}
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// kill ends the process at once.
func (m *machine) kill() {
	if m.running() {
		m.signal(syscall.SIGKILL)
		m.awaitExit(5 * time.Second)
	}
}

// stop stops the process as the platform does: SIGTERM, and SIGKILL after the grace time.
func (m *machine) stop() {
	m.signal(syscall.SIGTERM)
	if !m.awaitExit(graceTime) {
		m.kill()
	}
}

// startedAt returns the start of the running process.
func (m *machine) startedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.since
}

// residentBytes returns the resident memory of the process, or 0 if it has ended.
func (m *machine) residentBytes() int64 {
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// ready reports whether the node answers the platform's readiness check with 200.
func (m *machine) ready() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + m.readiness.String() + "/-/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits until the condition holds.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if condition() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// awaitListening waits until the address accepts connections.
func awaitListening(address netip.AddrPort, limit time.Duration) bool {
	return await(limit, func() bool {
		conn, err := net.DialTimeout("tcp", address.String(), 100*time.Millisecond)
		if err != nil {
			return false
		}
		conn.Close()
		return true
	})
}

// startAll starts all nodes and the heartbeats, and waits until all nodes are ready.
func (d *deployment) startAll() error {
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range d.machines {
		go m.target.runHeartbeats()
	}
	for _, m := range d.machines {
		if !await(20*time.Second, m.ready) {
			return fmt.Errorf("%s is not ready", m.name)
		}
	}
	// Each node learns of the targets of the others.
	time.Sleep(3 * time.Second)
	return nil
}

// post sends a registry message of a target to its node.
func post(address netip.AddrPort, path string, body []byte) (int, error) {
	client := http.Client{
		Timeout: ackTimeout,
	}
	defer client.CloseIdleConnections()
	resp, err := client.Post("http://"+address.String()+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}
