//go:build review3

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	headersHost = "jepu9.example"
	// headersPerRoute is the number of requests on each route.
	headersPerRoute = 40
	// headersFirst is on the route of the first version. The next one adds routes: on headersAnswer the
	// answers name a file, on headersRequest the requests name a customer.
	headersFirst   = "/puka111/"
	headersAnswer  = "/vata222/"
	headersRequest = "/kuso333/"
)

// runHeaders plays a service whose new routes have names in ISO 8859-1 in their headers. The requests
// may run once at most.
func runHeaders(f *fleet) (verdict, error) {
	var targets, entries []*node
	name := "Mueller"
	if trouble() {
		name = "M\xfcller"
	}
	for i, service := range []string{"wuno96b", "wuno96b", "huvo11a", "huvo11a"} {
		n, err := f.addNode(fmt.Sprintf("sidecar-olk-a-%d", i+1), "olk-a", "ol-kalou", service)
		if err != nil {
			return notRun, err
		}
		if err := n.start(); err != nil {
			return notRun, err
		}
		if service == "wuno96b" {
			targets = append(targets, n)
		} else {
			entries = append(entries, n)
		}
		err = n.startBackend(func(b *backend, conn net.Conn, r *http.Request, body []byte) bool {
			time.Sleep(20 * time.Millisecond)
			headers := "Content-Type: application/pdf\r\n"
			if strings.HasPrefix(r.URL.Path, headersAnswer) {
				headers += "Content-Disposition: attachment; filename=\"" + name + ".pdf\"\r\n"
			}
			return b.answer(conn, r, 200, headers, "ran by "+b.id)
		})
		if err != nil {
			return notRun, err
		}
	}
	first := []rule{
		{name: "r-first", kind: "non_idempotent", prefix: headersFirst, service: "wuno96b", timeout: 3, attempts: 2},
		{name: "r-look", kind: "safe", prefix: "/leny950/", service: "huvo11a", timeout: 3, attempts: 2},
	}
	if err := f.configure(7, headersHost, first); err != nil {
		return notRun, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(5 * time.Second)
	added := append(first,
		rule{name: "r-answer", kind: "non_idempotent", prefix: headersAnswer, service: "wuno96b", timeout: 3, attempts: 2},
		rule{name: "r-request", kind: "non_idempotent", prefix: headersRequest, service: "wuno96b", timeout: 3, attempts: 2})
	if err := f.configure(9, headersHost, added); err != nil {
		return notRun, err
	}
	time.Sleep(6 * time.Second)
	var mu sync.Mutex
	served, ran := map[string]int{}, map[string]int{}
	var group sync.WaitGroup
	for _, prefix := range []string{headersFirst, headersAnswer, headersRequest} {
		group.Go(func() {
			for i := range headersPerRoute {
				entry := entries[i%len(entries)]
				q := request{method: "POST", host: headersHost, path: prefix + "2f", id: fmt.Sprintf("%s%04d", prefix[1:5], i), deadline: 5 * time.Second, body: "plot 17"}
				if prefix == headersRequest {
					q.headers = "X-Customer: " + name + "\r\n"
				}
				c := &client{address: entry.outbound}
				got := c.do(q)
				c.close()
				runs := targets[0].backend.countOf(q.id) + targets[1].backend.countOf(q.id)
				f.record.line("request %s on %s, sent to %s: ran %d times; the client gets %s", q.id, prefix, entry.name, runs, got)
				mu.Lock()
				ran[prefix] += runs
				if got.served() {
					served[prefix]++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	for _, prefix := range []string{headersFirst, headersAnswer, headersRequest} {
		f.record.line("route %s: %d requests, %d ran, %d served", prefix, headersPerRoute, ran[prefix], served[prefix])
	}
	if served[headersFirst] < headersPerRoute/2 {
		return notRun, fmt.Errorf("only %d requests on the first route were served", served[headersFirst])
	}
	// The routes that were added have twice as many requests as the first one.
	if 4*(served[headersAnswer]+served[headersRequest]) < 2*served[headersFirst] {
		return broken, nil
	}
	return held, nil
}

func init() {
	cases["headers"] = runHeaders
}
