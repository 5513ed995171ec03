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

// reloadableNode is a node that runs as a process of its own, and whose settings the
// test can replace. Its output is written to a file.
type reloadableNode struct {
	t            *testing.T
	settingsFile string
	logFile      string
	adminAddress string
	// settingsFormat is the format of the settings file. Its verbs take the log level
	// and further fields.
	settingsFormat string
	cmd            *exec.Cmd
}

// startReloadableNode starts a node without the platform's log and waits until the
// node is healthy.
func startReloadableNode(t *testing.T) *reloadableNode {
	t.Helper()
	dir := t.TempDir()
	r := &reloadableNode{
		t:            t,
		settingsFile: filepath.Join(dir, "node.jsonc"),
		logFile:      filepath.Join(dir, "log"),
		adminAddress: freeAddress(t),
	}
	r.settingsFormat = fmt.Sprintf(`{"id": "n", "region": "r", "zone": "z", "service": "county/allot", "callAddress": %q,
		"adminAddress": %q, "peerAddress": %q, "backendAddress": %q, "logLevel": "%%s"%%s}`,
		freeAddress(t), r.adminAddress, freeAddress(t), freeAddress(t))
	r.writeSettings("info", "")
	logFile, err := os.Create(r.logFile)
	if err != nil {
		t.Fatal(err)
	}
	defer logFile.Close()
	r.cmd = exec.Command(binary, "node")
	r.cmd.Env = append(os.Environ(), "LABURNUMSHELF_CONFIG="+r.settingsFile)
	r.cmd.Stdout = logFile
	if err := r.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.cmd.Process.Kill()
		r.cmd.Wait()
	})
	r.eventually("health", r.isHealthy)
	return r
}

// writeSettings replaces the settings file. more is either empty or a comma followed
// by further fields.
func (r *reloadableNode) writeSettings(level, more string) {
	r.t.Helper()
	if err := os.WriteFile(r.settingsFile, fmt.Appendf(nil, r.settingsFormat, level, more), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// isHealthy reports whether the node answers /health with status 200.
func (r *reloadableNode) isHealthy() bool {
	resp, err := http.Get("http://" + r.adminAddress + "/health")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually polls check until it returns true, and fails the test after
// waitTimeout. what names the condition in the failure message.
func (r *reloadableNode) eventually(what string, check func() bool) {
	r.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if check() {
			return
		}
	}
	r.t.Fatalf("timed out after %s waiting for %s", waitTimeout, what)
}

// waitForLogLine waits until the node has logged a line that contains all parts.
func (r *reloadableNode) waitForLogLine(parts ...string) {
	r.t.Helper()
	r.eventually("a log line with "+strings.Join(parts, ", "), func() bool {
		content, err := os.ReadFile(r.logFile)
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

func TestChangedSettingsAreReloaded(t *testing.T) {
	r := startReloadableNode(t)
	r.waitForLogLine(`msg="node started"`)
	r.writeSettings("warning", `, "slots": 7`)
	r.waitForLogLine(`msg="settings reloaded"`, `cause="file changed"`, "logLevel=warning", "needRestart=\"[Slots]\"")
	r.writeSettings("info", "")
	if err := r.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	r.waitForLogLine(`msg="settings reloaded"`, "logLevel=info", `needRestart="[]"`)
}

func TestInvalidSettingsAreNotReloaded(t *testing.T) {
	r := startReloadableNode(t)
	r.writeSettings("loud", "")
	r.waitForLogLine(`msg="settings not reloaded`, "node.jsonc:2:", "loud")
	if !r.isHealthy() {
		t.Error("after invalid settings: the node is not healthy")
	}
}
