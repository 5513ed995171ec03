package spawner

import (
	"context"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/labeler"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/driver"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/responder"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/tracer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// node is one node process with its simulated backend server.
type node struct {
	id      string
	service tracer.Service
	index   int
	region  int
	// call, admin, peer and backend are the addresses of the node and its backend
	// server.
	call    string
	admin   string
	peer    string
	backend string
	server  *responder.Server
	httpd   *http.Server
	cmd     *exec.Cmd
	// excludedAsEntry is set while clients send no requests to the node.
	excludedAsEntry atomic.Bool
}

// start starts a simulated backend server and the node beside it.
func (f *Fleet) start(service tracer.Service, index int) (*node, error) {
	region := index % len(f.trace.Regions)
	zones := f.trace.Regions[region].Zones
	n := &node{
		id:      service.Name.Name + "-" + strconv.Itoa(index),
		service: service,
		index:   index,
		region:  region,
		server:  responder.New(service, f.runCounter, f.trace.Seed+uint64(index)),
	}
	var err error
	for _, address := range []*string{&n.call, &n.admin, &n.peer} {
		if *address, err = f.freeAddress(); err != nil {
			return nil, err
		}
	}
	listener, err := f.listen()
	if err != nil {
		return nil, err
	}
	n.backend = listener.Addr().String()
	n.httpd = &http.Server{
		Handler: responder.NewHandler(n.server, service.Slots, n.call),
	}
	go n.httpd.Serve(listener)
	settings, err := f.settingsFile(n, service, f.trace.Regions[region], zones[index/len(f.trace.Regions)%len(zones)])
	if err != nil {
		return nil, err
	}
	n.cmd = f.command(settings)
	if err := n.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start node process; is the binary built?")
	}
	go n.cmd.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
	return n, nil
}

// firstPort is below the range from which the operating system picks ports for
// outgoing connections. Otherwise, such a connection could take the port of a node
// before the node listens on it.
const firstPort = 20_000

// listen listens on the next free loopback port. It returns no port twice.
func (f *Fleet) listen() (net.Listener, error) {
	const lastPort = 30_000
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.nextPort < lastPort {
		f.nextPort++
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(f.nextPort))
		if err == nil {
			return listener, nil
		}
	}
	return nil, errors.New("no free loopback port left")
}

// freeAddress returns a free loopback address.
func (f *Fleet) freeAddress() (string, error) {
	listener, err := f.listen()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// kill kills the process and closes its backend server. A frozen process is resumed
// first.
func (n *node) kill() {
	n.excludedAsEntry.Store(true)
	n.cmd.Process.Signal(syscall.SIGCONT)
	n.cmd.Process.Kill()
	n.httpd.Close()
}

// Do implements driver.Fleet. The client sends its request to a random node of its
// region.
func (f *Fleet) Do(ctx context.Context, request driver.Request) driver.Result {
	n := f.chooseEntryNode(request.Region)
	if n == nil || !responder.Sleep(ctx, 2*f.trace.Latency.Client) {
		return driver.Result{}
	}
	req, err := http.NewRequestWithContext(ctx, request.Method, "http://"+n.call+request.Path, nil)
	if err != nil {
		return driver.Result{}
	}
	req.Header.Set(labeler.Service, request.Service.String())
	req.Header.Set(labeler.RequestID, request.ID)
	req.Header.Set(labeler.Timeout, request.Timeout.String())
	if request.Token != "" {
		req.Header.Set(labeler.Token, request.Token)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return driver.Result{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return driver.Result{}
	}
	result := driver.Result{
		Status:      resp.StatusCode,
		NotRun:      resp.Header.Get(labeler.Outcome) == "notRun",
		TokenNeeded: resp.StatusCode == http.StatusPreconditionRequired,
		Token:       resp.Header.Get(labeler.Token),
		Body:        body,
	}
	if result.Token == "" {
		result.Token = request.Token
	}
	return result
}

// chooseEntryNode returns a random node of a region that accepts requests of
// clients, or nil if there is none.
func (f *Fleet) chooseEntryNode(region int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var serving []*node
	for _, n := range f.nodes {
		if n.region == region && !n.excludedAsEntry.Load() {
			serving = append(serving, n)
		}
	}
	if len(serving) == 0 {
		return nil
	}
	return serving[f.rng.IntN(len(serving))]
}

// Inject implements driver.Fleet.
func (f *Fleet) Inject(fault tracer.Fault) func() {
	affected := f.affected(fault.Service, fault.Targets)
	onEach := func(do func(n *node)) func() {
		return func() {
			for _, n := range affected {
				do(n)
			}
		}
	}
	switch fault.Kind {
	case tracer.FaultSlow:
		onEach(func(n *node) { n.server.SetWorkFactor(fault.Factor) })()
		return onEach(func(n *node) { n.server.SetWorkFactor(1) })
	case tracer.FaultKill:
		onEach(f.stop)()
		return onEach(f.replace)
	case tracer.FaultCold:
		onEach(f.stop)()
		onEach(f.replace)()
	case tracer.FaultDrain:
		onEach(func(n *node) {
			n.excludedAsEntry.Store(true)
			n.cmd.Process.Signal(syscall.SIGTERM)
		})()
	case tracer.FaultFreeze:
		onEach(func(n *node) {
			n.excludedAsEntry.Store(true)
			n.cmd.Process.Signal(syscall.SIGSTOP)
		})()
		return onEach(func(n *node) {
			n.cmd.Process.Signal(syscall.SIGCONT)
			n.excludedAsEntry.Store(false)
		})
	case tracer.FaultLogDown:
		f.setLogDown(true)
		return func() { f.setLogDown(false) }
	case tracer.FaultLogRestored:
		backup := f.log.Copy()
		return func() { f.log.Restore(backup) }
	}
	return func() {}
}

// affected returns the first nodes of a service, as many as targets says; 0 means
// all.
func (f *Fleet) affected(service describer.ServiceName, targets int) []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*node
	for _, n := range f.nodes {
		if n.service.Name == service && (targets == 0 || len(list) < targets) {
			list = append(list, n)
		}
	}
	return list
}

// stop kills a node and its backend server and adds its decision counters to
// retired.
func (f *Fleet) stop(n *node) {
	counters := f.decisions(n)
	n.kill()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, count := range counters {
		f.retired[name] += count
	}
	for i := range f.nodes {
		if f.nodes[i] == n {
			f.nodes = append(f.nodes[:i], f.nodes[i+1:]...)
			return
		}
	}
}

// replace starts a new node with a cold backend server in place of a stopped node.
func (f *Fleet) replace(n *node) {
	replacement, err := f.start(n.service, n.index)
	if err == nil {
		replacement.server.SimulateColdStart(time.Now())
	}
}
