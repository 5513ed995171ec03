// Package commander implements the command line of laburnumshelf. Each subcommand
// is defined in its own file and listed in commands.
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

	"github.com/laburnumshelf/laburnumshelf/internal/version/parser"
	"github.com/laburnumshelf/laburnumshelf/internal/version/publisher"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/logclient"
)

// Exit codes of the commands.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage reports wrong flags or arguments.
	ExitUsage = 2
	// ExitFindings reports that settings documents or process settings have errors.
	ExitFindings = 3
	// ExitConflict reports that a publication was rejected, usually because the
	// document has changed since the base version.
	ExitConflict = 4
	// ExitUnavailable reports that the platform's log or a node is not reachable.
	ExitUnavailable = 5
	// ExitWarnings reports that settings documents have warnings and no errors.
	ExitWarnings = 6
)

// exitCode is the error of a command that has printed all its output and ends with this exit code.
type exitCode int

// Error implements error.
func (c exitCode) Error() string {
	return fmt.Sprintf("exit code %d", int(c))
}

// command defines a subcommand.
type command struct {
	name  string
	short string
	long  string
	// newRun returns a value that holds the flags and arguments of the subcommand.
	// Its Execute method runs the subcommand.
	newRun func(env *environment) flags.Commander
}

// environment holds the output streams and the flags that all subcommands share.
type environment struct {
	stdout io.Writer
	stderr io.Writer
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"Form of the output"`
}

// print writes value as JSON if the output format is JSON, and text otherwise.
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

// Run parses args, runs the subcommand and returns the exit code.
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
		if _, err := p.AddCommand(c.name, c.short, c.long, c.newRun(env)); err != nil {
			fmt.Fprintln(stderr, err)
			return ExitFailure
		}
	}
	_, err := p.ParseArgs(args)
	return reportError(err, env)
}

// reportError writes the error, if any, and returns the exit code for it.
func reportError(err error, env *environment) int {
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
	var code exitCode
	if errors.As(err, &code) {
		return int(code)
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
	case errors.Is(err, publisher.ErrRejected):
		return ExitConflict
	case errors.Is(err, logclient.ErrUnavailable), errors.Is(err, errUnreachable):
		return ExitUnavailable
	default:
		return ExitFailure
	}
}
