package recorder

import (
	"encoding/json"
	"testing"
	"time"
)

func TestLatencyHistogramSummary(t *testing.T) {
	l := NewLatencyHistogram()
	for _, d := range []time.Duration{0, 10 * time.Millisecond, 20 * time.Millisecond, time.Hour} {
		l.Record(d)
	}
	var got map[string]int64
	if err := json.Unmarshal([]byte(l.Var().String()), &got); err != nil {
		t.Fatal(err)
	}
	if got["count"] != 4 || got["p50"] < 10_000 || got["p50"] > 10_200 || got["max"] < maxLatencyMicros {
		t.Errorf("got %v, want count 4, p50 of about 10 ms and max of one minute", got)
	}
}
