//go:build review2

package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// killDelay is the time from the acknowledgement to the kill, and restartDelay that from the kill
	// to the next start.
	killDelay    = time.Second
	restartDelay = 200 * time.Millisecond
	// beatDelay is how long after the acknowledgement the late heartbeat arrives.
	beatDelay = 2 * time.Second
	// serveTime is how long the target serves after the acknowledgement.
	serveTime = 10 * time.Second
)

// playLeave lets a target deregister at a node that has just been restarted, kills that node, and lets
// a heartbeat of the target arrive late.
func playLeave(d *deployment) (bool, error) {
	leaving, err := d.addMachine("waterpoint", 26)
	if err != nil {
		return false, err
	}
	if _, err := d.addMachine("waterpoint", 26); err != nil {
		return false, err
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
	clients := d.startCrowd("client-", entry, 6, "GET", "/water/1", 8*time.Second, 50*time.Millisecond)
	time.Sleep(2 * time.Second)

	// The node is restarted as planned. Its target goes on, and is taken away meanwhile.
	leaving.stop()
	leaving.target.setSilent(true)
	latePath, lateBody := leaving.target.beat()
	if err := leaving.start(); err != nil {
		return false, err
	}
	acknowledged := await(5*time.Second, func() bool {
		status, err := leaving.target.deregister()
		return err == nil && status == http.StatusOK
	})
	if !acknowledged {
		return false, fmt.Errorf("the deregistration was not acknowledged")
	}
	ack := time.Now()
	d.sayf("%s: deregistration of %s acknowledged", leaving.name, leaving.target.id)
	if d.trouble {
		time.Sleep(killDelay)
		leaving.signal(syscall.SIGKILL)
		leaving.awaitExit(5 * time.Second)
		time.Sleep(restartDelay)
		if err := leaving.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(ack.Add(beatDelay)))
	if !awaitListening(leaving.control, 5*time.Second) {
		return false, fmt.Errorf("the node does not listen again")
	}
	status, err := post(leaving.control, latePath, lateBody)
	d.logf("%s: late heartbeat %s answered %d %v", leaving.name, lateBody, status, err)
	time.Sleep(time.Until(ack.Add(serveTime)))
	d.sayf("clients: %s", summary(clients.stop()))

	from := ack.Add(drainTime)
	if inTouch := leaving.startedAt().Add(stabilityTime); inTouch.After(from) {
		from = inTouch
	}
	late := leaving.target.runsBetween(from, time.Now())
	d.sayf("requests that the target ran later than drainS after the acknowledgement, all machines in touch: %d", len(late))
	for _, r := range late {
		d.logf("late: %s from %s, %.3f s after the acknowledgement", r.id, r.caller, r.at.Sub(ack).Seconds())
	}
	return len(late) > 0, nil
}
