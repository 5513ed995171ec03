package player

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/responder"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/tracer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

var backendCommand = command{
	name:  "backend",
	short: "Run a stand-in backend server of a trace's service",
	options: func(env *environment) flags.Commander {
		return &backendOptions{
			env: env,
		}
	},
}

type backendOptions struct {
	env     *environment
	Listen  string `long:"listen" value-name:"IP:PORT" required:"true" description:"Address to serve"`
	Trace   string `long:"trace" value-name:"FILE" required:"true" description:"Trace that describes the service"`
	Service string `long:"service" value-name:"TEAM/NAME" required:"true" description:"Service to stand in for"`
	Node    string `long:"node" value-name:"IP:PORT" required:"true" description:"Call address of the node beside it"`
}

// Execute implements flags.Commander.
func (b *backendOptions) Execute([]string) error {
	trace, err := tracer.ReadFile(b.Trace)
	if err != nil {
		return err
	}
	name, err := describer.ParseServiceName(b.Service)
	if err != nil {
		return err
	}
	service := trace.Service(name)
	if service == nil {
		return errors.Newf("trace %s has no service %s", b.Trace, name)
	}
	fmt.Fprintf(b.env.stderr, "stand-in for %s listens on %s\n", name, b.Listen)
	return http.ListenAndServe(b.Listen, responder.NewHandler(responder.New(*service, responder.NewRunCounter(), 1), service.Slots, b.Node))
}
