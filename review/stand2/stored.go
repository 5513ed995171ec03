//go:build review2

package main

import (
	"bytes"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

const (
	// pullTargets is the number of targets of cartographer. All but one are lost.
	pullTargets = 6
	// pullWork, pullBytes and pullDeadline are those of map-pull: the mean work, the longest answer
	// and the deadline.
	pullWork     = 170 * time.Millisecond
	pullBytes    = 36_000
	pullDeadline = 2 * time.Second
	// pullers at each of two machines send about 312 requests a second together; the
	// traffic of map-pull is 304.
	pullers   = 40
	pullPause = 85 * time.Millisecond
)

// playStoredAnswers lets all machines of a service but one be lost. The platform kills a process that
// exceeds its memory. Clients on the machine that is left use another service meanwhile.
func playStoredAnswers(d *deployment) (bool, error) {
	payload := bytes.Repeat([]byte("x"), pullBytes)
	for range pullTargets {
		m, err := d.addMachine("cartographer", mapSlots)
		if err != nil {
			return false, err
		}
		m.target.work = func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(pullWork)
			w.Header().Set("Content-Length", strconv.Itoa(len(payload)))
			w.Write(payload)
		}
	}
	left, lost := d.machines[0], d.machines[1:pullTargets]
	var entries []*machine
	for range 2 {
		m, err := d.addMachine("allot", 140)
		if err != nil {
			return false, err
		}
		m.target.work = func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(210 * time.Millisecond)
			w.Write([]byte("ok"))
		}
		entries = append(entries, m)
	}
	err := d.configure(1,
		route{name: "pull", kind: "non_idempotent", service: "cartographer", aim: 0.5, timeout: 1, attempts: 2, priority: 0},
		route{name: "assign", kind: "safe", service: "allot", aim: 1.5, timeout: 5, attempts: 1, priority: 0})
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	ordinary := d.startCrowd("ordinary-", left, 20, "GET", "/assign/1", 5*time.Second, 20*time.Millisecond)
	var crowds []*crowd
	for _, m := range entries {
		crowds = append(crowds, d.startCrowd(m.name+"-", m, pullers, "PUT", "/pull/1", pullDeadline, pullPause))
	}
	time.Sleep(5 * time.Second)
	if d.trouble {
		for _, m := range lost {
			m.target.stop()
			m.signal(syscall.SIGKILL)
		}
	}
	kills := d.enforceMemory(45 * time.Second)
	var pulled []exchange
	for _, c := range crowds {
		pulled = append(pulled, c.stop()...)
	}
	seen := ordinary.stop()
	d.sayf("pulls: %s", summary(pulled))
	return d.judgeKills(kills, seen), nil
}
