package watcher_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/logserver"
	"github.com/laburnumshelf/laburnumshelf/internal/version/follower"
	"github.com/laburnumshelf/laburnumshelf/internal/version/watcher"
	"github.com/laburnumshelf/laburnumshelf/platform"
)

// applyBound is the time within which a version must be in force after the store
// acknowledged its write.
const applyBound = 2 * time.Second

func config(version string) []byte {
	return []byte(`{"version":"` + version + `","listeners":[{"host":"h.example","rules":[{"name":"r","kind":"safe","aimS":1,"priority":0,
		"routeMatch":{"pathPrefix":"/a/"},"routeAction":{"service":"s","timeoutS":1,"maxAttempts":1}}]}]}`)
}

// watch starts a Watcher on the store's configuration. It returns a function that
// returns the version in force.
func watch(t *testing.T, store *logserver.Store) func() int64 {
	t.Helper()
	f := follower.New(nil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	var last atomic.Int64
	w := watcher.New(watcher.Config{
		Source:        platform.NewConfigSource(store, "county"),
		ApplyDocument: f.ApplyDocument,
		Version: func() int64 {
			return f.State().Version
		},
		OnVersion: func(version int64, _ string) {
			if before := last.Swap(version); before >= version {
				t.Errorf("got version %d after version %d, want increasing versions", version, before)
			}
		},
		Log: log,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		w.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return func() int64 {
		return f.State().Version
	}
}

func put(t *testing.T, store *logserver.Store, version string) {
	t.Helper()
	if err := store.Put(t.Context(), platform.OperatorTable, "config", config(version)); err != nil {
		t.Fatal(err)
	}
}

func TestNewerVersionsAreAppliedAndOlderIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logserver.New(logserver.Retention{MaxRecords: 1})
		version := watch(t, store)
		for _, step := range []struct {
			written string
			want    int64
		}{{"00000002", 2}, {"0000000c", 12}, {"00000007", 12}, {"00000010", 16}} {
			put(t, store, step.written)
			time.Sleep(applyBound)
			if got := version(); got != step.want {
				t.Errorf("after writing version %s: got version %d, want %d", step.written, got, step.want)
			}
		}
	})
}

func TestWatcherReadsNewestAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logserver.New(logserver.Retention{MaxRecords: 1})
		version := watch(t, store)
		put(t, store, "00000001")
		time.Sleep(applyBound)
		for _, next := range []string{"00000002", "00000003", "00000004"} {
			put(t, store, next)
		}
		time.Sleep(applyBound)
		if got := version(); got != 4 {
			t.Errorf("got version %d, want 4", got)
		}
	})
}

func TestNewestVersionIsAppliedAfterStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logserver.New(logserver.Retention{})
		version := watch(t, store)
		put(t, store, "00000001")
		time.Sleep(applyBound)
		store.SetFaults(logserver.Faults{Down: true})
		time.Sleep(time.Minute)
		store.SetFaults(logserver.Faults{})
		put(t, store, "00000002")
		time.Sleep(applyBound)
		if got := version(); got != 2 {
			t.Errorf("got version %d, want 2", got)
		}
	})
}

func TestInvalidRecordsDoNotChangeVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logserver.New(logserver.Retention{})
		version := watch(t, store)
		put(t, store, "00000003")
		time.Sleep(applyBound)
		for _, content := range []string{`{"version":"00000004","listeners":[{"ho`, `[]`, `{"version":4}`,
			`{"version":"00000005","listeners":[{"host":"h","rules":[{"name":"r","routeMatch":{"pathPrefix":"bare"},"routeAction":{"service":"s"}}]}]}`} {
			if err := store.Put(t.Context(), platform.OperatorTable, "config", []byte(content)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(applyBound)
		if got := version(); got != 3 {
			t.Errorf("got version %d, want 3", got)
		}
	})
}
