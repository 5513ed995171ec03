//go:build review3

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/process/announcer"
)

const (
	churnHost = "jepu9.example"
	// churnMachines is the number of machines that are added and removed for good, churnAtOnce that of
	// those which are there at the same time.
	churnMachines = 560
	churnAtOnce   = 12
	// churnDown is how long all processes are down at the end, as the site file has it for kill_all.
	churnDown = 670 * time.Millisecond
	// churnRecovery is recoveryS.
	churnRecovery = 15 * time.Second
	// churnRequests is the number of requests before the final fault, and again after the recovery.
	churnRequests = 240
)

// churnZones are the zones of the site file. Each has four machines, one a service.
var churnZones = []struct{ name, region string }{
	{"olk-a", "ol-kalou"}, {"eng-a", "engineer"}, {"nja-a", "njabini"}, {"olk-b", "ol-kalou"}, {"eng-b", "engineer"}, {"nja-b", "njabini"},
}

// churnServices are the services of the site file. A run of each calls the next one.
var churnServices = []string{"huvo11a", "wuno96b", "kafi81c", "lovo22d"}

// runChurn plays a zone whose machines are replaced again and again, and then the end of all processes
// at once.
func runChurn(f *fleet) (verdict, error) {
	rules := []rule{}
	for i, service := range churnServices {
		rules = append(rules,
			rule{name: "r-" + service, kind: "safe", prefix: fmt.Sprintf("/kind%d/", i), service: service, timeout: 3, attempts: 2},
			rule{name: "r-inner-" + service, kind: "safe", prefix: fmt.Sprintf("/inner%d/", i), service: service, timeout: 2, attempts: 2})
	}
	if err := f.configure(7, churnHost, rules); err != nil {
		return notRun, err
	}
	var machines []*node
	for _, zone := range churnZones {
		for kind, service := range churnServices {
			n, err := f.addNode(fmt.Sprintf("sidecar-%s-%d", zone.name, kind+1), zone.name, zone.region, service)
			if err != nil {
				return notRun, err
			}
			if err := n.start(); err != nil {
				return notRun, err
			}
			if err := n.startBackend(callNext(kind)); err != nil {
				return notRun, err
			}
			machines = append(machines, n)
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(3 * time.Second)
	if trouble() {
		if err := f.churn(); err != nil {
			return notRun, err
		}
		time.Sleep(6 * time.Second)
	}
	before := f.measure(machines, "b", "before the final fault")
	f.record.line("all processes are killed")
	for _, n := range machines {
		n.signal(syscall.SIGKILL)
	}
	time.Sleep(churnDown)
	for _, n := range machines {
		n.kill()
		if err := n.start(); err != nil {
			return notRun, err
		}
	}
	time.Sleep(churnRecovery)
	after := f.measure(machines, "a", "later than recoveryS after the machines are back")
	switch {
	case 4*before < churnRequests:
		return notRun, errors.New("less than a quarter was served before the final fault")
	case 4*after < churnRequests:
		return broken, nil
	}
	return held, nil
}

// callNext returns what a backend server does: a run calls the next service, and fails if that does.
func callNext(kind int) func(b *backend, conn net.Conn, r *http.Request, body []byte) bool {
	return func(b *backend, conn net.Conn, r *http.Request, body []byte) bool {
		if strings.HasPrefix(r.URL.Path, "/inner") {
			time.Sleep(15 * time.Millisecond)
			return b.answer(conn, r, 200, "", "ran by "+b.id)
		}
		c := &client{address: b.node.outbound}
		defer c.close()
		got := c.do(request{
			method: "GET", host: churnHost, path: fmt.Sprintf("/inner%d/2f", (kind+1)%len(churnServices)),
			id: r.Header.Get("X-Laburnumshelf-Request-Id") + ".1", deadline: 2 * time.Second,
		})
		if !got.served() {
			return b.answer(conn, r, 500, "", "a call failed")
		}
		return b.answer(conn, r, 200, "", "ran by "+b.id)
	}
}

// churn adds machines and removes them for good, with the names and addresses of their own. Each stays
// until it has written itself to the store.
func (f *fleet) churn() error {
	began := time.Now()
	var next, failed atomic.Int64
	var group sync.WaitGroup
	for range churnAtOnce {
		group.Go(func() {
			for {
				i := next.Add(1)
				if i > churnMachines {
					return
				}
				if err := f.passBy(fmt.Sprintf("sidecar-olk-b-%d", int64(len(churnServices))+i)); err != nil {
					failed.Add(1)
				}
			}
		})
	}
	group.Wait()
	entries, err := f.store.Newest(context.Background(), announcer.MembersTable)
	if err != nil {
		return err
	}
	f.record.line("%d machines of zone olk-b were added and removed in %.1f s (%d failed); the table of the members has %d records", churnMachines, time.Since(began).Seconds(), failed.Load(), len(entries.Entries))
	return nil
}

// passBy starts a machine, and removes it once its record is in the store.
func (f *fleet) passBy(name string) error {
	n, err := f.newNode(name, "olk-b", "ol-kalou", churnServices[0])
	if err != nil {
		return err
	}
	defer n.output.Close()
	if err := n.start(); err != nil {
		return err
	}
	defer n.kill()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f.hasMember(name) {
			return nil
		}
	}
	return fmt.Errorf("machine %s is not in the store", name)
}

func (f *fleet) hasMember(name string) bool {
	entries, err := f.store.Newest(context.Background(), announcer.MembersTable)
	if err != nil {
		return false
	}
	for _, entry := range entries.Entries {
		if entry.Key == name {
			return true
		}
	}
	return false
}

// measure sends requests of all kinds to all machines and returns the number of those that were served.
func (f *fleet) measure(machines []*node, prefix, when string) int {
	served := 0
	ends := map[string]int{}
	for i := range churnRequests {
		entry := machines[i%len(machines)]
		q := request{method: "GET", host: churnHost, path: fmt.Sprintf("/kind%d/2f", (i/len(machines))%len(churnServices)), id: fmt.Sprintf("%s%04d", prefix, i), deadline: 5 * time.Second}
		c := &client{address: entry.outbound}
		got := c.do(q)
		c.close()
		f.record.line("request %s to %s, sent to %s: the client gets %s", q.id, q.path, entry.name, got)
		if got.served() {
			served++
		}
		ends[fmt.Sprint(got.status)]++
		time.Sleep(20 * time.Millisecond)
	}
	f.record.line("%s: %d of %d requests served; statuses %v", when, served, churnRequests, ends)
	return served
}

func init() {
	cases["churn"] = runChurn
}
