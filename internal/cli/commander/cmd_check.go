package commander

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/laburnumshelf/laburnumshelf/internal/process/configurer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/analyzer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/checker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/parser"
)

var checkCommand = command{
	name:  "check",
	short: "Check settings and report all findings",
	long: "Checks the settings documents below a directory, where each file is at the path of its document " +
		"(TEAM/services/NAME.jsonc, TEAM/team.jsonc, TEAM/hosts.jsonc), and shows with --against what differs from other " +
		"settings. With --node, checks process settings. Findings are printed as file:line:column: message. Exit code 3 with " +
		"errors, 6 with warnings only.",
	newRun: func(env *environment) flags.Commander {
		return &checkRun{
			env: env,
		}
	},
}

// checkRun holds the flags and arguments of the check command.
type checkRun struct {
	env     *environment
	Node    bool   `long:"node" description:"Check process settings of nodes"`
	Path    string `long:"path" value-name:"PATH" description:"Path of the single document given"`
	Against string `long:"against" value-name:"FILE|NODE" description:"Show the differences from a file, a directory, or the settings in force at a node's admin address"`
	Args    struct {
		Files []string `positional-arg-name:"FILE-OR-DIRECTORY" required:"1"`
	} `positional-args:"true"`
}

// settingsSuffix is the file name extension of settings documents.
const settingsSuffix = ".jsonc"

// checkReport is the JSON output of the check command.
type checkReport struct {
	Checked  int               `json:"checked"`
	Findings analyzer.Findings `json:"findings"`
	// Against is set if the documents were compared.
	Against *comparisonReport `json:"against,omitempty"`
}

// Execute implements flags.Commander.
func (c *checkRun) Execute([]string) error {
	if c.Node && c.Against != "" {
		return usageErrorf("--against compares settings documents; it cannot be used with --node")
	}
	report := checkReport{
		Findings: analyzer.Findings{},
	}
	var documents []*analyzer.Document
	for _, name := range c.Args.Files {
		read, findings, checked, err := c.check(name)
		if err != nil {
			return err
		}
		report.Findings = append(report.Findings, findings...)
		report.Checked += checked
		documents = append(documents, read...)
	}
	report.Findings.Sort()
	var failure error
	if c.Against != "" {
		report.Against, failure = c.compare(documents)
	}
	if err := c.print(report); err != nil {
		return err
	}
	switch {
	case failure != nil:
		return failure
	case report.Findings.Count(analyzer.Error) > 0:
		return exitCode(ExitFindings)
	case len(report.Findings) > 0:
		return exitCode(ExitWarnings)
	}
	return nil
}

// usageErrorf returns an error that ends the command with ExitUsage.
func usageErrorf(format string, args ...any) error {
	return &flags.Error{
		Type:    flags.ErrUnknown,
		Message: fmt.Sprintf(format, args...),
	}
}

// print writes the report. Text goes to the standard error for findings, and to the standard output
// for the rest.
func (c *checkRun) print(report checkReport) error {
	if c.env.Output != "json" {
		for _, finding := range report.Findings {
			fmt.Fprintln(c.env.stderr, finding)
		}
	}
	summary := fmt.Sprintf("%s checked, no findings\n", formatCount(report.Checked, "file"))
	if len(report.Findings) > 0 {
		summary = fmt.Sprintf("%s checked, %s, %s\n", formatCount(report.Checked, "file"),
			formatCount(report.Findings.Count(analyzer.Error), "error"), formatCount(report.Findings.Count(analyzer.Warning), "warning"))
	}
	return c.env.print(report, summary+report.Against.format())
}

// formatCount returns a number with its unit in the singular or plural.
func formatCount(number int, unit string) string {
	if number == 1 {
		return "1 " + unit
	}
	return fmt.Sprintf("%d %ss", number, unit)
}

// check checks one argument of the command. It returns the settings documents, the findings and the
// number of files checked.
func (c *checkRun) check(name string) ([]*analyzer.Document, analyzer.Findings, int, error) {
	if c.Node {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, nil, 0, errors.Wrap(err, "read process settings")
		}
		_, findings := configurer.Parse(name, content)
		return nil, analyzer.Convert(findings, analyzer.Error), 1, nil
	}
	if c.Path != "" {
		document, findings, err := readFile(name, c.Path)
		if err != nil || document == nil {
			return nil, analyzer.Convert(findings, analyzer.Error), 1, err
		}
		documents := []*analyzer.Document{document}
		return documents, analyzer.Analyze(documents), 1, nil
	}
	documents, findings, checked, err := readTree(name)
	if err != nil {
		return nil, nil, 0, err
	}
	return documents, append(analyzer.Convert(findings, analyzer.Error), analyzer.Analyze(documents)...), checked, nil
}

// checkFile checks the file name as the settings document at path, without warnings.
func checkFile(name, path string) (parser.Findings, error) {
	document, findings, err := readFile(name, path)
	if document != nil {
		findings = document.Errors
	}
	return findings, err
}

// readFile reads the file name as the settings document at path. If the path is invalid, it returns
// a finding and no document.
func readFile(name, path string) (*analyzer.Document, parser.Findings, error) {
	parsed, err := checker.ParsePath(path)
	if err != nil {
		return nil, parser.Findings{{
			File:    name,
			Line:    1,
			Column:  1,
			Message: err.Error(),
		}}, nil
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read settings")
	}
	return analyzer.Read(name, parsed, content), nil, nil
}

// readTree reads every settings document below a directory. It returns the documents, the findings
// about their paths, and the number of files.
func readTree(root string) ([]*analyzer.Document, parser.Findings, int, error) {
	var documents []*analyzer.Document
	var findings parser.Findings
	checked := 0
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !strings.HasSuffix(name, settingsSuffix) {
			return nil
		}
		relative, err := filepath.Rel(root, name)
		if err != nil {
			return err
		}
		checked++
		path := "/" + strings.TrimSuffix(filepath.ToSlash(relative), settingsSuffix)
		document, found, err := readFile(name, path)
		if document != nil {
			documents = append(documents, document)
		}
		findings = append(findings, found...)
		return err
	})
	if err == nil && checked == 0 {
		return nil, nil, 0, errors.Newf("no %s files below %s; for a single file give --path", settingsSuffix, root)
	}
	return documents, findings, checked, errors.Wrap(err, "read settings")
}
