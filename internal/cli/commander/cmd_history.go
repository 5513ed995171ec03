package commander

import (
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/laburnumshelf/laburnumshelf/internal/version/publisher"
)

var historyCommand = command{
	name:  "history",
	short: "Print the publications that the log retains",
	long:  "Prints every retained publication for PATH, or for all paths, with its verdict, oldest first.",
	newRun: func(env *environment) flags.Commander {
		return &historyRun{
			env: env,
		}
	},
}

// historyRun holds the flags and arguments of the history command.
type historyRun struct {
	env *environment
	logOptions
	Args struct {
		Path string `positional-arg-name:"PATH"`
	} `positional-args:"true"`
}

// historyEntry is one publication and its verdict in the output of the history
// command.
type historyEntry struct {
	Version  int64     `json:"version"`
	Time     time.Time `json:"time"`
	Author   string    `json:"author"`
	Path     string    `json:"path"`
	Base     int64     `json:"base"`
	Accepted bool      `json:"accepted"`
	Detail   string    `json:"detail,omitempty"`
}

// Execute implements flags.Commander.
func (h *historyRun) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	changes, err := publisher.History(ctx, h.client())
	if err != nil {
		return err
	}
	list := []historyEntry{}
	text := ""
	for _, change := range changes {
		if h.Args.Path != "" && change.Publication.GetPath() != h.Args.Path {
			continue
		}
		entry := historyEntry{
			Version:  change.Verdict.GetVersion(),
			Time:     time.Unix(0, change.Publication.GetTimeUnixNano()).UTC(),
			Author:   change.Publication.GetAuthor(),
			Path:     change.Publication.GetPath(),
			Base:     change.Publication.GetBaseVersion(),
			Accepted: change.Verdict.GetAccepted(),
			Detail:   change.Verdict.GetDetail(),
		}
		list = append(list, entry)
		text += entry.format()
	}
	return h.env.print(list, text)
}

// format returns the line that the history command prints for the entry.
func (e historyEntry) format() string {
	verdict := "accepted"
	if !e.Accepted {
		verdict = "rejected: " + e.Detail
	}
	return fmt.Sprintf("%8d %s %-12s %s (base %d) %s\n", e.Version, e.Time.Format(time.RFC3339), e.Author, e.Path, e.Base, verdict)
}
