package player

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/assembler"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/driver"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/reporter"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/spawner"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/tracer"
)

var runCommand = command{
	name:  "run",
	short: "Replay traces with the layer and without it",
	options: func(env *environment) flags.Commander {
		return &replayOptions{
			env: env,
		}
	},
}

type replayOptions struct {
	env      *environment
	Output   string   `long:"output" choice:"text" choice:"json" default:"text" description:"Form of the output"`
	Scale    float64  `long:"scale" value-name:"FACTOR" default:"1" description:"Multiply all times of the course, for shorter runs"`
	Without  []string `long:"without" value-name:"MECHANISM" description:"Also run with a mechanism off; 'each' means each in turn"`
	OnlyWith bool     `long:"only-with" description:"Do not run without the layer"`
	Binary   string   `long:"binary" value-name:"FILE" description:"The laburnumshelf program for traces with processes; by default the one beside this program"`
	Counters bool     `long:"counters" description:"Also print how often each decision was taken"`
	Args     struct {
		Traces []string `positional-arg-name:"TRACE" required:"1"`
	} `positional-args:"true"`
}

// plan describes one run of a trace. build starts the fleet and returns it with a
// function that stops it.
type plan struct {
	trace   *tracer.Trace
	variant string
	build   func(ctx context.Context, trace *tracer.Trace) (driver.Fleet, func(), error)
}

// noCleanUp is the clean-up of fleets that stop when their context ends.
func noCleanUp() {}

// Execute implements flags.Commander.
func (r *replayOptions) Execute([]string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	var reports []reporter.Report
	outcomesMissed := false
	for _, name := range r.Args.Traces {
		trace, err := tracer.ReadFile(name)
		if err != nil {
			return err
		}
		plans, err := r.plans(trace.Scale(r.Scale))
		if err != nil {
			return err
		}
		for i, p := range plans {
			report, err := r.runPlan(ctx, p)
			if err != nil {
				return err
			}
			reports = append(reports, report)
			outcomesMissed = outcomesMissed || (i == 0 && len(report.Failures) > 0)
		}
	}
	if err := r.print(reports); err != nil {
		return err
	}
	if outcomesMissed {
		return errOutcomesMissed
	}
	return nil
}

// plans returns the runs of a trace. Only outcomes missed by the first run, the one
// with the layer, affect the exit code.
func (r *replayOptions) plans(trace *tracer.Trace) ([]plan, error) {
	plans := []plan{layerPlan(trace, "with the layer", assembler.Switches{})}
	if trace.SeparateProcesses {
		plans[0].build = r.spawn
	}
	if !r.OnlyWith && !trace.SeparateProcesses {
		plans = append(plans, plan{
			trace:   trace,
			variant: "without it",
			build: func(_ context.Context, trace *tracer.Trace) (driver.Fleet, func(), error) {
				return assembler.NewDirectFleet(trace), noCleanUp, nil
			},
		})
	}
	for _, name := range r.Without {
		if name == "each" {
			for _, v := range variants {
				switches, _ := switchesWithout(v.name)
				plans = append(plans, layerPlan(trace, "no "+v.name, switches))
			}
			continue
		}
		switches, found := switchesWithout(name)
		if !found {
			return nil, errors.Newf("unknown mechanism %q; see docs/shelf-replay.md for the list", name)
		}
		plans = append(plans, layerPlan(trace, "no "+name, switches))
	}
	return plans, nil
}

// spawn starts a fleet of separate processes.
func (r *replayOptions) spawn(ctx context.Context, trace *tracer.Trace) (driver.Fleet, func(), error) {
	fleet, err := spawner.New(ctx, trace, r.binary())
	if err != nil {
		return nil, nil, err
	}
	return fleet, fleet.Close, nil
}

// binary returns the path of the laburnumshelf program: the value of the flag or,
// by default, the program in the directory of this one.
func (r *replayOptions) binary() string {
	if r.Binary != "" {
		return r.Binary
	}
	self, err := os.Executable()
	if err != nil {
		return "laburnumshelf"
	}
	return filepath.Join(filepath.Dir(self), "laburnumshelf")
}

// layerPlan returns a run with the layer and with the given mechanisms turned off.
func layerPlan(trace *tracer.Trace, variant string, switches assembler.Switches) plan {
	return plan{
		trace:   trace,
		variant: variant,
		build: func(ctx context.Context, trace *tracer.Trace) (driver.Fleet, func(), error) {
			return assembler.New(ctx, trace, switches), noCleanUp, nil
		},
	}
}

// runPlan runs a plan and writes the progress to the error output.
func (r *replayOptions) runPlan(ctx context.Context, p plan) (reporter.Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, cleanUp, err := p.build(ctx, p.trace)
	if err != nil {
		return reporter.Report{}, err
	}
	defer cleanUp()
	measurements := driver.Run(ctx, p.trace, fleet, func(at time.Duration, offered, whole int) {
		fmt.Fprintf(r.env.stderr, "%s, %s: %s of %s, last second: %d offered, %d answered whole\n",
			p.trace.Name, p.variant, at.Round(time.Second), p.trace.Duration, offered, whole)
	})
	if r.Counters {
		counters := fleet.Counters()
		for _, name := range slices.Sorted(maps.Keys(counters)) {
			fmt.Fprintf(r.env.stderr, "%s, %s: %s %d\n", p.trace.Name, p.variant, name, counters[name])
		}
	}
	return reporter.New(p.trace, p.variant, measurements), nil
}

func (r *replayOptions) print(reports []reporter.Report) error {
	if r.Output == "json" {
		encoder := json.NewEncoder(r.env.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reports)
	}
	return reporter.Print(r.env.stdout, reports)
}
