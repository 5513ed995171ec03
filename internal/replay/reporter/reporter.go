// Package reporter compares the measurements of a replay with the expected outcomes
// of its trace and prints the results as a table.
//
// # Usage
//
//	report := reporter.New(trace, "with the layer", measurements)
//	reporter.Print(os.Stdout, []reporter.Report{report, without})
package reporter

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/driver"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/tracer"
)

// recoveredRatio is the minimum fraction of requests answered whole at the first
// try in a window that counts as recovered.
const recoveredRatio = 0.95

// Report holds the results of one run.
type Report struct {
	Trace   string `json:"trace"`
	Variant string `json:"variant"`
	Offered int    `json:"offered"`
	Whole   int    `json:"whole"`
	// Goodput is the number of whole answers per second during the trigger.
	Goodput      float64 `json:"goodput"`
	GoodputShare float64 `json:"goodputShare"`
	// CriticalShare and UnaffectedShare are the lowest fractions of requests
	// answered whole in any critical or unaffected arrival stream. They cover the
	// requests that arrived during the trigger.
	CriticalShare   float64 `json:"criticalShare"`
	UnaffectedShare float64 `json:"unaffectedShare"`
	// Recovery is the time from the end of the trigger until the service has
	// recovered for the rest of the run, or negative if it did not recover.
	Recovery          time.Duration `json:"recovery"`
	RunsPerWhole      float64       `json:"runsPerWhole"`
	MaxRunsPerRequest int           `json:"maxRunsPerRequest"`
	RetryShare        float64       `json:"retryShare"`
	Duplicates        int64         `json:"duplicates"`
	FalseNotRun       int           `json:"falseNotRun"`
	WrongAnswers      int           `json:"wrongAnswers"`
	Median            time.Duration `json:"median"`
	Percentile99      time.Duration `json:"percentile99"`
	Failures          []string      `json:"failures"`
	// Buckets holds the counts of each time window.
	Buckets         []driver.Bucket `json:"course"`
	triggerDuration time.Duration
}

// New computes the results of a run and lists the expected outcomes that it missed.
func New(trace *tracer.Trace, variant string, measurements *driver.Measurements) Report {
	bounds := trace.ExpectedOutcomes
	report := Report{
		Trace:             trace.Name,
		Variant:           variant,
		Recovery:          recoveryTime(bounds, measurements.Buckets),
		MaxRunsPerRequest: measurements.Totals.MaxRunsPerRequest,
		Duplicates:        measurements.Totals.Duplicates,
		FalseNotRun:       measurements.FalseNotRun,
		WrongAnswers:      measurements.WrongAnswers,
		Median:            time.Duration(measurements.Latency.ValueAtPercentile(50)) * time.Microsecond,
		Percentile99:      time.Duration(measurements.Latency.ValueAtPercentile(99)) * time.Microsecond,
		Buckets:           measurements.Buckets,
		triggerDuration:   bounds.TriggerTo - bounds.TriggerFrom,
	}
	report.addStreams(bounds, measurements.Streams)
	report.addGoodput(bounds, measurements.Buckets)
	if report.Whole > 0 {
		report.RunsPerWhole = float64(measurements.Totals.Runs) / float64(report.Whole)
	}
	report.RetryShare = ratio(int(measurements.Retries), int(measurements.FirstAttempts))
	report.checkOutcomes(bounds)
	return report
}

// addStreams sums the requests of all arrival streams and computes CriticalShare
// and UnaffectedShare.
func (r *Report) addStreams(bounds tracer.ExpectedOutcomes, streams []driver.StreamCounts) {
	r.CriticalShare, r.UnaffectedShare = 1, 1
	for _, stream := range streams {
		r.Offered += stream.Offered
		r.Whole += stream.Whole
		if stream.TriggerOffered == 0 {
			continue
		}
		answered := ratio(stream.TriggerWhole, stream.TriggerOffered)
		if stream.Critical {
			r.CriticalShare = min(r.CriticalShare, answered)
		}
		for _, name := range bounds.Unaffected {
			if name == stream.Name {
				r.UnaffectedShare = min(r.UnaffectedShare, answered)
			}
		}
	}
}

