package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// reloading is a node as a process whose settings file and log are files.
type reloading struct {
	t        *testing.T
	settings string
	log      string
	admin    string
	format   string
	cmd      *exec.Cmd
}

func startReloading(t *testing.T) *reloading {
	t.Helper()
	dir := t.TempDir()
	r := &reloading{
		t:        t,
		settings: filepath.Join(dir, "node.jsonc"),
		log:      filepath.Join(dir, "log"),
		admin:    freeAddress(t),
	}
	r.format = fmt.Sprintf(`{"id": "n", "region": "r", "zone": "z", "service": "county/allot", "callAddress": %q,
		"adminAddress": %q, "peerAddress": %q, "backendAddress": %q, "logLevel": "%%s"%%s}`,
		freeAddress(t), r.admin, freeAddress(t), freeAddress(t))
	r.write("info", "")
	log, err := os.Create(r.log)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	r.cmd = exec.Command(binary, "node")
	r.cmd.Env = append(os.Environ(), "LABURNUMSHELF_CONFIG="+r.settings)
	r.cmd.Stdout = log
	if err := r.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.cmd.Process.Kill()
		r.cmd.Wait()
	})
	r.eventually("health", r.healthy)
	return r
}

// write replaces the settings file by one with a log level and further fields.
func (r *reloading) write(level, more string) {
	r.t.Helper()
	if err := os.WriteFile(r.settings, fmt.Appendf(nil, r.format, level, more), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

func (r *reloading) healthy() bool {
	resp, err := http.Get("http://" + r.admin + "/health")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *reloading) eventually(what string, check func() bool) {
	r.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if check() {
			return
		}
	}
	r.t.Fatalf("waited %s: got no %s", patience, what)
}

// logged waits for a line with all parts.
func (r *reloading) logged(parts ...string) {
	r.t.Helper()
	r.eventually("line with "+strings.Join(parts, ", "), func() bool {
		content, err := os.ReadFile(r.log)
		if err != nil {
			return false
		}
		for line := range strings.Lines(string(content)) {
			found := true
			for _, part := range parts {
				found = found && strings.Contains(line, part)
			}
			if found {
				return true
			}
		}
		return false
	})
}

func TestSettingsAreReloaded(t *testing.T) {
	r := startReloading(t)
	r.logged(`msg="node started"`)
	r.write("warning", `, "slots": 7`)
	r.logged(`msg="settings reloaded"`, `cause="file changed"`, "logLevel=warning", "needRestart=\"[Slots]\"")
	r.write("info", "")
	if err := r.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	r.logged(`msg="settings reloaded"`, "logLevel=info", `needRestart="[]"`)
}

func TestFindingsInReloadedSettingsChangeNothing(t *testing.T) {
	r := startReloading(t)
	r.write("loud", "")
	r.logged(`msg="settings not reloaded`, "node.jsonc:2:", "loud")
	if !r.healthy() {
		t.Error("the node no longer answers")
	}
}
