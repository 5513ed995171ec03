package recorder

import (
	"encoding/json"
	"testing"
	"time"
)

func TestLatenciesAreSummed(t *testing.T) {
	l := NewLatencyHistogram()
	for _, d := range []time.Duration{0, 10 * time.Millisecond, 20 * time.Millisecond, time.Hour} {
		l.Record(d)
	}
	var got map[string]int64
	if err := json.Unmarshal([]byte(l.Var().String()), &got); err != nil {
		t.Fatal(err)
	}
	if got["count"] != 4 || got["p50"] < 10_000 || got["p50"] > 10_200 || got["max"] < mostLatency {
		t.Errorf("got %v, want 4 values around 10 ms with the largest at a minute", got)
	}
}
