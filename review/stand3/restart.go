//go:build review3

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	restartHost = "jepu9.example"
	// restartStep is how far the time of day of the machine was ahead when the first start began.
	restartStep = 2 * time.Second
	// restartDrain is drainS. The second start serves for restartStays after the acknowledgement. A run
	// takes restartRun.
	restartDrain = 2 * time.Second
	restartStays = 4 * time.Second
	restartRun   = 3 * time.Second
	// restartPause is the time between two requests.
	restartPause = 16 * time.Millisecond
)

// runRestart plays a backend server that crashes, starts again under its ID after the time of day has
// jumped back, and then leaves.
func runRestart(f *fleet) (verdict, error) {
	serve := func(b *backend, conn net.Conn, r *http.Request, body []byte) bool {
		time.Sleep(restartRun)
		headers := ""
		if b.state.Load() == "draining" {
			// A backend server that leaves says so in all its answers too.
			headers = "Server-Leaving: 1\r\n"
		}
		return b.answer(conn, r, 200, headers, "ran by "+b.id)
	}
	var entries []*node
	for i, service := range []string{"wuno96b", "wuno96b", "huvo11a", "huvo11a"} {
		n, err := f.addNode(fmt.Sprintf("sidecar-olk-a-%d", i+1), "olk-a", "ol-kalou", service)
		if err != nil {
			return notRun, err
		}
		if err := n.start(); err != nil {
			return notRun, err
		}
		if service == "huvo11a" {
			entries = append(entries, n)
		}
		if i == 0 {
			// Its backend server starts later.
			continue
		}
		if err := n.startBackend(serve); err != nil {
			return notRun, err
		}
	}
	leaving := f.nodes[0]
	err := f.configure(7, restartHost, []rule{
		{name: "r-u6wsjnb", kind: "non_idempotent", prefix: "/puka111/", service: "wuno96b", timeout: 8, attempts: 2},
		{name: "r-zs989an", kind: "safe", prefix: "/leny950/", service: "huvo11a", timeout: 3, attempts: 2},
	})
	if err != nil {
		return notRun, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)

	began := time.Now()
	ahead := time.Duration(0)
	if trouble() {
		ahead = restartStep
	}
	first, err := leaving.startBackendAt(serve, began.Add(ahead))
	if err != nil {
		return notRun, err
	}
	f.record.line("first start of %s, the time of day is ahead by %s", first.id, ahead)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var sent, lost atomic.Int64
	group.Go(func() {
		time.Sleep(time.Until(began.Add(1800 * time.Millisecond)))
		for k := 0; ; k++ {
			select {
			case <-stop:
				return
			case <-time.After(restartPause):
			}
			entry := entries[k%len(entries)]
			group.Go(func() {
				q := request{method: "POST", host: restartHost, path: "/puka111/2f", id: fmt.Sprintf("c%04d", k), deadline: 8 * time.Second, body: "plot 17"}
				c := &client{address: entry.outbound}
				got := c.do(q)
				c.close()
				sent.Add(1)
				if !got.served() && got.status != 503 {
					lost.Add(1)
					f.record.line("request %s, sent to %s: the client gets %s", q.id, entry.name, got)
				}
			})
		}
	})
	time.Sleep(time.Until(began.Add(500 * time.Millisecond)))
	if trouble() {
		f.record.line("the time of day jumps back by %s", restartStep)
	}
	time.Sleep(time.Until(began.Add(1300 * time.Millisecond)))
	first.crash()
	f.record.line("the first start crashes, after %d requests", first.runs.Load())
	time.Sleep(time.Until(began.Add(1700 * time.Millisecond)))
	second, err := leaving.startBackendAt(serve, time.Now())
	if err != nil {
		return notRun, err
	}
	f.record.line("second start of %s, born %d ms after the first by its own clock", second.id, second.born.Sub(first.born).Milliseconds())
	time.Sleep(time.Until(began.Add(2200 * time.Millisecond)))
	second.state.Store("draining")
	if !second.report("draining") {
		return notRun, fmt.Errorf("the heartbeat was not acknowledged")
	}
	acknowledged := time.Now()
	f.record.line("draining reported and acknowledged")
	time.Sleep(time.Until(acknowledged.Add(restartStays)))
	second.deregister()
	arrivals := second.arrivalsAfter(acknowledged.Add(restartDrain))
	f.record.line("the second start deregisters and ends")
	second.crash()
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	f.record.line("%d requests sent, %d of them answered with neither success nor a true refusal", sent.Load(), lost.Load())
	for _, arrival := range arrivals {
		f.record.line("request %s reached the backend server %.3f s after the acknowledgement", arrival.id, arrival.at.Sub(acknowledged).Seconds())
	}
	f.record.line("%d requests reached it later than drainS after the acknowledgement", len(arrivals))
	if len(arrivals) > 0 {
		return broken, nil
	}
	return held, nil
}

func init() {
	cases["restart"] = runRestart
}
