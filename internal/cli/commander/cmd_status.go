package commander

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/laburnumshelf/laburnumshelf/internal/process/administrator"
)

var statusCommand = command{
	name:  "status",
	short: "Print the state of all nodes",
	long:  "Asks one node for its members, and each member for its limit, load, threshold and the settings version in force. The column STORE is the era of the store that the member knows, - if it knows none, with a * while the member's records there may be missing. A second table lists the nodes that have received a later version of the settings than the one in force and cannot apply it, with the reason.",
	newRun: func(env *environment) flags.Commander {
		return &statusRun{
			env: env,
		}
	},
}

// statusRun holds the flags of the status command.
type statusRun struct {
	env *environment
	nodeOptions
}

// statusReport is the JSON output of the status command.
type statusReport struct {
	Nodes       []administrator.Status `json:"nodes"`
	Unreachable []administrator.Member `json:"unreachable"`
}

// Execute implements flags.Commander.
func (s *statusRun) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	nodes, unreachable, err := queryMembers[administrator.Status](ctx, s.Node, "/status")
	if err != nil {
		return err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%-28s %-9s %-24s %-22s %8s %5s/%-5s %6s %9s %7s %6s\n",
		"NODE", "STATE", "ZONE", "SERVICE", "SETTINGS", "BUSY", "LIMIT", "QUEUED", "THRESHOLD", "MEMBERS", "STORE")
	for _, node := range nodes {
		fmt.Fprintf(&text, "%-28s %-9s %-24s %-22s %8d %5d/%-5d %6d %9d %7d %6s\n",
			node.ID, node.State, node.Region+"/"+node.Zone, node.Service, node.SettingsVersion,
			node.InFlight, node.Limit, node.Queued, node.Threshold, node.Members, storeText(node))
	}
	for _, member := range unreachable {
		fmt.Fprintf(&text, "%-28s %-9s %-24s %-22s %8s\n", member.ID, member.State, member.Region+"/"+member.Zone, member.Service, "no answer")
	}
	text.WriteString(leftOutTable(nodes))
	text.WriteString(organisationTable(nodes))
	return s.env.print(statusReport{
		Nodes:       nodes,
		Unreachable: unreachable,
	}, text.String())
}

// leftOutTable returns the table of the versions that nodes could not apply, or "" if there are none.
func leftOutTable(nodes []administrator.Status) string {
	var text strings.Builder
	for _, node := range nodes {
		if node.LeftOut == nil {
			continue
		}
		if text.Len() == 0 {
			fmt.Fprintf(&text, "\n%-28s %8s  %-20s  %s\n", "NODE", "LEFT OUT", "SINCE", "REASON")
		}
		version := "unread"
		if node.LeftOut.Version > 0 {
			version = strconv.FormatInt(node.LeftOut.Version, 10)
		}
		fmt.Fprintf(&text, "%-28s %8s  %-20s  %s\n", node.ID, version, node.LeftOut.Since.UTC().Format(time.RFC3339), strings.ReplaceAll(node.LeftOut.Reason, "\n", "; "))
	}
	return text.String()
}

// storeText returns the era of the store that a node knows, with a mark while its records may be
// missing there.
func storeText(node administrator.Status) string {
	if node.StoreEra < 0 {
		return "-"
	}
	text := strconv.FormatInt(node.StoreEra, 10)
	if !node.StoreRestored {
		text += "*"
	}
	return text
}
