//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimitMB is memoryMb of the site files.
	memoryLimitMB = 284
	// downloadBytes is the largest answer of map-pull and get-cutsheet in the site files.
	downloadBytes = 36000
)

// memoryMB returns the resident memory of the node in MB, or 0 if it does not run.
func (m *machine) memoryMB() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1000
		}
	}
	return 0
}

// processorSeconds returns the processor time that the node has used.
func (m *machine) processorSeconds() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return float64(user+system) / 100
}

// watchMemory kills the node whenever it exceeds its memory, as the platform does, and starts
// it again. It returns a function that ends the watch and returns the number of kills.
func (m *machine) watchMemory() func() int {
	stop := make(chan struct{})
	kills := make(chan int)
	go func() {
		count, last := 0, time.Now()
		for {
			select {
			case <-stop:
				kills <- count
				return
			case <-time.After(100 * time.Millisecond):
			}
			mb := m.memoryMB()
			if time.Since(last) > 2*time.Second {
				last = time.Now()
				m.d.rec.notef("%s node has %d MB and has used %.1f s of processor time", m.name, mb, m.processorSeconds())
			}
			if mb <= memoryLimitMB {
				continue
			}
			count++
			m.d.rec.notef("%s node has %d MB, more than its %d, after %.1f s of processor time", m.name, mb, memoryLimitMB, m.processorSeconds())
			if err := m.restart(500 * time.Millisecond); err != nil {
				m.d.rec.notef("%s: %v", m.name, err)
			}
		}
	}()
	return func() int {
		close(stop)
		return <-kills
	}
}

// playMemory sends downloads that may not be repeated, and three bursts of them.
func playMemory(d *deployment, trouble bool) ([]string, error) {
	const (
		deadline   = 1500 * time.Millisecond
		baseRate   = 260.0 // requests a second, for both targets together
		burst      = 1.8
		burstTime  = 20 * time.Second
		burstPause = 8 * time.Second
		bursts     = 3
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
		t, err := m.startTarget(fmt.Sprintf("i-%d", i+1), 108, 110*time.Millisecond)
		if err != nil {
			return nil, err
		}
		t.size = downloadBytes
		if service == "files" {
			targets = append(targets, t)
		}
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	if err := d.writeConfig(1, rule("pull", "non_idempotent", "/pull/", "files", 0, 0.4, 1.5, 2)); err != nil {
		return nil, err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	var watches []func() int
	for _, m := range d.machines {
		watches = append(watches, m.watchMemory())
	}
	c := newClients(d)
	c.keepConnections()
	send := func(rate float64, duration time.Duration) {
		for _, m := range d.machines {
			c.sendSteadily(m, "POST", "/pull/x", deadline, rate/float64(len(d.machines)), duration)
		}
	}
	send(baseRate, burstPause+bursts*(burstTime+burstPause))
	for range bursts {
		time.Sleep(burstPause)
		if trouble {
			d.rec.notef("a burst begins")
			send(baseRate*(burst-1), burstTime)
		}
		time.Sleep(burstTime)
	}
	c.open.Wait()
	var stopping sync.WaitGroup
	kills := make([]int, len(watches))
	for i, stop := range watches {
		stopping.Go(func() { kills[i] = stop() })
	}
	stopping.Wait()
	return overMemory(d, c, targets, kills), nil
}

// overMemory applies two rules. LOST: a machine passes a request from a kept connection on to
// a sound target and closes that connection without an answer, more than three times; a process
// that ends by itself counts as running. Fault: on a tenth of the machines, two at least,
// processes end by themselves three times, and memory over the limit counts.
func overMemory(d *deployment, c *clients, targets []*target, kills []int) []string {
	const (
		allowedLost = 3
		ends        = 3
	)
	machines := 0
	for i, count := range kills {
		d.rec.notef("%s node was killed %d times for its memory", d.machines[i].name, count)
		if count >= ends {
			machines++
		}
	}
	answers := c.byID()
	ran, unserved := 0, 0
	lost := make(map[string]int)
	for _, t := range targets {
		for _, r := range t.allRuns() {
			ran++
			a := answers[r.id]
			if a.status == 200 {
				continue
			}
			unserved++
			if a.status == 0 && a.reused {
				lost[a.machine]++
			}
		}
	}
	d.rec.notef("%d requests ran; the clients of %d of them got no answer of the target", ran, unserved)
	var broken []string
	for machine, count := range lost {
		if count > allowedLost {
			broken = append(broken, fmt.Sprintf("LOST: %s passed %d requests from kept connections on, which ran, and closed these connections without an answer", machine, count))
		}
	}
	if machines >= max(2, len(kills)/10) {
		broken = append(broken, fmt.Sprintf("Fault: on %d of %d machines the node exceeded %d MB %d times or more", machines, len(kills), memoryLimitMB, ends))
	}
	return broken
}
