//go:build review

// Stand plays one case of the review: it starts the nodes as processes, and the store, the
// targets and the clients as stand-ins.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps the name of a case to its function, which returns what broke the rule.
var cases = map[string]func(d *deployment, trouble bool) ([]string, error){
	"drain":  playDrain,
	"giveup": playGiveUp,
	"leave":  playLeave,
	"memory": playMemory,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(playCase func(*deployment, bool) ([]string, error), folder string) int {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.close()
	broken, err := playCase(d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.notef("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, line := range broken {
		rec.notef("BROKEN %s", line)
		fmt.Println("BROKEN", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.notef("held")
	fmt.Println("held")
	return exitHeld
}
