package reclaimer

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestSchedulesInSuccessionReclaimOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		r := New(func() { calls++ })
		for range 5 {
			r.Schedule()
			time.Sleep(delay / 10)
		}
		time.Sleep(delay)
		synctest.Wait()
		if calls != 1 {
			t.Errorf("got %d reclaims for 5 schedules in succession, want 1", calls)
		}
		r.Schedule()
		time.Sleep(2 * delay)
		synctest.Wait()
		if calls != 2 {
			t.Errorf("got %d reclaims after a later schedule, want 2", calls)
		}
	})
}
