package recorder

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies from 0.1 ms to 1 min are told apart to two digits, which takes some 20 KB.
const (
	leastLatency  = int64(100)
	mostLatency   = int64(time.Minute / time.Microsecond)
	latencyDigits = 2
)

// LatencyHistogram is a histogram of durations. Its methods are safe for concurrent use.
type LatencyHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewLatencyHistogram returns an empty histogram.
func NewLatencyHistogram() *LatencyHistogram {
	return &LatencyHistogram{
		histogram: hdrhistogram.New(leastLatency, mostLatency, latencyDigits),
	}
}

// Record adds one duration; those out of range count as the nearest in it.
func (l *LatencyHistogram) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The value is in range, so it cannot be refused.
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), leastLatency), mostLatency))
}

// Var returns the histogram as an expvar variable, in microseconds.
func (l *LatencyHistogram) Var() expvar.Var {
	return expvar.Func(func() any {
		l.mu.Lock()
		defer l.mu.Unlock()
		summary := map[string]int64{
			"count": l.histogram.TotalCount(),
			"max":   l.histogram.Max(),
		}
		for name, percentile := range map[string]float64{"p50": 50, "p90": 90, "p99": 99, "p999": 99.9} {
			summary[name] = l.histogram.ValueAtPercentile(percentile)
		}
		return summary
	})
}
