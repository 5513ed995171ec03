package deduplicator

import (
	"fmt"
	"testing"
	"time"
)

// TestLongRunDoesNotKeepExpiredEntries leaves one call running far beyond its token's
// expiry. The entries of other calls must still be removed once they expire.
func TestLongRunDoesNotKeepExpiredEntries(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := New("t", 1, DefaultLimits())
	long, _ := table.Begin(now, NewToken(now, "t", 1, time.Second), false)
	for i := range 100 {
		now = now.Add(time.Second)
		entry, verdict := table.Begin(now, NewToken(now, "t", 1, 2*time.Second), false)
		if verdict != Run {
			t.Fatalf("call %d: got verdict %d, want run", i, verdict)
		}
		table.Finish(entry, StoredAnswer{})
	}
	if got := table.Len(); got > 5 {
		t.Errorf("got %d entries, want only the running call and those not expired", got)
	}
	table.Finish(long, StoredAnswer{})
	table.Begin(now.Add(time.Minute), NewToken(now.Add(time.Minute), "t", 1, time.Second), false)
	if got := table.Len(); got != 1 {
		t.Errorf("got %d entries a minute later, want 1", got)
	}
}

// TestExpiredTokenOfRunningCallWaits sends a second copy of a call whose token has expired
// while it runs. The copy must wait for the run and never start another one.
func TestExpiredTokenOfRunningCallWaits(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := New("t", 1, DefaultLimits())
	token := NewToken(now, "t", 1, time.Second)
	table.Begin(now, token, false)
	for i := range 3 {
		now = now.Add(time.Second)
		other, _ := table.Begin(now, NewToken(now, "t", 1, time.Second), false)
		table.Finish(other, StoredAnswer{})
		if _, verdict := table.Begin(now, token, false); verdict != Wait {
			t.Errorf("%s: got verdict %d, want wait", fmt.Sprint(i+1, " s later"), verdict)
		}
	}
}