// addGoodput computes the goodput during the trigger.
func (r *Report) addGoodput(bounds tracer.ExpectedOutcomes, buckets []driver.Bucket) {
	whole := 0
	for i, bucket := range buckets {
		at := time.Duration(i) * driver.BucketWidth
		if at >= bounds.TriggerFrom && at < bounds.TriggerTo {
			whole += bucket.Whole
		}
	}
	if r.triggerDuration > 0 {
		r.Goodput = float64(whole) / r.triggerDuration.Seconds()
	}
	if bounds.Capacity > 0 {
		r.GoodputShare = r.Goodput / bounds.Capacity
	}
}

// recoveryTime returns the time from the end of the trigger to the start of the
// first window from which on all windows count as recovered. It is negative if
// there is no such window.
func recoveryTime(bounds tracer.ExpectedOutcomes, buckets []driver.Bucket) time.Duration {
	recovered := time.Duration(-1)
	// Skip the last bucket, because the run ends within its window.
	for i := len(buckets) - 2; i >= 0; i-- {
		at := time.Duration(i) * driver.BucketWidth
		if at < bounds.TriggerTo || ratio(buckets[i].AnsweredFirstTry, buckets[i].Offered) < recoveredRatio {
			break
		}
		recovered = at - bounds.TriggerTo
	}
	return recovered
}

// ratio returns part / whole, or 1 if whole is 0.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// checkOutcomes adds a failure for each bound that the run does not meet.
func (r *Report) checkOutcomes(bounds tracer.ExpectedOutcomes) {
	fail := func(format string, args ...any) {
		r.Failures = append(r.Failures, fmt.Sprintf(format, args...))
	}
	if r.GoodputShare < bounds.GoodputShare {
		fail("goodput %.0f%% of capacity, want at least %.0f%%", 100*r.GoodputShare, 100*bounds.GoodputShare)
	}
	if r.CriticalShare < bounds.CriticalShare {
		fail("critical %.2f%% whole, want at least %.0f%%", 100*r.CriticalShare, 100*bounds.CriticalShare)
	}
	if r.UnaffectedShare < bounds.UnaffectedShare {
		fail("unaffected %.2f%% whole, want at least %.0f%%", 100*r.UnaffectedShare, 100*bounds.UnaffectedShare)
	}
	if bounds.Recovery > 0 && (r.Recovery < 0 || r.Recovery > bounds.Recovery) {
		fail("recovery %s, want at most %s", formatRecovery(r.Recovery), bounds.Recovery)
	}
	if bounds.RetryShare > 0 && r.RetryShare > bounds.RetryShare {
		fail("retries %.1f%% of first attempts, want at most %.0f%%", 100*r.RetryShare, 100*bounds.RetryShare)
	}
	if r.Duplicates > 0 {
		fail("%d duplicates, want 0", r.Duplicates)
	}
	if r.FalseNotRun > 0 {
		fail("%d requests ran although refused as not run, want 0", r.FalseNotRun)
	}
	if r.WrongAnswers > 0 {
		fail("%d wrong or truncated answers, want 0", r.WrongAnswers)
	}
}

// formatRecovery returns "never" for a negative recovery time.
func formatRecovery(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.String()
}

// Print writes the reports as a table, followed by the expected outcomes that each
// run missed.
func Print(w io.Writer, reports []Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "trace\tvariant\toffered\twhole\tgoodput/s\tof capacity\tcritical\tunaffected\trecovery\truns/whole\tmax runs\tretries\tduplicates\tfalse notRun\twrong\tp50\tp99\t")
	for _, r := range reports {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.0f\t%.1f%%\t%.2f%%\t%.2f%%\t%s\t%.2f\t%d\t%.2f%%\t%d\t%d\t%d\t%s\t%s\t\n",
			r.Trace, r.Variant, r.Offered, r.Whole, r.Goodput, 100*r.GoodputShare, 100*r.CriticalShare, 100*r.UnaffectedShare,
			formatRecovery(r.Recovery), r.RunsPerWhole, r.MaxRunsPerRequest, 100*r.RetryShare, r.Duplicates, r.FalseNotRun, r.WrongAnswers,
			r.Median.Round(time.Millisecond), r.Percentile99.Round(time.Millisecond))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, r := range reports {
		verdict := "all expected outcomes met"
		if len(r.Failures) > 0 {
			verdict = "expected outcomes missed:"
		}
		fmt.Fprintf(w, "%s, %s: %s\n", r.Trace, r.Variant, verdict)
		for _, failure := range r.Failures {
			fmt.Fprintf(w, "  - %s\n", failure)
		}
	}
	return nil
}
