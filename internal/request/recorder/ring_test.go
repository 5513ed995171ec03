package recorder

import (
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// TestRingFindsTheNewestDecisionsOfEachRequest compares the ring with a list of all decisions.
func TestRingFindsTheNewestDecisionsOfEachRequest(t *testing.T) {
	const size = 50
	for _, requests := range []int{1, 7, 49, 50, 51, 300} {
		r := newRing(size)
		var all []Decision
		for i := range 400 {
			d := Decision{
				RequestID: fmt.Sprint("r", i*i%requests),
				CallID:    fmt.Sprint(i),
			}
			r.add(d)
			all = append(all, d)
			for request := range requests {
				id := fmt.Sprint("r", request)
				var want []string
				for _, earlier := range all[max(0, len(all)-size):] {
					if earlier.RequestID == id {
						want = append(want, earlier.CallID)
					}
				}
				var got []string
				for _, found := range r.find(id) {
					got = append(got, found.CallID)
				}
				if fmt.Sprint(got) != fmt.Sprint(want) {
					t.Fatalf("%d requests, after %d decisions: got %v for %s, want %v", requests, i+1, got, id, want)
				}
			}
		}
		if len(r.newest) > size {
			t.Errorf("%d requests: got an index of %d, want at most %d", requests, len(r.newest), size)
		}
	}
}

// BenchmarkRecordRefusal records refusals that are logged, as under overload.
func BenchmarkRecordRefusal(b *testing.B) {
	for _, size := range []int{2048, 65536} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			log.SetFormatter(&logrus.TextFormatter{
				DisableColors: true,
			})
			r := New(log, "n", size)
			for i := 0; b.Loop(); i++ {
				r.otherLines.lines = 0
				r.Record(Decision{
					RequestID: fmt.Sprint("r", i),
					Action:    Refuse,
					Reason:    caller.ReasonThrottled,
					Outcome:   caller.NotRun,
				})
			}
		})
	}
}
