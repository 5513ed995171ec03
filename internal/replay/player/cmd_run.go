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
		return &replayRun{
			env: env,
		}
	},
}

type replayRun struct {
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

// plan is one run of a trace.
type plan struct {
	trace   *tracer.Trace
	variant string
	build   func(ctx context.Context, trace *tracer.Trace) (driver.Fleet, func(), error)
}

// noCleanUp is for fleets that end with their context.
func noCleanUp() {}

// Execute implements flags.Commander.
func (r *replayRun) Execute([]string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	var reports []reporter.Report
	missed := false
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
			report, err := r.play(ctx, p)
			if err != nil {
				return err
			}
			reports = append(reports, report)
			missed = missed || (i == 0 && len(report.Failures) > 0)
		}
	}
	if err := r.print(reports); err != nil {
		return err
	}
	if missed {
		return errMissed
	}
	return nil
}

// plans returns the runs of a trace; the first one is judged.
func (r *replayRun) plans(trace *tracer.Trace) ([]plan, error) {
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
				switches, _ := findVariant(v.name)
				plans = append(plans, layerPlan(trace, "no "+v.name, switches))
			}
			continue
		}
		switches, found := findVariant(name)
		if !found {
			return nil, errors.Newf("unknown mechanism %q; see docs/shelf-replay.md for the list", name)
		}
		plans = append(plans, layerPlan(trace, "no "+name, switches))
	}
	return plans, nil
}

// spawn starts the fleet as processes.
func (r *replayRun) spawn(ctx context.Context, trace *tracer.Trace) (driver.Fleet, func(), error) {
	fleet, err := spawner.New(ctx, trace, r.binary())
	if err != nil {
		return nil, nil, err
	}
	return fleet, fleet.Close, nil
}

// binary returns the given laburnumshelf program, or the one beside this one.
func (r *replayRun) binary() string {
	if r.Binary != "" {
		return r.Binary
	}
	self, err := os.Executable()
	if err != nil {
		return "laburnumshelf"
	}
	return filepath.Join(filepath.Dir(self), "laburnumshelf")
}

func layerPlan(trace *tracer.Trace, variant string, switches assembler.Switches) plan {
	return plan{
		trace:   trace,
		variant: variant,
		build: func(ctx context.Context, trace *tracer.Trace) (driver.Fleet, func(), error) {
			return assembler.New(ctx, trace, switches), noCleanUp, nil
		},
	}
}

func (r *replayRun) play(ctx context.Context, p plan) (reporter.Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, cleanUp, err := p.build(ctx, p.trace)
	if err != nil {
		return reporter.Report{}, err
	}
	defer cleanUp()
	outcome := driver.Run(ctx, p.trace, fleet, func(at time.Duration, offered, whole int) {
		fmt.Fprintf(r.env.stderr, "%s, %s: %s of %s, last second: %d offered, %d answered whole\n",
			p.trace.Name, p.variant, at.Round(time.Second), p.trace.Duration, offered, whole)
	})
	if r.Counters {
		counters := fleet.Counters()
		for _, name := range slices.Sorted(maps.Keys(counters)) {
			fmt.Fprintf(r.env.stderr, "%s, %s: %s %d\n", p.trace.Name, p.variant, name, counters[name])
		}
	}
	return reporter.New(p.trace, p.variant, outcome), nil
}

func (r *replayRun) print(reports []reporter.Report) error {
	if r.Output == "json" {
		encoder := json.NewEncoder(r.env.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reports)
	}
	return reporter.Print(r.env.stdout, reports)
}
