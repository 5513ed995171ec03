//go:build review2

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case, from mela-camps-grown unless another source is named.
const (
	// memoryLimit is the memory of the machines of the service cartographer.
	memoryLimit = 184 << 20
	// mapSlots is the number of slots of the targets of cartographer.
	mapSlots = 280
	// uploads is the number of clients that send one long body each, of 923. One begins in each
	// uploadPeriod, so that all bodies together take 184 Mbit/s of the 200 of the machine's link.
	uploads      = 480
	uploadPeriod = time.Second / 60
	// uploadBytes is the length of a body. The limit maxBodyBytes is 64 MiB.
	uploadBytes = 384 << 10
	// uploadDeadline is shorter than the longest deadline, the 10 s of water-book.
	uploadDeadline = 8 * time.Second
	// A slow target reads readChunk bytes of a body in each readPeriod: a body in 7.7 s.
	readChunk  = 5 << 10
	readPeriod = 100 * time.Millisecond
)

// playSlowReaders sends long bodies to a target that reads slowly. The platform kills a process that
// exceeds its memory. Clients on the machine of that target use another service meanwhile.
func playSlowReaders(d *deployment) (bool, error) {
	reader, err := d.addMachine("cartographer", mapSlots)
	if err != nil {
		return false, err
	}
	var entries []*machine
	for range 2 {
		m, err := d.addMachine("allot", 140)
		if err != nil {
			return false, err
		}
		m.target.work = func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(210 * time.Millisecond)
			w.Write([]byte("ok"))
		}
		entries = append(entries, m)
	}
	reader.target.work = func(w http.ResponseWriter, r *http.Request) {
		for {
			if _, err := io.CopyN(io.Discard, r.Body, readChunk); err != nil {
				break
			}
			if d.trouble {
				time.Sleep(readPeriod)
			}
		}
		w.Write([]byte("ok"))
	}
	err = d.configure(1,
		route{name: "map", kind: "safe", service: "cartographer", aim: 2, timeout: 8, attempts: 1, priority: 0},
		route{name: "assign", kind: "safe", service: "allot", aim: 1.5, timeout: 5, attempts: 1, priority: 0})
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	ordinary := d.startCrowd("ordinary-", reader, 20, "GET", "/assign/1", 5*time.Second, 20*time.Millisecond)
	time.Sleep(2 * time.Second)
	killed := make(chan int, 1)
	go func() {
		killed <- d.enforceMemory(uploads*uploadPeriod + uploadDeadline)
	}()
	var group sync.WaitGroup
	payload := bytes.Repeat([]byte("x"), uploadBytes)
	for i := range uploads {
		group.Go(func() {
			upload(d, entries[i%len(entries)], fmt.Sprintf("upload-%d", i), payload)
		})
		time.Sleep(uploadPeriod)
	}
	group.Wait()
	kills := <-killed
	seen := ordinary.stop()
	return d.judgeKills(kills, seen), nil
}

// judgeKills reports whether processes were killed for their memory and so cut more than three requests
// on kept connections, which had been passed on to a target.
func (d *deployment) judgeKills(kills int, seen []exchange) bool {
	ran := make(map[string]bool)
	for _, m := range d.machines {
		for _, r := range m.target.runsBetween(d.started, time.Now()) {
			ran[r.id] = true
		}
	}
	cut := 0
	for _, e := range seen {
		if e.err != nil && !e.headSeen && e.kept && ran[e.id] {
			cut++
		}
	}
	for _, m := range d.machines {
		d.sayf("%s (%s): highest memory %d MB of %d MB", m.name, m.service, m.highest>>20, memoryLimit>>20)
	}
	d.sayf("processes that ended because of their memory: %d", kills)
	d.sayf("ordinary requests on the machine of that process: %s", summary(seen))
	d.sayf("requests on kept connections that were passed on and cut without an answer: %d (more than 3 break LOST)", cut)
	return kills > 0 && cut > 3
}

// platformRestart is the time until the platform starts a process again.
const platformRestart = 500 * time.Millisecond

// enforceMemory does what the platform does: it kills a process that exceeds its memory, and starts it
// again. It returns the number of kills.
func (d *deployment) enforceMemory(during time.Duration) int {
	kills := 0
	logged := time.Now()
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		due := time.Since(logged) > 200*time.Millisecond
		if due {
			logged = time.Now()
		}
		for _, m := range d.machines {
			if !m.running() {
				continue
			}
			now := m.residentBytes()
			m.highest = max(m.highest, now)
			if due {
				d.logf("%s: memory %d MB", m.name, now>>20)
			}
			if now <= memoryLimit {
				continue
			}
			kills++
			d.sayf("%s (%s): %d MB exceed its memory; the platform kills it", m.name, m.service, now>>20)
			m.signal(syscall.SIGKILL)
			m.awaitExit(time.Second)
			time.AfterFunc(platformRestart, func() {
				m.start()
			})
		}
	}
	time.Sleep(2 * platformRestart)
	return kills
}

// upload sends a request with a long body and reads the answer.
func upload(d *deployment, m *machine, id string, payload []byte) {
	conn, err := net.DialTimeout("tcp", m.outbound.String(), time.Second)
	if err != nil {
		d.logf("%s: no connection: %v", id, err)
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(uploadDeadline + time.Second))
	fmt.Fprintf(conn, "PUT /map/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		clientHost, headerID, id, headerDeadline, uploadDeadline.Milliseconds(), len(payload))
	go conn.Write(payload)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		d.logf("%s: %v", id, err)
		return
	}
	io.Copy(io.Discard, resp.Body)
	d.logf("%s: status %d", id, resp.StatusCode)
}
