package runner

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/process/announcer"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/logserver"
	"github.com/laburnumshelf/laburnumshelf/platform"
)

// memberKeys returns the keys of the members' table in the store.
func (d *deployment) memberKeys() []string {
	d.t.Helper()
	entries, err := d.store.Newest(d.t.Context(), announcer.MembersTable)
	if err != nil {
		d.t.Fatal(err)
	}
	keys := make(map[string]bool)
	for _, entry := range entries.Entries {
		keys[entry.Key] = true
	}
	return slices.Sorted(maps.Keys(keys))
}

// drill makes the store go away for a moment and come back from a copy. Then the operator writes a
// version at an offset that was given out before, and other entries after it, so that the store has
// grown past the positions that the nodes know.
func (d *deployment) drill(backup *logserver.Copy, version int) {
	d.t.Helper()
	d.store.SetFaults(logserver.Faults{Down: true})
	time.Sleep(50 * time.Millisecond)
	d.store.Restore(backup)
	d.store.SetFaults(logserver.Faults{})
	d.configure(version, "")
	for range 5 {
		if err := d.store.Put(d.t.Context(), platform.OperatorTable, "other", []byte("x")); err != nil {
			d.t.Fatal(err)
		}
	}
}

// TestPlatformStoreComesBackFromOlderCopy guards against settings that are missed or go back, and
// against records that stay lost, in three drills in a row. Order of events: the nodes start and read
// version 1 after the empty copy, which comes back; the second copy is taken, version 3 comes into
// force and a server deregisters, the copy comes back; the same copy comes back once more.
func TestPlatformStoreComesBackFromOlderCopy(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	empty := d.store.Copy()
	a, b := d.startPair()
	inForce := func() int64 {
		return min(a.node.settings().Version, b.node.settings().Version)
	}
	awaitVersion := func(version, before int64) {
		t.Helper()
		d.eventually("the version that the operator wrote after the return", func() bool {
			if got := inForce(); got < before {
				t.Errorf("got version %d in force, want no earlier one than %d", got, before)
			}
			return inForce() == version
		})
	}
	hasKeys := func(want ...string) func() bool {
		return func() bool {
			keys := strings.Join(d.memberKeys(), " ")
			for _, key := range want {
				if !strings.Contains(keys, key) {
					return false
				}
			}
			return true
		}
	}
	d.eventually("the first announcements", hasKeys(a.config.ID, b.config.ID))
	d.drill(empty, 2)
	awaitVersion(2, 1)
	d.eventually("the announcements after the first drill", hasKeys(a.config.ID, b.config.ID))
	second := d.store.Copy()
	d.configure(3, "")
	awaitVersion(3, 2)
	if status := d.deregister(a); status != 200 {
		t.Fatalf("got status %d for the deregistration, want 200", status)
	}
	for version := int64(4); version <= 5; version++ {
		d.drill(second, int(version))
		awaitVersion(version, version-1)
		d.eventually("the record of the server that left", hasKeys(a.config.ID+"/leaving"))
	}
	for _, n := range []*testNode{a, b} {
		d.eventually("the era in the status", func() bool {
			status := n.node.Status()
			return status.StoreEra == 3 && status.StoreRestored
		})
	}
}
