package commander

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/laburnumshelf/laburnumshelf/internal/process/administrator"
	"github.com/laburnumshelf/laburnumshelf/internal/version/publisher"
)

var getCommand = command{
	name:  "get",
	short: "Print a settings document in force",
	long:  "Prints the document at PATH and its version. Without PATH, prints the paths and versions of all documents.",
	newRun: func(env *environment) flags.Commander {
		return &getRun{
			env: env,
		}
	},
}

// getRun holds the flags and arguments of the get command.
type getRun struct {
	env *environment
	logOptions
	Args struct {
		Path string `positional-arg-name:"PATH"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (g *getRun) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	state, err := publisher.LoadState(ctx, g.client())
	if err != nil {
		return err
	}
	if g.Args.Path == "" {
		list := []administrator.Document{}
		text := ""
		for _, document := range state.Documents() {
			list = append(list, administrator.NewDocument(document))
			text += fmt.Sprintf("%8d %s\n", document.GetVersion(), document.GetPath())
		}
		return g.env.print(list, text)
	}
	document := state.Document(g.Args.Path)
	if document == nil {
		return errors.Newf("no document at %s; run get without a path for a list", g.Args.Path)
	}
	if g.env.Output != "json" {
		fmt.Fprintf(g.env.stderr, "version %d by %s\n", document.GetVersion(), document.GetAuthor())
	}
	return g.env.print(administrator.NewDocument(document), string(document.GetContent()))
}
