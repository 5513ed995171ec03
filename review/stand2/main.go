//go:build review2

// Command review2 plays the cases of the second independent review. Each case starts the store, the
// targets and the clients in this process, and the nodes as processes of their own.
//
// Usage: review2 CASE RECORD
package main

import (
	"fmt"
	"os"
)

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(*deployment) (broken bool, err error){
	"memory": playSlowReaders,
	"stored": playStoredAnswers,
	"leave":  playLeave,
	"limit":  playLimit,
	"gone":   playGone,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*deployment) (bool, error), recordPath string) int {
	d, err := newDeployment(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	broken, err := run(d)
	switch {
	case err != nil:
		d.sayf("the case could not run: %v", err)
		return exitNotRun
	case broken:
		d.sayf("result: the rule was broken")
		return exitBroken
	default:
		d.sayf("result: the rule held")
		return exitHeld
	}
}
