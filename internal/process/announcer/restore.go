package announcer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/process/restorer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// EraChange tells that the store has come back from an older copy, or that another store has taken
// its place.
type EraChange struct {
	// Before and After are the eras of the store. Before is -1 if it is not known.
	Before int64
	After  int64
	// Source is "store", or the ID of the member that told of the new era.
	Source string
}

// Restoration tells that the records of this node are in the store again.
type Restoration struct {
	Era     int64
	Records int
	Took    time.Duration
}

// unknownEra is the era of a store of which nothing is known yet.
const unknownEra = -1

// ObserveEra records that the store has another era than before, by its own answers.
func (a *Announcer) ObserveEra(before, after int64) {
	a.mu.Lock()
	// Another member may have told of the era before.
	isNew := after > a.era || after < before
	if isNew {
		a.era = after
	}
	a.mu.Unlock()
	if isNew {
		a.startRestoration(EraChange{
			Before: before,
			After:  after,
			Source: "store",
		})
	}
}

// observePeerEra records the era in a packet of another member. Eras of the members only rise, because
// those that have read from the store at different times know different ones.
func (a *Announcer) observePeerEra(packet *encoder.Packet) {
	era := int64(packet.GetStoreEra()) - 1
	a.mu.Lock()
	before := a.era
	if era > before {
		a.era = era
	}
	a.mu.Unlock()
	// A node that has had no answer of the store has written nothing there.
	if era > before && before != unknownEra {
		a.startRestoration(EraChange{
			Before: before,
			After:  era,
			Source: packet.GetSender().GetId(),
		})
	}
}

// adoptEra records the era in which this node has written its announcement.
func (a *Announcer) adoptEra() {
	if a.config.StoreEra == nil {
		return
	}
	era, known := a.config.StoreEra()
	if !known {
		return
	}
	a.mu.Lock()
	later := a.era
	a.era = max(a.era, era)
	a.mu.Unlock()
	if later > era {
		a.startRestoration(EraChange{
			Before: era,
			After:  later,
			Source: "members",
		})
	}
}

// Era returns the highest era of the store that is known, or -1, and whether the records of this node
// are in the store as far as it knows.
func (a *Announcer) Era() (era int64, restored bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.era, !a.restoring
}

func (a *Announcer) startRestoration(change EraChange) {
	if a.config.Store == nil {
		return
	}
	a.mu.Lock()
	a.restoring = true
	a.mu.Unlock()
	if a.config.OnEra != nil {
		a.config.OnEra(change)
	}
	select {
	case a.eraChanged <- struct{}{}:
	default:
	}
}

// restoreLoop writes the records of this node again after each change of the era.
func (a *Announcer) restoreLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.eraChanged:
			a.restore(ctx)
		}
	}
}

// restore writes the records of this node again, those of backend servers that left first. If the era
// changes meanwhile, it is called again.
func (a *Announcer) restore(ctx context.Context) {
	started := time.Now()
	era, _ := a.Era()
	records := 0
	keys := a.leavingKeys()
	if len(keys) > 0 && sleep(ctx, restorer.Delay(restorer.Leaving, len(a.Members()))) {
		for _, key := range keys {
			records += a.writeAgain(ctx, func(ctx context.Context) error {
				return a.putLeaving(ctx, key, nil)
			})
		}
	}
	if sleep(ctx, restorer.Delay(restorer.Announcement, len(a.Members()))) {
		records += a.writeAgain(ctx, a.announce)
	}
	if ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	current := era == a.era
	if current {
		a.restoring = false
	}
	a.mu.Unlock()
	if current && a.config.OnRestored != nil {
		a.config.OnRestored(Restoration{
			Era:     era,
			Records: records,
			Took:    time.Since(started),
		})
	}
}

// writeAgain calls write until it succeeds or ctx ends, and returns the number of records written.
func (a *Announcer) writeAgain(ctx context.Context, write func(context.Context) error) int {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, storeTimeout)
		err := write(attempt)
		cancel()
		if err == nil {
			return 1
		}
		sleep(ctx, contactPause())
	}
	return 0
}

// sleep waits for d. It returns false if ctx ends earlier.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// leavingKeys returns the keys of the records of backend servers that left this node.
func (a *Announcer) leavingKeys() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Sorted(maps.Keys(a.leavings))
}

// putLeaving writes a record of a backend server that left. If payload is nil, it writes the last one
// of the key again. Records are written one after the other, so that an older one of a key never
// comes last.
func (a *Announcer) putLeaving(ctx context.Context, key string, payload []byte) error {
	select {
	case a.storing <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-a.storing }()
	if payload == nil {
		a.mu.Lock()
		payload = a.leavings[key]
		a.mu.Unlock()
	}
	if err := a.config.Store.Put(ctx, MembersTable, key, payload); err != nil {
		return err
	}
	a.keepLeaving(key, payload)
	return nil
}

// keepLeaving keeps a record of a backend server that left, to write it again when the store has lost
// it.
func (a *Announcer) keepLeaving(key string, payload []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leavings[key] = payload
}
