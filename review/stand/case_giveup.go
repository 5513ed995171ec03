//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

// download sends one request whose answer the client reads at a rate. The client leaves after a
// time, if that is not 0.
func (c *clients) download(m *machine, path string, deadline time.Duration, bytesPerSecond int, leaveAfter time.Duration) {
	c.mu.Lock()
	c.count++
	a := answer{machine: m.name, id: fmt.Sprintf("%08x", c.count), method: http.MethodGet, path: path, sent: time.Now()}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	if leaveAfter > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), leaveAfter)
		a.left = true
	}
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.addr(m.d.ports.outbound)+path, nil)
	if err != nil {
		return
	}
	req.Host = "h.example"
	req.Header.Set("X-Laburnumshelf-Request-Id", a.id)
	req.Header.Set("X-Laburnumshelf-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.d.rec.notef("client at %s sends %s GET %s, leaves after %s", m.name, a.id, path, leaveAfter)
	read := 0
	resp, err := c.http.Do(req)
	if err == nil {
		a.status = resp.StatusCode
		const part = 64 << 10
		for err == nil {
			var n int64
			n, err = io.CopyN(io.Discard, resp.Body, part)
			read += int(n)
			time.Sleep(time.Second * part / time.Duration(bytesPerSecond))
		}
		resp.Body.Close()
		if err == io.EOF {
			err = nil
		}
	}
	a.err, a.at = err, time.Now()
	c.d.rec.notef("client at %s got %s: status %d, %d bytes, error %v", m.name, a.id, a.status, read, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
}

// limitWindows gives the clients' connections small windows, as the links of the platform have.
func (c *clients) limitWindows() {
	const windowBytes = 64 << 10
	dialer := &net.Dialer{Control: func(_, _ string, conn syscall.RawConn) error {
		var err error
		if controlErr := conn.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	c.http.Transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext, ReadBufferSize: 64 << 10}
}

// playGiveUp adds a route to downloads, and lets some of their clients leave for a while.
func playGiveUp(d *deployment, trouble bool) ([]string, error) {
	const (
		entries    = 3 // machines whose clients send requests
		slots      = 25
		size       = 5_500_000
		readRate   = 24_000_000 // bytes a second of one client
		deadline   = 3 * time.Second
		rate       = 20.0 // downloads a second
		leaving    = 0.3
		leaveTime  = 5500 * time.Millisecond
		leavePause = 2 * time.Second
		leaveIn    = 70 * time.Millisecond
		calmTime   = 10 * time.Second
	)
	var target *target
	for i := range 4 {
		service := "front"
		if i >= 2 {
			service = "pages"
		}
		if i == 3 {
			service = "files"
		}
		m, err := d.addMachine(service, "z1", "r1")
		if err != nil {
			return nil, err
		}
		t, err := m.startTarget(fmt.Sprintf("i-%d", i+1), slots, 20*time.Millisecond)
		if err != nil {
			return nil, err
		}
		if service == "files" {
			t.size = size
			target = t
		}
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	first := rule("page", "safe", "/page/", "pages", 1, 1.5, 3, 2)
	if err := d.writeConfig(1, first); err != nil {
		return nil, err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if err := d.writeConfig(2, first, rule("file", "safe", "/file/", "files", 1, 1.5, 3, 2)); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	c := newClients(d)
	c.limitWindows()
	begin := time.Now()
	leaveFrom := begin.Add(4 * time.Second)
	leaveAgain := leaveFrom.Add(leaveTime + leavePause)
	calm := leaveAgain.Add(leaveTime + stability)
	end := calm.Add(calmTime)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for n := 0; time.Now().Before(end); n++ {
		<-ticker.C
		m := d.machines[n%entries]
		leaves := time.Duration(0)
		now := time.Now()
		giveUp := within(now, leaveFrom, leaveTime) || within(now, leaveAgain, leaveTime)
		if trouble && giveUp && float64(n%10) < 10*leaving {
			leaves = leaveIn
		}
		c.open.Go(func() { c.download(m, "/file/x", deadline, readRate, leaves) })
		c.open.Go(func() { c.download(m, "/page/x", deadline, readRate, 0) })
	}
	c.open.Wait()
	return unservedRoute(d.rec, c, target, leaveFrom, calm), nil
}

// within reports whether a time lies in a span.
func within(t, from time.Time, length time.Duration) bool {
	return t.After(from) && t.Before(from.Add(length))
}

// unservedRoute applies the rule CONFIG: in steady state, machines in touch get 20 or more
// requests on routes that were added later, and serve them less than a quarter as often as those
// on the first routes.
func unservedRoute(rec *recorder, c *clients, t *target, before, calm time.Time) []string {
	const enough = 20
	sent, served := make(map[string]int), make(map[string]int)
	early, earlyServed, left := 0, 0, 0
	for _, a := range c.all() {
		ok := a.status == http.StatusOK && a.err == nil
		if a.left {
			left++
		}
		if a.path == "/file/x" && a.sent.Before(before) {
			early++
			if ok {
				earlyServed++
			}
		}
		if a.sent.After(calm) {
			sent[a.path]++
			if ok {
				served[a.path]++
			}
		}
	}
	ran := 0
	for _, r := range t.allRuns() {
		if r.at.After(calm) {
			ran++
		}
	}
	rec.notef("before the trouble %d of %d downloads were served; %d clients left; in the calm time after it %d of %d downloads and %d of %d pages were served, and the target ran %d requests",
		earlyServed, early, left, served["/file/x"], sent["/file/x"], served["/page/x"], sent["/page/x"], ran)
	added := float64(served["/file/x"]) / float64(max(sent["/file/x"], 1))
	firsts := float64(served["/page/x"]) / float64(max(sent["/page/x"], 1))
	if sent["/file/x"] < enough || added >= firsts/4 {
		return nil
	}
	return []string{fmt.Sprintf("CONFIG: in steady state %d of %d requests on the route that was added were served, %d of %d on the first one; %d clients had left before",
		served["/file/x"], sent["/file/x"], served["/page/x"], sent["/page/x"], left)}
}
