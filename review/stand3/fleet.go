//go:build review3

// Command stand3 runs the scripted cases of the third review. It starts the node of the deploy file
// as separate processes and stands in for the platform's store, the operator, the backend servers and
// the clients.
//
// # Usage
//
//	stand3 CASE DIR
//
// CASE names the case and DIR is its folder, where record.txt is written. The current folder is the
// root of the repository. TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/logserver"
)

// Bounds of the deployment, as in the site file mela-camps.
const (
	heartbeat    = 1500 * time.Millisecond
	slots        = 108
	memoryMB     = 284
	graceSeconds = 6
)

// record is the file that holds what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	return &record{file: file, began: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is a small deployment: the store, the nodes and their backend servers.
type fleet struct {
	record *record
	dir    string
	store  *logserver.Store
	server *http.Server
	// storeAddress is the address of the store.
	storeAddress string
	nodes        []*node
	mu           sync.Mutex
	// taken holds the addresses that freeAddress has returned.
	taken map[string]bool
}

func newFleet(record *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		record: record,
		dir:    dir,
		store:  logserver.New(logserver.Retention{}),
		taken:  make(map[string]bool),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddress = listener.Addr().String()
	f.server = &http.Server{Handler: f.store.Handler()}
	go f.server.Serve(listener)
	return f, nil
}

// The ports of the nodes lie below those that the system gives to outgoing connections. Otherwise one
// of these could take the port of a node that is down.
const (
	firstPort = 10_240
	portCount = 20_000
)

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func (f *fleet) freeAddress() string {
	for {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(portCount)))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		listener.Close()
		if err != nil {
			continue
		}
		packets.Close()
		f.mu.Lock()
		taken := f.taken[address]
		f.taken[address] = true
		f.mu.Unlock()
		if !taken {
			return address
		}
	}
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.stopBackend()
		n.kill()
	}
	f.server.Close()
	os.RemoveAll(f.dir)
}

// rule is a route of the operator's configuration.
type rule struct {
	name, kind, prefix, service string
	timeout                     float64
	attempts                    int
	// parts divide the requests among services, in place of service.
	parts []part
}

// part is a service and its weight.
type part struct {
	service string
	weight  float64
}

// action returns where the requests of a route go.
func (r rule) action() map[string]any {
	action := map[string]any{"timeoutS": r.timeout, "maxAttempts": r.attempts}
	if len(r.parts) == 0 {
		action["service"] = r.service
		return action
	}
	var parts []any
	for _, p := range r.parts {
		parts = append(parts, map[string]any{"service": p.service, "weight": p.weight})
	}
	action["weightedClusters"] = parts
	return action
}

// services returns the services of a route.
func (r rule) services() []string {
	if len(r.parts) == 0 {
		return []string{r.service}
	}
	var names []string
	for _, p := range r.parts {
		names = append(names, p.service)
	}
	return names
}

// configure writes a version of the configuration with one host, as the operator does.
func (f *fleet) configure(version int, host string, rules []rule) error {
	var list, clusters []any
	services := map[string]bool{}
	for _, r := range rules {
		for _, name := range r.services() {
			services[name] = true
		}
		list = append(list, map[string]any{
			"name": r.name, "kind": r.kind, "aimS": 1.5, "priority": 0,
			"routeMatch":  map[string]any{"pathPrefix": r.prefix},
			"routeAction": r.action(),
		})
	}
	for name := range services {
		clusters = append(clusters, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 748, "protocol": "h1", "tls": false})
	}
	content, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": []any{map[string]any{"host": host, "rules": list}},
		"clusters":  clusters,
	})
	if err != nil {
		return err
	}
	f.record.line("operator writes version %d with %d routes", version, len(rules))
	return f.store.Put(context.Background(), "op", "config", content)
}

// node is a node with its backend server.
type node struct {
	fleet     *fleet
	name      string
	service   string
	memoryMB  int
	slots     int
	outbound  string
	readiness string
	control   string
	peer      string
	admin     string
	app       string
	settings  string
	output    *os.File

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}

	backend *backend
}

