// Command shelf-replay replays recorded traces and checks the outcomes that each
// trace states. It also runs stand-ins for the backend servers and the platform's
// log.
package main

import (
	"os"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/player"
)

func main() {
	os.Exit(player.Run(os.Args[1:], os.Stdout, os.Stderr))
}
