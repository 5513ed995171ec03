package runner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/router"
	"github.com/laburnumshelf/laburnumshelf/internal/request/throttler"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// TestFullRegionIsLeftBeforeRequestsAreRefused fills the servers of one region, while those of
// another have room. Calls must go to the other region when one more call takes the last slot
// of their own, which is before the entry begins to refuse less urgent requests. They must
// stay while there is room in their own.
func TestFullRegionIsLeftBeforeRequestsAreRefused(t *testing.T) {
	const slots = 20
	if refusedFrom := throttler.PolicyFor(describer.Normal).MaxPressure; refusedFrom < 1 {
		t.Errorf("requests are refused from a utilization of %.2f, while their region has room", refusedFrom)
	}
	for _, inFlight := range []int{slots / 2, slots * 4 / 5, slots - 1, slots, 2 * slots} {
		now := time.Unix(1_800_000_000, 0)
		r := router.New(router.Config{
			Zone:   "z1",
			Region: "near",
			Limits: router.Limits{
				ZoneSpillover:   platformZoneSpillover,
				RegionSpillover: platformRegionSpillover,
			},
		}, rand.New(rand.NewPCG(1, 2)))
		service := describer.ServiceName{Team: "t", Name: "switchboard"}
		for i := range 8 {
			region, load := "near", caller.Load{InFlight: inFlight, Limit: slots}
			if i%2 == 1 {
				region, load = "far", caller.Load{InFlight: slots / 4, Limit: slots}
			}
			id := fmt.Sprint(region, i)
			r.Update(now, &encoder.Member{
				Id:          id,
				Incarnation: 1,
				Region:      region,
				Zone:        fmt.Sprint("z", i/4+1),
				Team:        service.Team,
				Service:     service.Name,
				Slots:       slots,
			})
			target := r.Target(id)
			r.RecordStart(now, target)
			r.RecordFinish(now, target, router.Observation{Latency: time.Millisecond, Load: &load})
		}
		target, _ := r.Choose(now, service, router.Constraints{CrossRegion: true})
		want := "near"
		if inFlight >= slots-1 {
			want = "far"
		}
		if got := target.Member.GetRegion(); got != want {
			t.Errorf("%d of %d slots taken: got a target in region %s, want %s", inFlight, slots, got, want)
		}
	}
}