// addNode adds a node that stays until the end of the case.
func (f *fleet) addNode(name, zone, region, service string) (*node, error) {
	n, err := f.newNode(name, zone, region, service)
	if err != nil {
		return nil, err
	}
	f.nodes = append(f.nodes, n)
	return n, nil
}

// newNode assigns the addresses of a node and writes its settings from the template of the deploy file.
func (f *fleet) newNode(name, zone, region, service string) (*node, error) {
	n := &node{
		fleet: f, name: name, service: service, memoryMB: memoryMB, slots: slots,
		outbound: f.freeAddress(), readiness: f.freeAddress(), control: f.freeAddress(),
		peer: f.freeAddress(), admin: f.freeAddress(), app: f.freeAddress(),
		settings: filepath.Join(f.dir, name+".jsonc"),
	}
	template, err := os.ReadFile("deploy/node.jsonc")
	if err != nil {
		return nil, err
	}
	_, peerPort, _ := net.SplitHostPort(n.peer)
	_, adminPort, _ := net.SplitHostPort(n.admin)
	text := string(template)
	for key, value := range map[string]string{
		"nodeName": name, "region": region, "zone": zone, "service": service, "listen.outbound": n.outbound,
		"ip": "127.0.0.1", "portRange.0": peerPort, "portRange.1": adminPort, "appAddr": n.app,
		"platform.address": f.storeAddress, "bounds.graceS": strconv.Itoa(graceSeconds),
		"listen.readiness": n.readiness, "listen.control": n.control,
		"heartbeatS": strconv.FormatFloat(heartbeat.Seconds(), 'g', -1, 64),
	} {
		text = strings.ReplaceAll(text, "{{"+key+"|json}}", strconv.Quote(value))
		text = strings.ReplaceAll(text, "{{"+key+"}}", value)
	}
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	n.output, err = os.Create(filepath.Join(f.dir, name+".log"))
	return n, err
}

// start starts the process with the command and the environment of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.command = exec.Command("target/laburnumshelf", "node")
	n.command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		"LABURNUMSHELF_CONFIG=" + n.settings, "LABURNUMSHELF_MEMORY_MB=" + strconv.Itoa(n.memoryMB),
	}
	n.command.Stdout, n.command.Stderr = n.output, n.output
	n.done = make(chan struct{})
	command, done := n.command, n.done
	if err := command.Start(); err != nil {
		return err
	}
	n.fleet.record.line("node %s starts", n.name)
	go func() {
		command.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil && n.command.Process != nil {
		n.command.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	if done != nil {
		<-done
	}
}

// residentMB returns the resident memory of the process in megabytes, or 0 if it does not run.
func (n *node) residentMB() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil || n.command.Process == nil {
		return 0
	}
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() / 1_000_000
}

// ready reports whether the node answers its readiness probe with 200.
func (n *node) ready() bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range f.nodes {
		for !n.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.line("all nodes are ready")
	return nil
}

// sequence is that of the last heartbeat of any backend server.
var sequence atomic.Uint64

// report sends a heartbeat to the node and reports whether it was acknowledged.
func (b *backend) report(state string) bool {
	body, _ := json.Marshal(map[string]any{
		"address": b.node.app,
		"born":    b.born.UnixMilli(),
		"info":    map[string]any{"service": b.node.service, "version": "v1", "zone": "olk-a", "slots": b.node.slots},
		"status":  map[string]any{"state": state, "seq": sequence.Add(1), "warmupLeftS": 0},
	})
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+b.node.control+"/-/Instances.Heartbeat/"+b.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// deregister tells the node that the backend server ends.
func (b *backend) deregister() {
	body, _ := json.Marshal(map[string]any{"born": b.born.UnixMilli()})
	client := &http.Client{Timeout: time.Second}
	if resp, err := client.Post("http://"+b.node.control+"/-/Instances.Deregister/"+b.id, "application/json", bytes.NewReader(body)); err == nil {
		resp.Body.Close()
	}
}
