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
	long:  "Tells a node to announce that it leaves, to refuse new work, to finish what runs and to stop.",
	options: func(env *environment) flags.Commander {
		return &drainRun{
			env: env,
		}
	},
}

type drainRun struct {
	env *environment
	nodeOptions
}

type drained struct {
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
	return d.env.print(drained{
		Node: d.Node,
	}, fmt.Sprintf("node %s is draining\n", d.Node))
}
