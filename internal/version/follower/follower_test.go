package follower

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/logserver"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

func TestUndecodableRecordsAreCountedAndSkipped(t *testing.T) {
	store := logserver.New(logserver.Retention{})
	good, err := proto.Marshal(&encoder.Record{Kind: &encoder.Record_Publication{Publication: &encoder.Publication{
		Id: "p", Path: "/county/team", Document: []byte("{}"),
	}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, payload := range [][]byte{[]byte("nonsense"), {}, good} {
		store.Append(t.Context(), Stream, payload)
	}
	f := New(store)
	f.Poll(t.Context())
	if got := f.BadRecords(); got != 2 {
		t.Errorf("got %d bad records, want 2", got)
	}
	if got := f.State().Document("/county/team").GetVersion(); got != 3 {
		t.Errorf("got document version %d, want 3", got)
	}
}

func FuzzRecord(f *testing.F) {
	seed, _ := proto.Marshal(&encoder.Record{Kind: &encoder.Record_Snapshot{Snapshot: &encoder.Snapshot{Covers: 5}}})
	f.Add(seed)
	f.Add([]byte{10, 0})
	f.Add([]byte("nonsense"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		store := logserver.New(logserver.Retention{})
		store.Append(t.Context(), Stream, payload)
		follower := New(store)
		follower.Poll(t.Context())
		if got := follower.State().Version; got < 1 {
			t.Errorf("got version %d after one record, want at least 1", got)
		}
	})
}
