//go:build review

package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/logserver"
)

// Bounds of a small deployment, as in the site files of mela-camps and ikengard-mesh.
const (
	heartbeatInterval = 1500 * time.Millisecond
	stability         = 3 * time.Second
	drainTime         = 2 * time.Second
	graceTime         = 6 * time.Second
)

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file}, nil
}

// notef writes one line with the time since the start of the case.
func (r *recorder) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a store with the machines that use it.
type deployment struct {
	rec  *recorder
	root string
	temp string
	// logs is the folder of the nodes' logs.
	logs     string
	run      []string
	template string
	store    *logserver.Store
	storeURL string
	ports    ports
	machines []*machine
}

// ports are the ports that are the same on all machines.
type ports struct {
	inbound, outbound, readiness, control, app, first int
}

// newDeployment starts the store. It reads the deploy file and the template of the settings
// from the repository in the current folder.
func newDeployment(rec *recorder) (*deployment, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	command := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(deploy)
	templatePath := regexp.MustCompile(`(?m)^template = "([^"]+)"`).FindSubmatch(deploy)
	if command == nil || templatePath == nil {
		return nil, fmt.Errorf("deploy/system.toml names no command or no template")
	}
	template, err := os.ReadFile(string(templatePath[1]))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := logserver.New(logserver.Retention{})
	go http.Serve(listener, store.Handler())
	d := &deployment{
		rec:      rec,
		root:     root,
		temp:     temp,
		logs:     cmp.Or(os.Getenv("LOGS"), temp),
		run:      strings.Fields(string(command[1])),
		template: string(template),
		store:    store,
		storeURL: listener.Addr().String(),
	}
	d.ports, err = findPorts()
	return d, err
}

// maxMachines is the largest number of machines of a case.
const maxMachines = 6

// machineIP returns the loopback address of the nth machine.
func machineIP(n int) string { return fmt.Sprintf("127.0.1.%d", n) }

// findPorts returns a block of ports that are free on all loopback addresses of the machines.
func findPorts() (ports, error) {
	for base := 21000 + os.Getpid()%250*40; base < 32000; base += 40 {
		free := true
		for port := base; port < base+22 && free; port++ {
			for n := 1; n <= maxMachines && free; n++ {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", machineIP(n), port))
				if free = err == nil; free {
					listener.Close()
				}
			}
		}
		if free {
			return ports{base, base + 1, base + 2, base + 3, base + 4, base + 5}, nil
		}
	}
	return ports{}, fmt.Errorf("found no free ports")
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, m := range d.machines {
		m.kill()
	}
	os.RemoveAll(d.temp)
}

// writeConfig writes a version of the operator's configuration with the rules, which are JSON.
func (d *deployment) writeConfig(version int, rules ...string) error {
	content := fmt.Sprintf(`{"version":"%08x","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":5,"idleTimeoutS":60},"listeners":[{"host":"h.example","rules":[%s]}]}`,
		version, strings.Join(rules, ","))
	d.rec.notef("operator writes version %d", version)
	return d.store.Put(context.Background(), "op", "config", []byte(content))
}

// rule returns a route of the configuration.
func rule(name, kind, prefix, service string, rank int, aim, timeout float64, attempts int) string {
	return fmt.Sprintf(`{"name":%q,"kind":%q,"aimS":%g,"priority":%d,"routeMatch":{"pathPrefix":%q},"routeAction":{"service":%q,"timeoutS":%g,"maxAttempts":%d}}`,
		name, kind, aim, rank, prefix, service, timeout, attempts)
}

// machine is one machine with its node and its target.
type machine struct {
	d        *deployment
	name     string
	ip       string
	zone     string
	service  string
	settings string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// addMachine adds a machine for a service and writes the settings of its node.
func (d *deployment) addMachine(service, zone, region string) (*machine, error) {
	n := len(d.machines) + 1
	m := &machine{
		d:       d,
		name:    fmt.Sprintf("sidecar-%s-%d", zone, n),
		ip:      machineIP(n),
		zone:    zone,
		service: service,
	}
	m.settings = filepath.Join(d.temp, m.name+".jsonc")
	d.machines = append(d.machines, m)
	values := map[string]any{
		"nodeName": m.name, "zone": zone, "region": region, "ip": m.ip, "service": service,
		"appAddr": m.addr(d.ports.app), "heartbeatS": heartbeatInterval.Seconds(),
		"listen.inbound": m.addr(d.ports.inbound), "listen.outbound": m.addr(d.ports.outbound),
		"listen.readiness": m.addr(d.ports.readiness), "listen.control": m.addr(d.ports.control),
		"portRange.0": d.ports.first, "portRange.1": d.ports.first + 1,
		"platform.address": d.storeURL, "bounds.graceS": int(graceTime.Seconds()),
	}
	text, err := render(d.template, values)
	if err != nil {
		return nil, err
	}
	return m, os.WriteFile(m.settings, []byte(text), 0o600)
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)(\|json)?\}\}`)

// render fills in the placeholders of a template.
func render(template string, values map[string]any) (string, error) {
	var err error
	text := placeholder.ReplaceAllStringFunc(template, func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		value, ok := values[parts[1]]
		if !ok {
			err = fmt.Errorf("the template uses %s, which this harness does not know", match)
			return ""
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, _ := json.Marshal(value)
		return string(encoded)
	})
	return text, err
}

// start starts the node with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	program := filepath.Join(m.d.root, m.d.run[0])
	cmd := exec.Command(program, m.d.run[1:]...)
	cmd.Dir = m.d.root
	cmd.Env = []string{"LABURNUMSHELF_CONFIG=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	log, err := os.OpenFile(filepath.Join(m.d.logs, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	// The node ends with this process, however this process ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.d.rec.notef("%s node starts, pid %d", m.name, cmd.Process.Pid)
	m.cmd, m.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		err := cmd.Wait()
		m.d.rec.notef("%s node ends: %v", m.name, err)
		close(done)
	}(m.done)
	return nil
}

// signal sends a signal to the node.
func (m *machine) signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	m.d.rec.notef("%s node gets %v", m.name, signal)
	m.cmd.Process.Signal(signal)
}

// kill ends the node and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	m.cmd.Process.Kill()
	<-m.done
	m.cmd = nil
}

// restart kills the node and starts it again after a pause, as the platform does.
func (m *machine) restart(pause time.Duration) error {
	m.d.rec.notef("%s node is killed", m.name)
	m.kill()
	time.Sleep(pause)
	return m.start()
}

// ready reports whether the node answers the readiness probe with 200.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.addr(m.d.ports.readiness) + "/-/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, m := range d.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node of %s is not ready after %s", m.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.rec.notef("all nodes are ready")
	return nil
}
