package gauger

import (
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

var (
	allot      = describer.ServiceName{Team: "county", Name: "allot"}
	waterpoint = describer.ServiceName{Team: "county", Name: "waterpoint"}
)

func TestPressureIsThatOfTheFullestService(t *testing.T) {
	gauge, now := New(), time.Unix(1_800_000_000, 0)
	if got := gauge.Pressure(now); got != 0 {
		t.Errorf("without reports: got %.2f, want 0", got)
	}
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		gauge.Record(now, allot, 0.3)
		gauge.Record(now, waterpoint, 1.2)
	}
	if got := gauge.Pressure(now); got < 1.19 || got > 1.21 {
		t.Errorf("got %.2f, want that of waterpoint, 1.20", got)
	}
}

func TestPressureFollowsReportsWithinASecond(t *testing.T) {
	gauge, now := New(), time.Unix(1_800_000_000, 0)
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		gauge.Record(now, waterpoint, 1.5)
	}
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		gauge.Record(now, waterpoint, 0.1)
	}
	if got := gauge.Pressure(now); got > 0.6 {
		t.Errorf("a second after the load fell: got %.2f, want at most 0.6", got)
	}
	if got := gauge.Pressure(now.Add(10 * time.Second)); got != 0 {
		t.Errorf("without reports for 10 s: got %.2f, want 0", got)
	}
}
