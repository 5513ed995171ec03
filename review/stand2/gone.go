//go:build review2

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// goneClients is the number of clients that leave, each goneAfter its request began.
	goneClients = 60
	goneAfter   = time.Second
	// goneBytes is the length of a body. The limit maxBodyBytes is 64 MiB.
	goneBytes = 2 << 20
	// goneSlack is the time after which a target may no longer be at work.
	goneSlack = 500 * time.Millisecond
	// goneWork is how long a target works after it has read the body.
	goneWork = 7 * time.Second
)

// playGone lets clients leave while they send a long body to a target that reads slowly.
func playGone(d *deployment) (bool, error) {
	reader, err := d.addMachine("cartographer", mapSlots)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	ended := make(map[string]time.Time)
	reader.target.work = func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			mu.Lock()
			defer mu.Unlock()
			ended[r.Header.Get(headerID)] = time.Now()
			d.logf("target ends %s", r.Header.Get(headerID))
		}()
		for {
			if _, err := io.CopyN(io.Discard, r.Body, readChunk); err == io.EOF {
				break
			} else if err != nil {
				return
			}
			if d.trouble {
				time.Sleep(readPeriod)
			}
		}
		select {
		case <-r.Context().Done():
		case <-time.After(goneWork):
			w.Write([]byte("ok"))
		}
	}
	entry, err := d.addMachine("allot", 140)
	if err != nil {
		return false, err
	}
	if err := d.configure(1, route{name: "map", kind: "safe", service: "cartographer", aim: 2, timeout: 8, attempts: 1, priority: 0}); err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	payload := bytes.Repeat([]byte("x"), goneBytes)
	var group sync.WaitGroup
	left := make(map[string]time.Time)
	for i := range goneClients {
		id := fmt.Sprintf("gone-%d", i)
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", entry.outbound.String(), time.Second)
			if err != nil {
				return
			}
			fmt.Fprintf(conn, "PUT /map/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
				clientHost, headerID, id, headerDeadline, uploadDeadline.Milliseconds(), len(payload))
			go conn.Write(payload)
			time.Sleep(goneAfter)
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			mu.Lock()
			left[id] = time.Now()
			mu.Unlock()
			d.logf("client of %s left", id)
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(uploadDeadline + time.Second)
	mu.Lock()
	defer mu.Unlock()
	counted, late := 0, 0
	for _, r := range reader.target.runsBetween(d.started, time.Now()) {
		gone, ok := left[r.id]
		if !ok {
			continue
		}
		counted++
		if end, ok := ended[r.id]; !ok || end.Sub(gone) > goneSlack {
			late++
		}
	}
	d.sayf("requests at the target whose client left: %d, still at work %v later: %d (more than a quarter breaks GONE)", counted, goneSlack, late)
	return late*4 > counted && counted > 0, nil
}
