//go:build review

package main

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// grownDrainTime is drainS of mela-camps-grown.
const grownDrainTime = 3 * time.Second

// playDrain lets the targets of a service turn slow under load, and one of them leave.
func playDrain(d *deployment, trouble bool) ([]string, error) {
	const (
		slots    = 280
		work     = 400 * time.Millisecond
		slowness = 12
		rate     = 400.0 // requests a second, for both targets together
		deadline = 5 * time.Second
		slowTime = 9 * time.Second
		// leaveAfter is the time from the slowness to the leaving.
		leaveAfter = 1300 * time.Millisecond
	)
	var targets []*target
	for i := range 5 {
		service := "front"
		if i >= 3 {
			service = "files"
		}
		m, err := d.addMachine(service, "z1", "r1")
		if err != nil {
			return nil, err
		}
		t, err := m.startTarget(fmt.Sprintf("i-%d", i+1), slots, work)
		if err != nil {
			return nil, err
		}
		if service == "files" {
			targets = append(targets, t)
		}
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	if err := d.writeConfig(1, rule("read", "safe", "/read/", "files", 0, 2, 5, 2), rule("once", "non_idempotent", "/once/", "files", 0, 2, 5, 2)); err != nil {
		return nil, err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	c := newClients(d)
	const sending = 11 * time.Second
	for _, m := range d.machines {
		c.sendSteadily(m, "GET", "/read/x", deadline, rate/10, sending)
		c.sendSteadily(m, "POST", "/once/x", deadline, rate/10, sending)
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for _, t := range targets {
			t.setWork(work * slowness)
		}
	}
	time.Sleep(leaveAfter)
	leaver := slices.MaxFunc(targets, func(a, b *target) int { return cmp.Compare(a.runningCount(), b.runningCount()) })
	if !leaver.drain() {
		return nil, fmt.Errorf("the heartbeat that says draining was not acknowledged")
	}
	left := time.Now()
	d.rec.notef("target %s works on %d requests", leaver.id, leaver.runningCount())
	time.Sleep(slowTime - leaveAfter)
	for _, t := range targets {
		t.setWork(work)
	}
	c.open.Wait()
	return afterDraining(d.rec, leaver, left), nil
}

// afterDraining applies the rule DRAIN to a target that leaves.
func afterDraining(rec *recorder, leaver *target, left time.Time) []string {
	late, last := 0, time.Time{}
	for _, r := range leaver.allRuns() {
		if r.at.After(left.Add(grownDrainTime)) {
			late++
			last = r.at
		}
	}
	rec.notef("%d requests reached target %s later than %s after the acknowledgement", late, leaver.id, grownDrainTime)
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests reached target %s later than %s after the acknowledgement that it drains, the last one %.1f s after it",
		late, leaver.id, grownDrainTime, last.Sub(left).Seconds())}
}
