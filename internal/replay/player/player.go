// Package player is the command line of shelf-replay: it replays traces with the
// layer, without it and with single mechanisms off, and runs the stand-ins.
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

// environment is what commands write to.
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

// errMissed reports a run that did not keep the stated outcomes.
var errMissed = errors.New("stated outcomes missed")

// Run runs the command line and returns the exit code: 0 when all stated
// outcomes were kept, 1 otherwise, 2 for wrong usage.
func Run(args []string, stdout, stderr io.Writer) int {
	env := &environment{
		stdout: stdout,
		stderr: stderr,
	}
	p := flags.NewNamedParser("shelf-replay", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "Replay of recorded traces against stated outcomes"
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
