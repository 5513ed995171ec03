//go:build review3

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestRun is the time after which a case is ended without a verdict.
const longestRun = 110 * time.Second

// verdict is the exit code of a case.
type verdict int

// The verdicts.
const (
	held verdict = iota
	broken
	notRun
)

// trouble reports whether the case is run with its disruption.
func trouble() bool {
	return os.Getenv("TROUBLE") != "0"
}

// cases holds the cases by their names. The file of each case adds it.
var cases = map[string]func(f *fleet) (verdict, error){}

func main() {
	os.Exit(int(run()))
}

func run() verdict {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE DIR")
		return notRun
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer record.file.Close()
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer f.close()
	// No process that the case started outlives it.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(longestRun):
		}
		record.line("the case was ended before its verdict")
		f.close()
		os.Exit(int(notRun))
	}()
	result, err := cases[os.Args[1]](f)
	if err != nil {
		record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	record.line("verdict: %d (0: the rule held, 1: it was broken)", result)
	return result
}
