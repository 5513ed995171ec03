// Command shelf-replay replays recorded traces against stated outcomes and runs
// the stand-ins that they need.
package main

import (
	"os"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/player"
)

func main() {
	os.Exit(player.Run(os.Args[1:], os.Stdout, os.Stderr))
}
