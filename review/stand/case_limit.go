//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// playLimit lets the targets of a service name a limit under load, and kills the node beside
// one of them.
func playLimit(d *deployment, trouble bool) ([]string, error) {
	const (
		limit    = 2.0
		window   = 4 * time.Second
		deadline = 3 * time.Second
	)
	rec := d.rec
	var entries []*machine
	var targets []*target
	for i := range 5 {
		service, zone, region := "front", "z1", "r1"
		if i >= 3 {
			service = "back"
		}
		m, err := d.addMachine(service, zone, region)
		if err != nil {
			return nil, err
		}
		t, err := m.startTarget(fmt.Sprintf("i-%d", i+1), 20, 400*time.Millisecond)
		if err != nil {
			return nil, err
		}
		if service == "front" {
			entries = append(entries, m)
		} else {
			targets = append(targets, t)
		}
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	if err := d.writeConfig(1, rule("read", "safe", "/read/", "back", 0, 1.5, 3, 2), rule("front", "safe", "/front/", "front", 2, 1.5, 3, 2)); err != nil {
		return nil, err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	c := newClients(d)
	for _, m := range entries {
		c.sendSteadily(m, "GET", "/read/x", deadline, 40, 26*time.Second)
	}
	time.Sleep(4 * time.Second)
	named := time.Now()
	for _, t := range targets {
		t.setLimit(fmt.Sprint(limit))
	}
	time.Sleep(8 * time.Second)
	if trouble {
		var killed sync.WaitGroup
		for _, t := range targets {
			killed.Go(func() { t.m.restart(time.Second) })
		}
		killed.Wait()
	}
	time.Sleep(10 * time.Second)
	c.open.Wait()
	return overLimit(rec, c, targets, named.Add(stability), limit, window), nil
}

// overLimit applies the rule LIMIT: from a time on, a target gets in some window more than one
// and a half times what its limit allows, and 5 requests, from machines that had passed on an
// answer with the limit half a second before or earlier.
func overLimit(rec *recorder, c *clients, targets []*target, from time.Time, limit float64, window time.Duration) []string {
	allowed := 1.5*limit*window.Seconds() + 5
	sentBy := c.byID()
	var broken []string
	for _, t := range targets {
		passedOn := make(map[string]time.Time)
		for _, a := range c.all() {
			if first, ok := passedOn[a.machine]; a.limit != "" && a.target == t.id && (!ok || a.at.Before(first)) {
				passedOn[a.machine] = a.at
			}
		}
		var counted []run
		for _, r := range t.allRuns() {
			first, ok := passedOn[sentBy[r.id].machine]
			if ok && !r.at.Before(first.Add(500*time.Millisecond)) && !r.at.Before(from) {
				counted = append(counted, r)
			}
		}
		most, at := 0, time.Time{}
		for i := range counted {
			count := 0
			for _, r := range counted[i:] {
				if r.at.Sub(counted[i].at) < window {
					count++
				}
			}
			if count > most {
				most, at = count, counted[i].at
			}
		}
		rec.notef("target %s got %d counted requests in the worst %s, at %.3f; allowed are %.0f", t.id, most, window, at.Sub(rec.start).Seconds(), allowed)
		if float64(most) > allowed {
			broken = append(broken, fmt.Sprintf("LIMIT: target %s with limit %g got %d requests in %s, %.0f are allowed", t.id, limit, most, window, allowed))
		}
	}
	return broken
}
