package commander

import (
	"fmt"
	"net/url"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
)

var explainCommand = command{
	name:  "explain",
	short: "Print every decision about a request",
	long:  "Asks all reachable nodes for their decisions about REQUEST-ID and prints the decisions in order of time.",
	newRun: func(env *environment) flags.Commander {
		return &explainRun{
			env: env,
		}
	},
}

// explainRun holds the flags and arguments of the explain command.
type explainRun struct {
	env *environment
	nodeOptions
	Args struct {
		RequestID string `positional-arg-name:"REQUEST-ID" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (e *explainRun) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	answers, unreachable, err := queryMembers[[]recorder.ExportedDecision](ctx, e.Node, "/decisions/"+url.PathEscape(e.Args.RequestID))
	if err != nil {
		return err
	}
	decisions := []recorder.ExportedDecision{}
	for _, answer := range answers {
		decisions = append(decisions, answer...)
	}
	sort.SliceStable(decisions, func(i, j int) bool {
		return decisions[i].Time.Before(decisions[j].Time)
	})
	for _, member := range unreachable {
		fmt.Fprintf(e.env.stderr, "node %s did not answer; its decisions are missing\n", member.ID)
	}
	if len(decisions) == 0 {
		return errors.Newf("no reachable node has a decision about request %s; nodes keep only recent decisions", e.Args.RequestID)
	}
	var text strings.Builder
	for _, d := range decisions {
		text.WriteString(formatDecision(d))
	}
	return e.env.print(decisions, text.String())
}

// formatDecision returns the line that the explain command prints for a decision.
func formatDecision(d recorder.ExportedDecision) string {
	line := fmt.Sprintf("%s %-28s hop=%d attempt=%d %-8s %-18s outcome=%s service=%s route=%s priority=%d",
		d.Time.Format("15:04:05.000000"), d.Node, d.Hop, d.Attempt, d.Action, d.Reason, d.Outcome, d.Service, d.Route, d.Priority)
	if d.Target != "" {
		line += " target=" + d.Target
	}
	if d.Threshold > 0 {
		line += fmt.Sprintf(" threshold=%d", d.Threshold)
	}
	if d.Wait != "" {
		line += " wait=" + d.Wait
	}
	if d.Organisation != "" {
		line += " organisation=" + d.Organisation
	}
	if d.Reason == caller.ReasonUnknownKey.String() {
		line += fmt.Sprintf(" keyDigest=%s settings=%d", d.KeyPrefix, d.Settings)
	}
	return line + fmt.Sprintf(" allowance=%d\n", d.Allowance)
}
