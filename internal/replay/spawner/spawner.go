// Package spawner runs the fleet of a trace as separate processes that communicate
// over loopback. Each target has a node process. The simulated backend servers and
// the simulated log of the platform run in the process of the replay.
//
// # Usage
//
//	fleet, err := spawner.New(ctx, trace, "bin/laburnumshelf")
//	defer fleet.Close()
//	measurements := driver.Run(ctx, trace, fleet, nil)
package spawner

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/process/administrator"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/driver"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/logserver"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/responder"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/tracer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/publisher"
)

// readyTimeout bounds the time until all nodes know each other and the settings.
const readyTimeout = 30 * time.Second

// Fleet is a fleet whose nodes run as separate processes.
type Fleet struct {
	trace      *tracer.Trace
	binary     string
	dir        string
	runCounter *responder.RunCounter
	log        *logserver.Store
	logURL     string
	client     *http.Client

	mu       sync.Mutex
	rng      *rand.Rand
	nextPort int
	nodes    []*node
	servers  []*http.Server
	// retired holds the sums of the decision counters of stopped nodes.
	retired map[string]int64
}

var _ driver.Fleet = (*Fleet)(nil)

// New starts the fleet with the given laburnumshelf binary. It waits until all nodes
// know each other and the settings.
func New(ctx context.Context, trace *tracer.Trace, binary string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "shelf-replay")
	if err != nil {
		return nil, errors.Wrap(err, "create directory for process settings")
	}
	f := &Fleet{
		trace:      trace,
		binary:     binary,
		dir:        dir,
		runCounter: responder.NewRunCounter(),
		log:        logserver.New(logserver.Retention{}),
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 256,
			},
		},
		rng:      rand.New(rand.NewPCG(trace.Seed, 9)),
		nextPort: firstPort,
		retired:  make(map[string]int64),
	}
	if err := f.startAll(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// startAll starts the log, publishes the settings and starts the nodes.
func (f *Fleet) startAll(ctx context.Context) error {
	address, err := f.serve(f.log.Handler())
	if err != nil {
		return err
	}
	f.logURL = "http://" + address
	if err := f.publish(ctx); err != nil {
		return err
	}
	for _, service := range f.trace.Services {
		for i := range service.Targets {
			if _, err := f.start(service, i); err != nil {
				return err
			}
		}
	}
	return f.waitUntilReady(ctx)
}

// serve starts an HTTP server on a free loopback address and returns the address.
func (f *Fleet) serve(handler http.Handler) (string, error) {
	listener, err := f.listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler: handler,
	}
	f.mu.Lock()
	f.servers = append(f.servers, server)
	f.mu.Unlock()
	go server.Serve(listener)
	return listener.Addr().String(), nil
}

// routeDocument is the JSON form of the settings of a route.
type routeDocument struct {
	Name        string   `json:"name"`
	Methods     []string `json:"methods,omitempty"`
	Path        string   `json:"path"`
	Criticality string   `json:"criticality"`
	Idempotent  bool     `json:"idempotent"`
	Timeout     string   `json:"timeout"`
}

// serviceDocument is the JSON form of the settings of a service.
type serviceDocument struct {
	Routes []routeDocument `json:"routes"`
}

