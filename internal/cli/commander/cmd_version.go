package commander

import (
	"runtime"

	"github.com/jessevdk/go-flags"
)

// Version is the version of laburnumshelf.
const Version = "0.1.0"

var versionCommand = command{
	name:  "version",
	short: "Print the program's version",
	long:  "Prints the version of the program and of the Go toolchain that built it.",
	newRun: func(env *environment) flags.Commander {
		return &versionRun{
			env: env,
		}
	},
}

// versionRun implements the version command, which has no flags.
type versionRun struct {
	env *environment
}

// versionReport is the JSON output of the version command.
type versionReport struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Execute implements flags.Commander.
func (v *versionRun) Execute([]string) error {
	return v.env.print(versionReport{
		Version: Version,
		Go:      runtime.Version(),
	}, "laburnumshelf "+Version+" "+runtime.Version()+"\n")
}
