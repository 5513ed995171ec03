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
	"github.com/laburnumshelf/laburnumshelf/internal/version/checker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/parser"
)

var checkCommand = command{
	name:  "check",
	short: "Check settings and report all findings",
	long: "Checks the settings documents below a directory, where each file is at the path of its document " +
		"(TEAM/services/NAME.jsonc, TEAM/team.jsonc). With --node, checks process settings. Findings are printed as file:line:column: message.",
	newRun: func(env *environment) flags.Commander {
		return &checkRun{
			env: env,
		}
	},
}

// checkRun holds the flags and arguments of the check command.
type checkRun struct {
	env  *environment
	Node bool   `long:"node" description:"Check process settings of nodes"`
	Path string `long:"path" value-name:"PATH" description:"Path of the single document given"`
	Args struct {
		Files []string `positional-arg-name:"FILE-OR-DIRECTORY" required:"1"`
	} `positional-args:"true"`
}

// settingsSuffix is the file name extension of settings documents.
const settingsSuffix = ".jsonc"

// Execute implements flags.Commander.
func (c *checkRun) Execute([]string) error {
	var findings parser.Findings
	checked := 0
	for _, name := range c.Args.Files {
		found, n, err := c.check(name)
		if err != nil {
			return err
		}
		findings = append(findings, found...)
		checked += n
	}
	findings.Sort()
	if err := findings.Err(); err != nil {
		return err
	}
	return c.env.print(struct {
		Checked int `json:"checked"`
	}{
		Checked: checked,
	}, fmt.Sprintf("%d files checked, no findings\n", checked))
}

// check checks one argument of the command. It returns the findings and the
// number of files checked.
func (c *checkRun) check(name string) (parser.Findings, int, error) {
	if c.Node {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, 0, errors.Wrap(err, "read process settings")
		}
		_, findings := configurer.Parse(name, content)
		return findings, 1, nil
	}
	if c.Path != "" {
		findings, err := checkFile(name, c.Path)
		return findings, 1, err
	}
	return checkTree(name)
}

// checkFile checks the file name as the settings document at path.
func checkFile(name, path string) (parser.Findings, error) {
	parsed, err := checker.ParsePath(path)
	if err != nil {
		return parser.Findings{{
			File:    name,
			Line:    1,
			Column:  1,
			Message: err.Error(),
		}}, nil
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	_, findings := checker.Check(name, parsed, content)
	return findings, nil
}

// checkTree checks every settings document below a directory. It returns the
// findings and the number of files checked.
func checkTree(root string) (parser.Findings, int, error) {
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
		found, err := checkFile(name, path)
		findings = append(findings, found...)
		return err
	})
	if err == nil && checked == 0 {
		return nil, 0, errors.Newf("no %s files below %s; for a single file give --path", settingsSuffix, root)
	}
	return findings, checked, errors.Wrap(err, "read settings")
}