// publish appends the settings of the services of the trace to the log.
func (f *Fleet) publish(ctx context.Context) error {
	for _, service := range f.trace.Services {
		document := serviceDocument{}
		for _, route := range service.Routes {
			document.Routes = append(document.Routes, routeDocument{
				Name:        route.Name,
				Methods:     route.Methods,
				Path:        route.Path,
				Criticality: route.Criticality.String(),
				Idempotent:  route.Idempotent,
				Timeout:     route.Timeout.String(),
			})
		}
		content, err := json.Marshal(document)
		if err != nil {
			return errors.Wrap(err, "encode settings")
		}
		_, err = publisher.Publish(ctx, f.log, publisher.Change{
			Path:     "/" + service.Name.Team + "/services/" + service.Name.Name,
			Document: content,
			Author:   "shelf-replay",
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// waitUntilReady waits until every node knows all members and the settings.
func (f *Fleet) waitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		waiting := 0
		for _, n := range f.nodes {
			status := administrator.Status{}
			err := f.get(ctx, n.admin, "/status", &status)
			if err != nil || status.Members < len(f.nodes) || status.SettingsVersion < int64(len(f.trace.Services)) {
				waiting++
			}
		}
		if waiting == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("%d of %d nodes do not know all members and the settings after %s", waiting, len(f.nodes), readyTimeout)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// get sends a GET request to a node and decodes the JSON answer.
func (f *Fleet) get(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

// Close kills all processes, closes the simulated servers, and deletes the settings
// files.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		n.kill()
	}
	for _, server := range f.servers {
		server.Close()
	}
	os.RemoveAll(f.dir)
}

// RunCounter implements driver.Fleet.
func (f *Fleet) RunCounter() *responder.RunCounter {
	return f.runCounter
}

// exportedVars holds the variables that are read from /debug/vars of a node.
type exportedVars struct {
	Decisions map[string]int64 `json:"decisions"`
}

// Counters implements driver.Fleet. For a node that was killed, the counts of its
// last second are missing.
func (f *Fleet) Counters() map[string]int64 {
	f.mu.Lock()
	nodes := append([]*node(nil), f.nodes...)
	sum := make(map[string]int64)
	for name, count := range f.retired {
		sum[name] += count
	}
	f.mu.Unlock()
	for _, n := range nodes {
		for name, count := range f.decisions(n) {
			sum[name] += count
		}
	}
	return sum
}

// decisions returns the decision counters of a node, or nil if the node does not
// answer.
func (f *Fleet) decisions(n *node) map[string]int64 {
	exported := exportedVars{}
	if err := f.get(context.Background(), n.admin, "/debug/vars", &exported); err != nil {
		return nil
	}
	return exported.Decisions
}

// settingsFile writes the process settings of a node to a file and returns its
// name.
func (f *Fleet) settingsFile(n *node, service tracer.Service, region tracer.Region, zone string) (string, error) {
	content, err := json.Marshal(processDocument{
		ID:             n.id,
		Region:         region.Name,
		Zone:           zone,
		Service:        service.Name.String(),
		CallAddress:    n.call,
		AdminAddress:   n.admin,
		PeerAddress:    n.peer,
		BackendAddress: n.backend,
		Slots:          service.Slots,
		Connections:    service.Connections,
		LogURL:         f.logURL,
		Contacts:       f.contacts(),
		LogLevel:       "error",
	})
	if err != nil {
		return "", errors.Wrap(err, "encode process settings")
	}
	name := filepath.Join(f.dir, fmt.Sprintf("%s-%d.jsonc", n.id, time.Now().UnixNano()))
	return name, errors.Wrap(os.WriteFile(name, content, 0o600), "write process settings")
}

// contacts returns the peer addresses of a few nodes. A new node uses them to join
// while the log is unavailable.
func (f *Fleet) contacts() []string {
	const maxContacts = 4
	f.mu.Lock()
	defer f.mu.Unlock()
	contacts := []string{}
	for i := len(f.nodes) - 1; i >= 0 && len(contacts) < maxContacts; i -= 3 {
		contacts = append(contacts, f.nodes[i].peer)
	}
	return contacts
}

// processDocument is the JSON form of process settings.
type processDocument struct {
	ID             string   `json:"id"`
	Region         string   `json:"region"`
	Zone           string   `json:"zone"`
	Service        string   `json:"service"`
	CallAddress    string   `json:"callAddress"`
	AdminAddress   string   `json:"adminAddress"`
	PeerAddress    string   `json:"peerAddress"`
	BackendAddress string   `json:"backendAddress"`
	Slots          int      `json:"slots"`
	Connections    int      `json:"connections"`
	LogURL         string   `json:"logUrl"`
	Contacts       []string `json:"contacts"`
	LogLevel       string   `json:"logLevel"`
}

// command returns the command that runs a node with the given settings file.
func (f *Fleet) command(settings string) *exec.Cmd {
	cmd := exec.Command(f.binary, "node", "--config", settings)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	cmd.Stderr = os.Stderr
	return cmd
}

// setLogDown makes the log unavailable or available again.
func (f *Fleet) setLogDown(down bool) {
	f.log.SetFaults(logserver.Faults{
		Down: down,
	})
}
