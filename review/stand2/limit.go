//go:build review2

package main

import (
	"net/http"
	"strconv"
	"syscall"
	"time"
)

const (
	// serverLimit is the limit that the target names, in requests per second.
	serverLimit = 3.0
	// limitWindow, limitFactor and limitSlack are the bound of the rule LIMIT.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitKnown is how long before a request its machine must have passed on an answer that names
	// the limit.
	limitKnown = 500 * time.Millisecond
	// waterWork is the work of a request.
	waterWork = 640 * time.Millisecond
)

// playLimit kills the node beside a target that names a limit.
func playLimit(d *deployment) (bool, error) {
	limited, err := d.addMachine("waterpoint", 26)
	if err != nil {
		return false, err
	}
	limited.target.work = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Limit", strconv.FormatFloat(serverLimit, 'f', 1, 64))
		time.Sleep(waterWork)
		w.Write([]byte("ok"))
	}
	entry, err := d.addMachine("allot", 140)
	if err != nil {
		return false, err
	}
	if err := d.configure(1, route{name: "water", kind: "safe", service: "waterpoint", aim: 2, timeout: 8, attempts: 2, priority: 2}); err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	begun := time.Now()
	clients := d.startCrowd("client-", entry, 80, "GET", "/water/1", 8*time.Second, 100*time.Millisecond)
	time.Sleep(10 * time.Second)
	// The next heartbeat comes about a second after the start of the new process.
	limited.target.awaitBeat()
	if d.trouble {
		limited.signal(syscall.SIGKILL)
		limited.awaitExit(5 * time.Second)
		time.Sleep(restartDelay)
		if err := limited.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(12 * time.Second)
	d.sayf("clients: %s", summary(clients.stop()))
	// The limit binds from stabilityS after it was first named, which is waterWork after the first run.
	from := begun.Add(waterWork + stabilityTime + limitKnown)
	runs := limited.target.runsBetween(from, time.Now())
	most := 0
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.at.Sub(first.at) <= limitWindow {
				n++
			}
		}
		if n > most {
			most = n
			d.logf("%d requests in %v from %.3f s on", n, limitWindow, first.at.Sub(d.started).Seconds())
		}
	}
	allowed := limitFactor*serverLimit*limitWindow.Seconds() + limitSlack
	d.sayf("most requests that reached the target in %v: %d, allowed: %.0f", limitWindow, most, allowed)
	return float64(most) > allowed, nil
}
