package publisher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/logserver"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/follower"
)

const path = "/county/services/allot"

var serviceName = describer.ServiceName{Team: "county", Name: "allot"}

func change(base int64, slots int) Change {
	return Change{
		Path:        path,
		BaseVersion: base,
		Document:    fmt.Appendf(nil, `{"maxConcurrency": %d}`, slots),
		Author:      "asha",
	}
}

func TestConcurrentPublishersHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logserver.New(logserver.Retention{})
		store.SetFaults(logserver.Faults{Delay: 10 * time.Millisecond})
		const operators = 8
		results := make([]error, operators)
		var group sync.WaitGroup
		for i := range operators {
			group.Go(func() {
				_, results[i] = Publish(t.Context(), store, change(0, i+1))
			})
		}
		group.Wait()
		accepted := 0
		for _, err := range results {
			if err == nil {
				accepted++
			} else if !errors.Is(err, ErrRejected) {
				t.Errorf("rejected publisher: got error %v, want ErrRejected", err)
			}
		}
		if accepted != 1 {
			t.Errorf("got %d accepted publications, want 1", accepted)
		}
	})
}

func TestPublishReadsStreamAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logserver.New(logserver.Retention{})
		store.SetFaults(logserver.Faults{LoseAnswers: 1})
		verdict, err := Publish(t.Context(), store, change(0, 5))
		if err != nil || !verdict.GetAccepted() {
			t.Fatalf("got verdict %v, error %v, want accepted", verdict, err)
		}
		if appends, _ := store.RequestCounts(); appends != 1 {
			t.Errorf("got %d appends, want 1, because the first one took effect", appends)
		}
	})
}

func TestPublishFailsWhileLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logserver.New(logserver.Retention{})
		store.SetFaults(logserver.Faults{Down: true})
		if _, err := Publish(t.Context(), store, change(0, 5)); err == nil {
			t.Error("log down: got no error, want one")
		}
	})
}

func TestSnapshotReplacesRemovedRecords(t *testing.T) {
	ctx := t.Context()
	store := logserver.New(logserver.Retention{MaxRecords: 3})
	writer := follower.New(store)
	base := int64(0)
	for slots := 1; slots <= 10; slots++ {
		verdict, err := Publish(ctx, store, change(base, slots))
		if err != nil {
			t.Fatal(err)
		}
		base = verdict.GetVersion()
		pollAll(t, writer)
		if slots%2 == 0 {
			if err := writer.WriteSnapshot(ctx); err != nil {
				t.Fatal(err)
			}
		}
	}
	fresh := follower.New(store)
	pollAll(t, fresh)
	if got, want := fresh.State().Document(path).GetVersion(), base; got != want {
		t.Errorf("follower started after records were removed: got document version %d, want %d", got, want)
	}
	if got := fresh.State().Settings().Service(serviceName).MaxConcurrency; got != 10 {
		t.Errorf("got maxConcurrency %d, want 10", got)
	}
}

func TestFollowerWithGapWaitsForSnapshot(t *testing.T) {
	ctx := t.Context()
	store := logserver.New(logserver.Retention{MaxRecords: 2})
	current := follower.New(store)
	for slots := 1; slots <= 5; slots++ {
		payload := encode(t, change(current.State().Document(path).GetVersion(), slots))
		if _, err := store.Append(ctx, follower.Stream, payload); err != nil {
			t.Fatal(err)
		}
		pollAll(t, current)
	}
	stale := follower.New(store)
	pollAll(t, stale)
	if got := stale.State().Version; got != 0 {
		t.Errorf("earlier records removed: got version %d, want 0", got)
	}
	if _, err := Publish(ctx, store, change(0, 5)); !errors.Is(err, ErrGap) {
		t.Errorf("publish with earlier records removed: got error %v, want ErrGap", err)
	}
	if err := stale.Merge(current.State().Snapshot(0)); err != nil {
		t.Fatal(err)
	}
	if got, want := stale.State().Version, current.State().Version; got != want {
		t.Errorf("after a peer's snapshot: got version %d, want %d", got, want)
	}
}

// TestVersionsNeverDecrease runs random sequences of publications, polls, merges of
// peers' snapshots, snapshot writes and outages. It checks that no follower's version
// decreases and that all followers hold the same document in the end.
func TestVersionsNeverDecrease(t *testing.T) {
	synctest.Test(t, checkRandomSequences)
}

func checkRandomSequences(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 3))
		store := logserver.New(logserver.Retention{MaxRecords: 20})
		followers := make([]*follower.Follower, 4)
		for i := range followers {
			followers[i] = follower.New(store)
		}
		versions := make([]int64, len(followers))
		for range 150 {
			randomEvent(t, rng, store, followers)
			for i, f := range followers {
				state := f.State()
				if state.Version < versions[i] {
					t.Fatalf("seed %d: version decreased from %d to %d", seed, versions[i], state.Version)
				}
				versions[i] = state.Version
			}
		}
		store.SetFaults(logserver.Faults{})
		checkSameDocument(t, seed, followers)
	}
}

func randomEvent(t *testing.T, rng *rand.Rand, store *logserver.Store, followers []*follower.Follower) {
	f := followers[rng.IntN(len(followers))]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	switch n := rng.IntN(10); {
	case n < 3:
		// The follower may be out of date, so some publications are rejected.
		base := f.State().Document(path).GetVersion()
		publishBriefly(ctx, store, change(base, 1+rng.IntN(100)))
	case n < 6:
		f.Poll(ctx)
	case n < 8:
		other := followers[rng.IntN(len(followers))].State()
		f.Merge(other.Snapshot(min(f.State().Version, rng.Int64N(other.Version+1))))
	case n < 9:
		f.WriteSnapshot(ctx)
	default:
		store.SetFaults(logserver.Faults{Down: rng.IntN(3) == 0, LoseAnswers: rng.IntN(2)})
	}
}

// publishBriefly publishes with a short timeout, so that it does not wait until an
// outage ends.
func publishBriefly(ctx context.Context, store *logserver.Store, c Change) {
	ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	Publish(ctx, store, c)
}

func checkSameDocument(t *testing.T, seed uint64, followers []*follower.Follower) {
	newest := followers[0]
	for _, f := range followers {
		pollAll(t, f)
		if f.State().Version > newest.State().Version {
			newest = f
		}
	}
	for _, f := range followers {
		f.Merge(newest.State().Snapshot(0))
		got, want := f.State().Document(path), newest.State().Document(path)
		if string(got.GetContent()) != string(want.GetContent()) || got.GetVersion() != want.GetVersion() {
			t.Fatalf("seed %d: got document %v, want %v", seed, got, want)
		}
	}
}

func encode(t *testing.T, c Change) []byte {
	t.Helper()
	payload, err := proto.Marshal(newRecord(newPublication(c)))
	if err != nil {
		t.Fatal(err)
	}
	return payload
}

func pollAll(t *testing.T, f *follower.Follower) {
	t.Helper()
	for {
		more, err := f.Poll(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if !more {
			return
		}
	}
}
