package announcer

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/logclient"
)

// memoryTable is a store that holds the values of one table.
type memoryTable struct {
	logclient.Tables
	mu     sync.Mutex
	away   bool
	values map[string]string
}

// Put implements logclient.Tables.
func (m *memoryTable) Put(_ context.Context, _, key string, value []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		return errors.New("away")
	}
	m.values[key] = string(value)
	return nil
}

// lose makes the table empty and sets whether the store is away.
func (m *memoryTable) lose(away bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values = make(map[string]string)
	m.away = away
}

func (m *memoryTable) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.values)
}

func newRestoringAnnouncer(store *memoryTable, restored *[]Restoration) *Announcer {
	return New(Config{
		Self: &encoder.Member{
			Id:          "n-0",
			Incarnation: 1,
			PeerAddress: "127.0.0.1:1",
		},
		Store: store,
		StoreEra: func() (int64, bool) {
			return 1, true
		},
		OnRestored: func(restoration Restoration) {
			*restored = append(*restored, restoration)
		},
		Rand: rand.New(rand.NewPCG(1, 2)),
	})
}

// TestLostRecordsAreWrittenAgain guards against records of a node that stay lost after the store came
// back from an older copy. In this order: the store's answer tells of era 2; a member of era 4, while
// the store is away; the store's answer of era 4; a member that still knows era 3; the store's answer
// of era 1, as another store is there.
func TestLostRecordsAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryTable{values: make(map[string]string)}
		var restored []Restoration
		a := newRestoringAnnouncer(store, &restored)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go a.restoreLoop(ctx)
		if err := a.announce(ctx); err != nil {
			t.Fatal(err)
		}
		a.adoptEra()
		for _, id := range []string{"a", "b"} {
			if err := a.RecordLeaving(ctx, &encoder.Backend{Id: id, Leaving: true}); err != nil {
				t.Fatal(err)
			}
		}
		tell := func(era uint64) {
			a.observePeerEra(&encoder.Packet{Sender: &encoder.Member{Id: "n-1"}, StoreEra: era + 1})
		}
		for _, step := range []struct {
			name    string
			away    bool
			observe func()
			want    int
		}{
			{name: "answer of era 2", observe: func() { a.ObserveEra(1, 2) }, want: 3},
			{name: "member tells of era 4", away: true, observe: func() { tell(4) }, want: 3},
			{name: "answer of era 4", observe: func() { a.ObserveEra(2, 4) }, want: 0},
			{name: "member tells of era 3", observe: func() { tell(3) }, want: 0},
			{name: "answer of era 1", observe: func() { a.ObserveEra(4, 1) }, want: 3},
		} {
			store.lose(step.away)
			restored = nil
			step.observe()
			if step.away {
				time.Sleep(10 * time.Second)
				synctest.Wait()
				if _, done := a.Era(); done {
					t.Errorf("%s: got restored records while the store is away", step.name)
				}
				store.lose(false)
				time.Sleep(4 * time.Second)
			}
			time.Sleep(2*time.Second + time.Millisecond)
			synctest.Wait()
			if got := store.count(); got != step.want {
				t.Errorf("%s: got %d records in the store, want %d", step.name, got, step.want)
			}
			if got := len(restored); got != min(step.want, 1) {
				t.Errorf("%s: got %d reports of restored records, want %d", step.name, got, min(step.want, 1))
			}
			if _, done := a.Era(); !done {
				t.Errorf("%s: got missing records, want restored ones", step.name)
			}
		}
	})
}
