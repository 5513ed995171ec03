package dialer

import (
	"time"
)

// sessionIdleTimeout is how long a session without calls stays open. A device between the
// nodes may drop the state of a connection that is idle for longer, and probes of all idle
// sessions would cost traffic for every pair of nodes.
const sessionIdleTimeout = 10 * time.Second

// maintain checks all sessions at regular intervals, until the dialer is closed. One
// goroutine serves all sessions, because a node wakes up for each timer.
func (d *Dialer) maintain() {
	ticker := time.NewTicker(d.config.ReadIdleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-d.done:
			return
		case now := <-ticker.C:
			for _, s := range d.openSessions() {
				d.check(now, s)
			}
		}
	}
}

// addSession registers a session and reports whether the dialer is still open.
func (d *Dialer) addSession(s *session) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.sessions[s] = true
	d.maintenance.Do(func() {
		go d.maintain()
	})
	return true
}

// openSessions removes the closed sessions and returns the others.
func (d *Dialer) openSessions() []*session {
	d.mu.Lock()
	defer d.mu.Unlock()
	open := make([]*session, 0, len(d.sessions))
	for s := range d.sessions {
		if s.IsClosed() {
			delete(d.sessions, s)
			continue
		}
		open = append(open, s)
	}
	return open
}

// check closes a session that was replaced and has no call left, detaches one without calls
// for sessionIdleTimeout, and probes one that has calls but receives no data.
//
// A session is closed one interval after it was detached at the earliest, so that a call
// that was about to use it has opened its stream by then.
func (d *Dialer) check(now time.Time, s *session) {
	if s.NumStreams() == 0 {
		switch {
		case !s.peer.isCurrent(s):
			// A silent peer must not delay the checks of the other sessions.
			go s.Close()
		case now.Sub(time.Unix(0, s.lastOpen.Load())) > sessionIdleTimeout:
			s.peer.detach(s)
		}
		return
	}
	if now.Sub(time.Unix(0, s.conn.lastRead.Load())) >= d.config.ReadIdleTimeout && s.probing.CompareAndSwap(false, true) {
		go d.probe(s)
	}
}

// probe closes a session that does not answer a ping.
func (d *Dialer) probe(s *session) {
	defer s.probing.Store(false)
	if !answersPing(s, d.config.ReadIdleTimeout) {
		s.abort()
	}
}

// probeSteps is the number of parts in which the wait for the answer to a ping is measured.
const probeSteps = 7

// answersPing sends a ping and reports whether any data arrives within timeout. The time counts
// only while the own process runs: after a stand still, the answer of the peer may be there but
// not read yet.
func answersPing(s *session, timeout time.Duration) bool {
	started := time.Now()
	answered := make(chan error, 1)
	go func() {
		_, err := s.Ping()
		answered <- err
	}()
	step := timeout / probeSteps
	timer := time.NewTimer(step)
	defer timer.Stop()
	// Half of the steps may be late, so that a connection without data is closed also if the
	// processor is always busy.
	silent := 0
	for range 2 * probeSteps {
		stepStarted := time.Now()
		select {
		case err := <-answered:
			return err == nil
		case <-timer.C:
		}
		if s.conn.lastRead.Load() > started.UnixNano() {
			return true
		}
		if time.Since(stepStarted) < 2*step {
			silent++
		}
		if silent == probeSteps {
			return false
		}
		timer.Reset(step)
	}
	return false
}
