// Package player implements the command line of shelf-replay. It replays traces
// with the overload control layer, without it, and with single mechanisms turned
// off. It also runs the stand-ins: simulated backend servers and a simulated log of
// the platform.
//
// # Usage
//
//	os.Exit(player.Run(os.Args[1:], os.Stdout, os.Stderr))
package player

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// environment holds the output streams of the commands.
type environment struct {
	stdout io.Writer
	stderr io.Writer
}

// command is one subcommand.
type command struct {
	name    string
	short   string
	options func(env *environment) flags.Commander
}

var commands = []command{
	runCommand,
	logCommand,
	backendCommand,
}

// errOutcomesMissed is returned if a run missed expected outcomes.
var errOutcomesMissed = errors.New("expected outcomes missed")

// Run runs the command line and returns the exit code: 0 for success, 2 for wrong
// usage, and 1 for other errors and for missed outcomes.
func Run(args []string, stdout, stderr io.Writer) int {
	env := &environment{
		stdout: stdout,
		stderr: stderr,
	}
	p := flags.NewNamedParser("shelf-replay", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "Replay recorded traces and compare the results with the expected outcomes"
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.short+".", c.options(env)); err != nil {
			fmt.Fprintln(stderr, err)
			return 1
		}
	}
	_, err := p.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, usage.Message)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintf(stderr, "shelf-replay: %s; run shelf-replay --help\n", usage.Message)
		return 2
	default:
		fmt.Fprintf(stderr, "shelf-replay: %s\n", err)
		return 1
	}
}
