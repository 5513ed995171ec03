package recorder

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histogram covers 0.1 ms to 1 min with two significant digits. It takes about
// 20 KB.
const (
	minLatencyMicros  = int64(100)
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 2
)

// LatencyHistogram is a histogram of durations. Its methods are safe for
// concurrent use.
type LatencyHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewLatencyHistogram returns an empty histogram.
func NewLatencyHistogram() *LatencyHistogram {
	return &LatencyHistogram{
		histogram: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
	}
}

// Record adds one duration. A duration out of range is counted as the nearest
// value in range.
func (l *LatencyHistogram) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue cannot fail, because the value is in range.
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// Var returns an expvar variable with the number of values, their maximum and
// percentiles, in microseconds.
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
