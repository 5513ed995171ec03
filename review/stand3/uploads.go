//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	uploadsHost = "jepu9.example"
	// uploadBytes is the longest body that the site file has for plot-assign. It is sent in
	// uploadPieces at equal pauses, over uploadTime.
	uploadBytes  = 24000
	uploadPieces = 8
	uploadTime   = 1600 * time.Millisecond
	// uploadTimeout is the timeoutS of the route, and uploadDeadline what the clients wait.
	uploadTimeout  = 1.2
	uploadDeadline = 5 * time.Second
	uploadCount    = 40
	// answerSlack is the time after timeoutS in which a request must have its answer.
	answerSlack = 500 * time.Millisecond
)

// runUploads plays clients that send a body slowly: it is in after the timeout of the route, and well
// before the deadline of the client.
func runUploads(f *fleet) (verdict, error) {
	var targets, entries []*node
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
			return b.answer(conn, r, 200, "", "ran by "+b.id)
		})
		if err != nil {
			return notRun, err
		}
	}
	rules := []rule{
		{name: "r-u6wsjnb", kind: "non_idempotent", prefix: "/puka111/", service: "wuno96b", timeout: uploadTimeout, attempts: 2},
		{name: "r-zs989an", kind: "safe", prefix: "/leny950/", service: "huvo11a", timeout: uploadTimeout, attempts: 2},
	}
	if err := f.configure(7, uploadsHost, rules); err != nil {
		return notRun, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(6 * time.Second)
	results := make([]uploadResult, uploadCount)
	var group sync.WaitGroup
	for i := range uploadCount {
		time.Sleep(100 * time.Millisecond)
		group.Go(func() {
			results[i] = upload(entries[i%len(entries)].outbound, fmt.Sprintf("u%04d", i))
		})
	}
	group.Wait()
	open, unanswered, answered := 0, 0, 0
	for i, result := range results {
		id := fmt.Sprintf("u%04d", i)
		runs := targets[0].backend.countOf(id) + targets[1].backend.countOf(id)
		f.record.line("request %s: ran %d times; %s", id, runs, result)
		if result.status != 0 {
			answered++
		}
		if limit := time.Duration(uploadTimeout * float64(time.Second)); result.status == 0 || result.took > limit {
			open++
			if result.status == 0 || result.took > limit+answerSlack {
				unanswered++
			}
		}
	}
	f.record.line("%d of %d requests had an answer; %d were unanswered at timeoutS, %d of them half a second later", answered, uploadCount, open, unanswered)
	if open >= 8 && 2*unanswered > open {
		return broken, nil
	}
	return held, nil
}

// uploadResult is what the client got. took is the time from the first byte sent to the answer or to
// the end of the connection.
type uploadResult struct {
	status int
	took   time.Duration
	err    error
}

func (u uploadResult) String() string {
	if u.status == 0 {
		return fmt.Sprintf("no answer, the connection ended after %.3f s: %v", u.took.Seconds(), u.err)
	}
	return fmt.Sprintf("answer %d after %.3f s", u.status, u.took.Seconds())
}

// upload sends one request and waits for its answer. It reads while it sends.
func upload(address, id string) uploadResult {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return uploadResult{err: err}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(uploadDeadline))
	q := request{method: "POST", host: uploadsHost, path: "/puka111/2f", id: id, deadline: uploadDeadline, body: strings.Repeat("p", uploadBytes)}
	text := q.encode()
	began := time.Now()
	go func() {
		head := len(text) - uploadBytes
		io.WriteString(conn, text[:head])
		for i := range uploadPieces {
			if trouble() {
				time.Sleep(uploadTime / uploadPieces)
			}
			piece := uploadBytes / uploadPieces
			if _, err := io.WriteString(conn, text[head+i*piece:head+(i+1)*piece]); err != nil {
				return
			}
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return uploadResult{took: time.Since(began), err: err}
	}
	_, err = io.ReadAll(resp.Body)
	return uploadResult{status: resp.StatusCode, took: time.Since(began), err: err}
}

func init() {
	cases["uploads"] = runUploads
}
