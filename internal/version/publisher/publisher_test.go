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

	"github.com/laburnumshelf/laburnumshelf/internal/platform/logserver"
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

func TestRacingOperatorsGetOneWinner(t *testing.T) {
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
		won := 0
		for _, err := range results {
			if err == nil {
				won++
			} else if !errors.Is(err, ErrConflict) {
				t.Errorf("loser: got %v, want a conflict", err)
			}
		}
		if won != 1 {
			t.Errorf("got %d winners, want 1", won)
		}
	})
}

func TestLostAnswerIsResolvedByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logserver.New(logserver.Retention{})
		store.SetFaults(logserver.Faults{LoseAnswers: 1})
		verdict, err := Publish(t.Context(), store, change(0, 5))
		if err != nil || !verdict.GetAccepted() {
			t.Fatalf("got %v, %v, want accepted", verdict, err)
		}
		if appends, _ := store.RequestCounts(); appends != 1 {
			t.Errorf("got %d appends, want 1: the first one took effect", appends)
		}
	})
}

func TestPublishGivesUpDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logserver.New(logserver.Retention{})
		store.SetFaults(logserver.Faults{Down: true})
		if _, err := Publish(t.Context(), store, change(0, 5)); err == nil {
			t.Error("log down: got no error, want one")
		}
	})
}

func TestRetentionIsCrossedBySnapshots(t *testing.T) {
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
		t.Errorf("started after retention: got version %d, want %d", got, want)
	}
	if got := fresh.State().Settings().Service(serviceName).MaxConcurrency; got != 10 {
		t.Errorf("got maxConcurrency %d, want 10", got)
	}
}

func TestFollowerBehindRetentionWaitsForASnapshot(t *testing.T) {
	ctx := t.Context()
	store := logserver.New(logserver.Retention{MaxRecords: 2})
	ahead := follower.New(store)
	for slots := 1; slots <= 5; slots++ {
		payload := encode(t, change(ahead.State().Document(path).GetVersion(), slots))
		if _, err := store.Append(ctx, follower.Stream, payload); err != nil {
			t.Fatal(err)
		}
		pollAll(t, ahead)
	}
	behind := follower.New(store)
	pollAll(t, behind)
	if got := behind.State().Version; got != 0 {
		t.Errorf("records missing: got version %d, want 0", got)
	}
	if _, err := Publish(ctx, store, change(0, 5)); !errors.Is(err, ErrGap) {
		t.Errorf("publish across the gap: got %v, want ErrGap", err)
	}
	if err := behind.Merge(ahead.State().Snapshot(0)); err != nil {
		t.Fatal(err)
	}
	if got, want := behind.State().Version, ahead.State().Version; got != want {
		t.Errorf("after a peer's snapshot: got version %d, want %d", got, want)
	}
}

// TestVersionsNeverFall feeds followers from the log and from each other in
// random order, with outages, and checks versions and equality.
func TestVersionsNeverFall(t *testing.T) {
	synctest.Test(t, exploreVersions)
}

func exploreVersions(t *testing.T) {
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
					t.Fatalf("seed %d: version fell from %d to %d", seed, versions[i], state.Version)
				}
				versions[i] = state.Version
			}
		}
		store.SetFaults(logserver.Faults{})
		checkEqual(t, seed, followers)
	}
}

func randomEvent(t *testing.T, rng *rand.Rand, store *logserver.Store, followers []*follower.Follower) {
	f := followers[rng.IntN(len(followers))]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	switch n := rng.IntN(10); {
	case n < 3:
		// The base may be stale, so that some are rejected.
		base := f.State().Document(path).GetVersion()
		cancelAfterAppend(ctx, store, change(base, 1+rng.IntN(100)))
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

// cancelAfterAppend publishes without waiting out an outage.
func cancelAfterAppend(ctx context.Context, store *logserver.Store, c Change) {
	ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	Publish(ctx, store, c)
}

func checkEqual(t *testing.T, seed uint64, followers []*follower.Follower) {
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
