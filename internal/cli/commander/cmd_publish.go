package commander

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/laburnumshelf/laburnumshelf/internal/version/publisher"
)

var publishCommand = command{
	name:  "publish",
	short: "Publish one settings document",
	long: "Checks a settings document and publishes it through the platform's log. The change is accepted only if the " +
		"document in force is still the one it was based on.",
	newRun: func(env *environment) flags.Commander {
		return &publishRun{
			env: env,
		}
	},
}

// publishRun holds the flags and arguments of the publish command.
type publishRun struct {
	env *environment
	logOptions
	Base   int64  `long:"base" value-name:"VERSION" default:"-1" description:"Version the change is based on, as get prints it; by default the version in force now"`
	Author string `long:"author" value-name:"NAME" env:"USER" description:"Author shown in the history"`
	Args   struct {
		Path string `positional-arg-name:"PATH" required:"true"`
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// publishReport is the JSON output of the publish command.
type publishReport struct {
	Path    string `json:"path"`
	Version int64  `json:"version"`
}

// Execute implements flags.Commander.
func (p *publishRun) Execute([]string) error {
	findings, err := checkFile(p.Args.File, p.Args.Path)
	if err != nil {
		return err
	}
	if err := findings.Err(); err != nil {
		return err
	}
	content, err := os.ReadFile(p.Args.File)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	ctx, cancel := signalContext()
	defer cancel()
	log := p.client()
	if p.Base < 0 {
		state, err := publisher.LoadState(ctx, log)
		if err != nil {
			return err
		}
		p.Base = state.Document(p.Args.Path).GetVersion()
	}
	verdict, err := publisher.Publish(ctx, log, publisher.Change{
		Path:        p.Args.Path,
		BaseVersion: p.Base,
		Document:    content,
		Author:      p.Author,
	})
	if err != nil {
		return err
	}
	return p.env.print(publishReport{
		Path:    p.Args.Path,
		Version: verdict.GetVersion(),
	}, fmt.Sprintf("%s accepted as version %d\n", p.Args.Path, verdict.GetVersion()))
}
