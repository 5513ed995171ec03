// Package reporter judges the outcome of a replay against the trace's stated
// outcomes and prints it as a table.
//
// # Usage
//
//	report := reporter.New(trace, "with the layer", outcome)
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

// recoveredShare is the share of the demand answered whole at the first try
// from which a window counts as recovered.
const recoveredShare = 0.95

// Report is the figures of one run.
type Report struct {
	Trace   string `json:"trace"`
	Variant string `json:"variant"`
	Offered int    `json:"offered"`
	Whole   int    `json:"whole"`
	// Goodput is the number of whole answers a second during the trigger.
	Goodput      float64 `json:"goodput"`
	GoodputShare float64 `json:"goodputShare"`
	// CriticalShare and UnaffectedShare concern arrivals during the trigger.
	CriticalShare   float64 `json:"criticalShare"`
	UnaffectedShare float64 `json:"unaffectedShare"`
	// Recovery is the time from the trigger's end until the demand is answered
	// again, or negative if that did not happen.
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
	// Buckets is the counts of each window.
	Buckets       []driver.Bucket `json:"course"`
	triggerLength time.Duration
}

// New computes the figures of a run and judges them.
func New(trace *tracer.Trace, variant string, outcome *driver.Measurements) Report {
	bounds := trace.ExpectedOutcomes
	report := Report{
		Trace:             trace.Name,
		Variant:           variant,
		Recovery:          recovery(bounds, outcome.Buckets),
		MaxRunsPerRequest: outcome.Totals.MaxRunsPerRequest,
		Duplicates:        outcome.Totals.Duplicates,
		FalseNotRun:       outcome.FalseNotRun,
		WrongAnswers:      outcome.WrongAnswers,
		Median:            time.Duration(outcome.Latency.ValueAtPercentile(50)) * time.Microsecond,
		Percentile99:      time.Duration(outcome.Latency.ValueAtPercentile(99)) * time.Microsecond,
		Buckets:           outcome.Buckets,
		triggerLength:     bounds.TriggerTo - bounds.TriggerFrom,
	}
	report.addClasses(bounds, outcome.Streams)
	report.addGoodput(bounds, outcome.Buckets)
	if report.Whole > 0 {
		report.RunsPerWhole = float64(outcome.Totals.Runs) / float64(report.Whole)
	}
	report.RetryShare = share(int(outcome.Retries), int(outcome.FirstAttempts))
	report.judge(bounds)
	return report
}

func (r *Report) addClasses(bounds tracer.ExpectedOutcomes, classes []driver.StreamCounts) {
	r.CriticalShare, r.UnaffectedShare = 1, 1
	for _, class := range classes {
		r.Offered += class.Offered
		r.Whole += class.Whole
		if class.TriggerOffered == 0 {
			continue
		}
		answered := share(class.TriggerWhole, class.TriggerOffered)
		if class.Critical {
			r.CriticalShare = min(r.CriticalShare, answered)
		}
		for _, name := range bounds.Unaffected {
			if name == class.Name {
				r.UnaffectedShare = min(r.UnaffectedShare, answered)
			}
		}
	}
}

func (r *Report) addGoodput(bounds tracer.ExpectedOutcomes, buckets []driver.Bucket) {
	whole := 0
	for i, bucket := range buckets {
		at := time.Duration(i) * driver.BucketWidth
		if at >= bounds.TriggerFrom && at < bounds.TriggerTo {
			whole += bucket.Whole
		}
	}
	if r.triggerLength > 0 {
		r.Goodput = float64(whole) / r.triggerLength.Seconds()
	}
	if bounds.Capacity > 0 {
		r.GoodputShare = r.Goodput / bounds.Capacity
	}
}

// recovery returns the time from the trigger's end to the first window from
// which on the demand is answered, or a negative time.
func recovery(bounds tracer.ExpectedOutcomes, buckets []driver.Bucket) time.Duration {
	recovered := time.Duration(-1)
	// The last window is cut short by the end of the run.
	for i := len(buckets) - 2; i >= 0; i-- {
		at := time.Duration(i) * driver.BucketWidth
		if at < bounds.TriggerTo || share(buckets[i].AnsweredFirstTry, buckets[i].Offered) < recoveredShare {
			break
		}
		recovered = at - bounds.TriggerTo
	}
	return recovered
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// judge lists the bounds that the run did not keep.
func (r *Report) judge(bounds tracer.ExpectedOutcomes) {
	fail := func(format string, args ...any) {
		r.Failures = append(r.Failures, fmt.Sprintf(format, args...))
	}
	if r.GoodputShare < bounds.GoodputShare {
		fail("goodput %.0f%% of capacity, want %.0f%%", 100*r.GoodputShare, 100*bounds.GoodputShare)
	}
	if r.CriticalShare < bounds.CriticalShare {
		fail("critical %.2f%% whole, want %.0f%%", 100*r.CriticalShare, 100*bounds.CriticalShare)
	}
	if r.UnaffectedShare < bounds.UnaffectedShare {
		fail("unaffected %.2f%% whole, want %.0f%%", 100*r.UnaffectedShare, 100*bounds.UnaffectedShare)
	}
	if bounds.Recovery > 0 && (r.Recovery < 0 || r.Recovery > bounds.Recovery) {
		fail("recovery %s, want %s", recoveryText(r.Recovery), bounds.Recovery)
	}
	if bounds.RetryShare > 0 && r.RetryShare > bounds.RetryShare {
		fail("retries %.1f%% of first attempts, want %.0f%%", 100*r.RetryShare, 100*bounds.RetryShare)
	}
	if r.Duplicates > 0 {
		fail("%d duplicates, want 0", r.Duplicates)
	}
	if r.FalseNotRun > 0 {
		fail("%d requests ran though refused as not run, want 0", r.FalseNotRun)
	}
	if r.WrongAnswers > 0 {
		fail("%d wrong or truncated answers, want 0", r.WrongAnswers)
	}
}

func recoveryText(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.String()
}

// Print writes the reports as a table, then the bounds that were not kept.
func Print(w io.Writer, reports []Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "trace\tvariant\toffered\twhole\tgoodput/s\tof capacity\tcritical\tunaffected\trecovery\truns/whole\tmax runs\tretries\tduplicates\tfalse notRun\twrong\tp50\tp99\t")
	for _, r := range reports {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.0f\t%.1f%%\t%.2f%%\t%.2f%%\t%s\t%.2f\t%d\t%.2f%%\t%d\t%d\t%d\t%s\t%s\t\n",
			r.Trace, r.Variant, r.Offered, r.Whole, r.Goodput, 100*r.GoodputShare, 100*r.CriticalShare, 100*r.UnaffectedShare,
			recoveryText(r.Recovery), r.RunsPerWhole, r.MaxRunsPerRequest, 100*r.RetryShare, r.Duplicates, r.FalseNotRun, r.WrongAnswers,
			r.Median.Round(time.Millisecond), r.Percentile99.Round(time.Millisecond))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, r := range reports {
		verdict := "all stated outcomes kept"
		if len(r.Failures) > 0 {
			verdict = "stated outcomes missed:"
		}
		fmt.Fprintf(w, "%s, %s: %s\n", r.Trace, r.Variant, verdict)
		for _, failure := range r.Failures {
			fmt.Fprintf(w, "  - %s\n", failure)
		}
	}
	return nil
}
