//go:build review3

package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	weightsHost = "jepu9.example"
	// weightsPerRoute is the number of requests on each route that the second version changes.
	weightsPerRoute = 40
	// Routes of the configuration: the second version moves the first, drops the second, adds the third
	// and splits the fourth.
	weightsMoved   = "/puka111/"
	weightsDropped = "/kuso333/"
	weightsAdded   = "/vata222/"
	weightsSplit   = "/leny950/"
)

// runWeights plays a version that splits a route by weights that are no whole numbers.
func runWeights(f *fleet) (verdict, error) {
	const old, next = "wuno96b", "huvo11a"
	var entries []*node
	for i, service := range []string{old, old, next, next} {
		n, err := f.addNode(fmt.Sprintf("sidecar-olk-a-%d", i+1), "olk-a", "ol-kalou", service)
		if err != nil {
			return notRun, err
		}
		if err := n.start(); err != nil {
			return notRun, err
		}
		entries = append(entries, n)
		err = n.startBackend(func(b *backend, conn net.Conn, r *http.Request, body []byte) bool {
			time.Sleep(20 * time.Millisecond)
			return b.answer(conn, r, 200, "", b.node.service)
		})
		if err != nil {
			return notRun, err
		}
	}
	route := func(prefix, service string) rule {
		return rule{name: "r-" + prefix[1:5], kind: "safe", prefix: prefix, service: service, timeout: 3, attempts: 2}
	}
	if err := f.configure(7, weightsHost, []rule{route(weightsMoved, old), route(weightsDropped, old), route(weightsSplit, old)}); err != nil {
		return notRun, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(5 * time.Second)
	split := route(weightsSplit, "")
	split.parts = []part{{old, 199}, {next, 1}}
	if trouble() {
		split.parts = []part{{old, 99.5}, {next, 0.5}}
	}
	if err := f.configure(9, weightsHost, []rule{route(weightsMoved, next), route(weightsAdded, next), split}); err != nil {
		return notRun, err
	}
	// configApplyS is 2.
	time.Sleep(6 * time.Second)
	stale := 0
	for i := range weightsPerRoute {
		for _, prefix := range []string{weightsMoved, weightsDropped, weightsAdded} {
			entry := entries[i%len(entries)]
			q := request{method: "GET", host: weightsHost, path: prefix + "2f", id: fmt.Sprintf("%s%04d", prefix[1:5], i), deadline: 5 * time.Second}
			c := &client{address: entry.outbound}
			got := c.do(q)
			c.close()
			isOld := prefix == weightsMoved && got.served() && got.body == old ||
				prefix == weightsDropped && got.served() ||
				prefix == weightsAdded && got.status == 404
			if isOld {
				stale++
			}
			f.record.line("request %s on %s, sent to %s: the client gets %s, run by %q; as only version 7 allows: %v", q.id, prefix, entry.name, got, got.body, isOld)
		}
	}
	f.record.line("%d of %d requests were handled as only the older version allows, 6 s after the store had acknowledged the newer one", stale, 3*weightsPerRoute)
	if stale > 0 {
		return broken, nil
	}
	return held, nil
}

func init() {
	cases["weights"] = runWeights
}
