package commander

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

var drainCommand = command{
	name:  "drain",
	short: "Stop a node gracefully",
	long:  "Tells a node to announce that it is leaving, refuse new calls, finish the open ones and stop.",
	newRun: func(env *environment) flags.Commander {
		return &drainRun{
			env: env,
		}
	},
}

// drainRun holds the flags of the drain command.
type drainRun struct {
	env *environment
	nodeOptions
}

// drainReport is the JSON output of the drain command.
type drainReport struct {
	Node string `json:"node"`
}

// Execute implements flags.Commander.
func (d *drainRun) Execute([]string) error {
	client := &http.Client{
		Timeout: requestTimeout,
	}
	resp, err := client.Post("http://"+d.Node+"/drain", "", nil)
	if err != nil {
		return errors.Mark(err, errUnreachable)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusAccepted {
		return errors.Newf("node %s answered %s", d.Node, resp.Status)
	}
	return d.env.print(drainReport{
		Node: d.Node,
	}, fmt.Sprintf("node %s is draining\n", d.Node))
}
