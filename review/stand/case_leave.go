//go:build review

package main

import (
	"fmt"
	"time"
)

// playLeave lets a target leave by deregistering, kills the node beside it and lets an old
// heartbeat of the target arrive late.
func playLeave(d *deployment, trouble bool) ([]string, error) {
	const deadline = 3 * time.Second
	rec := d.rec
	var entries []*machine
	var targets []*target
	for i := range 5 {
		service := "front"
		if i >= 2 {
			service = "back"
		}
		m, err := d.addMachine(service, "z1", "r1")
		if err != nil {
			return nil, err
		}
		t, err := m.startTarget(fmt.Sprintf("i-%d", i+1), 20, 200*time.Millisecond)
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
	if err := d.writeConfig(1, rule("read", "safe", "/read/", "back", 1, 1.5, 3, 2), rule("once", "non_idempotent", "/once/", "back", 0, 1.5, 3, 1)); err != nil {
		return nil, err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	c := newClients(d)
	for _, m := range entries {
		c.sendSteadily(m, "GET", "/read/x", deadline, 25, 20*time.Second)
		c.sendSteadily(m, "POST", "/once/x", deadline, 10, 20*time.Second)
	}
	time.Sleep(4 * time.Second)
	// The target's last heartbeat before it leaves is late.
	leaver := targets[0]
	late := leaver.heartbeat()
	if !leaver.deregister() {
		return nil, fmt.Errorf("the deregistration was not acknowledged")
	}
	left := time.Now()
	time.Sleep(time.Second)
	if trouble {
		if err := leaver.m.restart(500 * time.Millisecond); err != nil {
			return nil, err
		}
	}
	restarted := time.Now()
	time.Sleep(stability + 500*time.Millisecond)
	leaver.post("Heartbeat", late)
	time.Sleep(8 * time.Second)
	c.open.Wait()
	return afterLeaving(rec, c, leaver, left, restarted), nil
}

// afterLeaving applies both rules DRAIN to a target that left at a time.
func afterLeaving(rec *recorder, c *clients, leaver *target, left, restarted time.Time) []string {
	sentBy := c.byID()
	saidSo := make(map[string]time.Time)
	for _, a := range c.all() {
		if first, ok := saidSo[a.machine]; a.leaving && a.target == leaver.id && (!ok || a.at.Before(first)) {
			saidSo[a.machine] = a.at
		}
	}
	var broken []string
	acknowledged, said := 0, 0
	for _, r := range leaver.allRuns() {
		a := sentBy[r.id]
		if r.at.After(left.Add(drainTime)) && r.at.After(restarted.Add(stability)) {
			acknowledged++
		}
		if first, ok := saidSo[a.machine]; ok && a.sent.After(first.Add(drainTime)) {
			said++
			rec.notef("%s, sent at %.3f through %s, reached %s, whose Server-Leaving that machine had passed on at %.3f",
				r.id, a.sent.Sub(rec.start).Seconds(), a.machine, r.target, first.Sub(rec.start).Seconds())
		}
	}
	rec.notef("%d requests reached the target later than %s after the acknowledgement, with all machines in touch", acknowledged, drainTime)
	if acknowledged > 0 {
		broken = append(broken, fmt.Sprintf("DRAIN: %d requests reached target %s later than %s after the acknowledgement that it is gone", acknowledged, leaver.id, drainTime))
	}
	if said > 0 {
		broken = append(broken, fmt.Sprintf("DRAIN: %d requests reached target %s through machines that had passed on its Server-Leaving more than %s before", said, leaver.id, drainTime))
	}
	return broken
}
