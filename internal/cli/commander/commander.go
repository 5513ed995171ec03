// Package commander is the command line of laburnumshelf. Each command is a
// small value in its own file and is listed in commands.
//
// # Usage
//
//	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
package commander

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/laburnumshelf/laburnumshelf/internal/platform/logclient"
	"github.com/laburnumshelf/laburnumshelf/internal/version/parser"
	"github.com/laburnumshelf/laburnumshelf/internal/version/publisher"
)

// The exit codes.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitFindings    = 3
	ExitConflict    = 4
	ExitUnavailable = 5
)

// command is one subcommand.
type command struct {
	name  string
	short string
	long  string
	// options returns the command's flags, which also run it.
	options func(env *environment) flags.Commander
}

// environment is what commands write to.
type environment struct {
	stdout io.Writer
	stderr io.Writer
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"Form of the output"`
}

// print writes value as JSON, or text as it is.
func (e *environment) print(value any, text string) error {
	if e.Output != "json" {
		_, err := io.WriteString(e.stdout, text)
		return err
	}
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// commands lists all subcommands in the order of the help text.
var commands = []command{
	nodeCommand,
	checkCommand,
	publishCommand,
	getCommand,
	historyCommand,
	statusCommand,
	explainCommand,
	drainCommand,
	versionCommand,
}

// Run runs the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	env := &environment{
		stdout: stdout,
		stderr: stderr,
	}
	p := flags.NewNamedParser("laburnumshelf", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "Overload control for service call graphs"
	if _, err := p.AddGroup("Global options", "", env); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.options(env)); err != nil {
			fmt.Fprintln(stderr, err)
			return ExitFailure
		}
	}
	_, err := p.ParseArgs(args)
	return report(err, env)
}

// report writes an error and returns its exit code.
func report(err error, env *environment) int {
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(env.stdout, usage.Message)
			return ExitOK
		}
		fmt.Fprintf(env.stderr, "laburnumshelf: %s; run laburnumshelf --help\n", usage.Message)
		return ExitUsage
	}
	var findings parser.Findings
	if errors.As(err, &findings) {
		if env.Output == "json" {
			env.print(findings, "")
		} else {
			fmt.Fprintln(env.stderr, findings.Error())
		}
		return ExitFindings
	}
	fmt.Fprintf(env.stderr, "laburnumshelf: %s\n", err)
	switch {
	case errors.Is(err, publisher.ErrConflict):
		return ExitConflict
	case errors.Is(err, logclient.ErrUnavailable), errors.Is(err, errUnreachable):
		return ExitUnavailable
	default:
		return ExitFailure
	}
}
