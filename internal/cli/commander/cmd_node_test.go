package commander

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestChangeOfTheSettingsDuringTheStartIsMissed guards against settings that stay out of force
// because their file changed after it was read and before it was watched.
func TestChangeOfTheSettingsDuringTheStartIsMissed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.jsonc")
	write := func(content string, modTime time.Time) {
		t.Helper()
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, modTime, modTime); err != nil {
			t.Fatal(err)
		}
	}
	now := time.Now()
	write("first", now)
	file := newWatchedFile(path)
	write("second", now.Add(time.Second))
	for _, want := range []bool{true, false} {
		if got := file.takeChange(); got != want {
			t.Errorf("got changed %t, want %t", got, want)
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if !file.takeChange() {
		t.Error("got a removed file as unchanged")
	}
}

// TestMemoryOverridesAreChecked guards against a memory that is passed over without a word.
func TestMemoryOverridesAreChecked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.jsonc")
	settings := `{"id": "n", "region": "r", "zone": "z", "service": "a/b", "callAddress": "127.0.0.1:1",
		"adminAddress": "127.0.0.1:2", "peerAddress": "127.0.0.1:3", "backendAddress": "127.0.0.1:4", "memoryMb": 200}`
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]int{"": 200, "284": 284, "0": 0, "x": 0, "284.5": 0} {
		config, err := (&nodeRun{Config: path, Memory: text}).readConfig()
		if (err == nil) != (want > 0) || config.MemoryMB != want {
			t.Errorf("memory %q: got %d MB, %v, want %d", text, config.MemoryMB, err, want)
		}
	}
}
