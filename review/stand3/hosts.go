//go:build review3

package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// hostsPerHost is the number of requests to each host.
	hostsPerHost = 100
	hostsPlain   = "jepu9.example"
	// maxDenied is the number of answers of its own that the rule lets pass.
	maxDenied = 10
)

// runHosts plays a configuration that names a host with a capital letter. The clients send the name as
// the configuration has it.
func runHosts(f *fleet) (verdict, error) {
	second := "hulo84.example"
	if trouble() {
		second = "Hulo84.example"
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
		entries = append(entries, n)
		err = n.startBackend(func(b *backend, conn net.Conn, r *http.Request, body []byte) bool {
			time.Sleep(20 * time.Millisecond)
			return b.answer(conn, r, 200, "", "ran by "+b.id)
		})
		if err != nil {
			return notRun, err
		}
	}
	err := f.configureHosts(7, map[string][]rule{
		hostsPlain: {{name: "r-u6wsjnb", kind: "non_idempotent", prefix: "/puka111/", service: "wuno96b", timeout: 3, attempts: 2}},
		second:     {{name: "r-zs989an", kind: "safe", prefix: "/leny950/", service: "huvo11a", timeout: 3, attempts: 2}},
	})
	if err != nil {
		return notRun, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(6 * time.Second)
	served, denied := map[string]int{}, map[string]int{}
	for i := range hostsPerHost {
		for host, q := range map[string]request{
			hostsPlain: {method: "POST", path: "/puka111/2f", body: "plot 17"},
			second:     {method: "GET", path: "/leny950/2f"},
		} {
			q.host, q.id, q.deadline = host, fmt.Sprintf("%s%04d", q.path[1:5], i), 5*time.Second
			entry := entries[i%len(entries)]
			c := &client{address: entry.outbound}
			got := c.do(q)
			c.close()
			f.record.line("request %s to %s%s, sent to %s: the client gets %s", q.id, host, q.path, entry.name, got)
			switch {
			case got.served():
				served[host]++
			case got.status == 404:
				denied[host]++
			}
		}
	}
	for _, host := range []string{hostsPlain, second} {
		f.record.line("host %s: %d requests, %d served, %d answered 404 by the node", host, hostsPerHost, served[host], denied[host])
	}
	if denied[hostsPlain]+denied[second] > maxDenied {
		return broken, nil
	}
	return held, nil
}

func init() {
	cases["hosts"] = runHosts
}
