// Command laburnumshelf runs a node beside a backend server. It also has the
// commands with which operators inspect and configure a fleet of nodes.
package main

import (
	"os"

	"github.com/laburnumshelf/laburnumshelf/internal/cli/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
