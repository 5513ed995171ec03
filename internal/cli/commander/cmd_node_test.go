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
