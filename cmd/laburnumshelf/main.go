// Command laburnumshelf is the process beside a backend server and the
// operators' tool for the fleet.
package main

import (
	"os"

	"github.com/laburnumshelf/laburnumshelf/internal/cli/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
