package gossiper

import (
	"testing"
	"time"
)

// A node that starts learns its contacts a moment after its first tick, when the store has answered.
// It must join then, and not a whole period later: meanwhile its backend server already gets calls,
// and all calls that it makes itself are refused, since their targets are not known.
func TestJoinWaitsAfterTheFirstContacts(t *testing.T) {
	const members = 20
	f := newFleet(members, 1)
	f.run(20 * time.Second)
	started := f.add()
	started.contacts = nil
	f.run(TickInterval)
	for _, table := range f.tables {
		started.AddContacts(table.self.address)
	}
	f.run(2 * TickInterval)
	if got, want := len(started.Members()), members+1; got != want {
		t.Errorf("two ticks after the first contacts: got %d members, want %d", got, want)
	}
}
