package main

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// soakRun is the work of a backend server on one request.
type soakRun struct {
	service string
	began   time.Time
	ended   time.Time
	// canceled reports that the node closed the connection of the request before the run ended.
	canceled bool
}

// soakExchange is a request and how it ended. The status is 0 without a whole answer.
type soakExchange struct {
	id      string
	machine *soakMachine
	route   string
	// highLoad reports that the request was sent under high load.
	highLoad bool
	// deadline is the time that the request states.
	deadline time.Duration
	sent     time.Time
	ended    time.Time
	status   int
	// own reports that the answer is the node's, not a backend server's.
	own bool
}

// soakConfig is a version of the operator's configuration.
type soakConfig struct {
	written time.Time
	// timeouts are those of the routes.
	timeouts map[string]time.Duration
}

func (s *soak) beginRun(id, service string) *soakRun {
	run := &soakRun{
		service: service,
		began:   time.Now(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id] = append(s.runs[id], run)
	return run
}

func (s *soak) endRun(run *soakRun, canceled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.ended, run.canceled = time.Now(), canceled
}

// timeout returns the shortest time that the request has by its deadline, or by its route in a
// configuration that may be in force before it ends. The caller holds s.mu.
func (s *soak) timeout(e soakExchange) time.Duration {
	shortest := e.deadline
	for i, config := range s.configs {
		replaced := i+1 < len(s.configs) && s.configs[i+1].written.Add(soakApply).Before(e.sent)
		if config.written.Before(e.ended) && !replaced {
			shortest = min(shortest, config.timeouts[e.route])
		}
	}
	return shortest
}

// judge returns what is wrong with an exchange under the rules for planned stops, or "". The
// caller holds s.mu.
func (s *soak) judge(e soakExchange) string {
	var term time.Time
	for _, t := range e.machine.terms {
		if t.Before(e.ended) && e.sent.Before(t.Add(soakGrace+time.Second)) {
			term = t
		}
	}
	mayBeCut := e.sent.Before(term.Add(soakLinger))
	lastSixth := term.Add(soakGrace * 5 / 6)
	ran, excused, brokenOff, replaced := false, false, false, false
	for _, run := range s.runs[e.id] {
		ran = true
		atWork := run.ended.IsZero() || run.ended.After(e.ended)
		workedUntil := run.ended
		if atWork {
			workedUntil = e.ended
		}
		switch {
		case mayBeCut && workedUntil.After(lastSixth):
			excused = excused || atWork
		case atWork || run.canceled:
			brokenOff = true
		default:
			replaced = true
		}
	}
	lasted := e.ended.Sub(e.sent)
	timedOut := e.status == http.StatusGatewayTimeout && lasted > max(s.timeout(e)-soakTimeoutSlack, s.shape.minTimeout)
	refused := e.status == http.StatusServiceUnavailable || e.status == http.StatusTooManyRequests
	switch {
	case e.status == 0 && ran && !excused:
		return "ran and got no whole answer"
	case e.status == 0 && !ran && lasted > soakLossSlack:
		return "got no answer long after it was sent"
	case e.own && brokenOff && !timedOut && e.status != 0:
		return "got an answer of the node's own while the backend server was at work"
	case e.own && ran && refused:
		return "was refused as not run and ran"
	case e.own && replaced && !timedOut && e.status != 0:
		return "got an answer of the node's own in place of the backend server's"
	}
	return ""
}

// report prints each exchange that breaks a rule, and fails the test if there is one.
func (s *soak) report(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	statuses := make(map[int]int)
	broken := make(map[string]int)
	count := 0
	for _, e := range s.exchanges {
		statuses[e.status]++
		verdict := s.judge(e)
		if verdict == "" {
			continue
		}
		broken[verdict]++
		if count++; count <= 20 {
			s.t.Errorf("request %s (%s) at %s, sent %s after SIGTERM, status %d after %s of %s: %s",
				e.id, e.route, e.machine.name, sinceStop(e), e.status, e.ended.Sub(e.sent), s.timeout(e), verdict)
			s.logDecisions(e.id)
		}
	}
	s.t.Logf("seed %d: %d stops, %d requests by status %s, %d broken %s", seed, s.stopCount(), len(s.exchanges), toJSON(statuses), count, toJSON(broken))
	s.t.Logf("seed %d: part refused by route and load %s, part of runs that are repeats %s", seed, toJSON(s.refusedParts()), toJSON(s.repeatedParts()))
}

// logDecisions prints what the logs of the nodes say of a request. They may leave out lines.
func (s *soak) logDecisions(id string) {
	for _, m := range s.machines {
		content, err := os.ReadFile(filepath.Join(s.dir, m.name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(content)) {
			if strings.Contains(line, "request="+id+" ") {
				s.t.Logf("%s: %s", m.name, strings.TrimSpace(line))
			}
		}
	}
}

// sinceStop returns how long after the last stop of its node a request was sent, or -1 without one.
func sinceStop(e soakExchange) time.Duration {
	after := time.Duration(-1)
	for _, t := range e.machine.terms {
		if t.Before(e.ended) {
			after = e.sent.Sub(t)
		}
	}
	return after
}

func (s *soak) stopCount() int {
	stops := 0
	for _, m := range s.machines {
		stops += len(m.terms)
	}
	return stops
}

// refusedParts returns the part of the requests that got 503, by route and load. The caller holds
// s.mu.
func (s *soak) refusedParts() map[string]float64 {
	sent, refused := make(map[string]float64), make(map[string]float64)
	for _, e := range s.exchanges {
		key := e.route
		if e.highLoad {
			key += ", high load"
		}
		sent[key]++
		if e.status == http.StatusServiceUnavailable {
			refused[key]++
		}
	}
	for key, n := range sent {
		refused[key] /= n
	}
	return refused
}

// repeatedParts returns the part of the runs of each service that are not the first of their
// request. The caller holds s.mu.
func (s *soak) repeatedParts() map[string]float64 {
	all, repeated := make(map[string]float64), make(map[string]float64)
	for _, runs := range s.runs {
		for i, run := range runs {
			all[run.service]++
			if i > 0 {
				repeated[run.service]++
			}
		}
	}
	for service, n := range all {
		repeated[service] /= n
	}
	return repeated
}

func toJSON(value any) string {
	text, _ := json.Marshal(value)
	return string(text)
}
