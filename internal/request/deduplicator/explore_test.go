package deduplicator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// weakening disables parts of the at-most-once rule, to show that the exploration
// detects the resulting violations.
type weakening struct {
	ignoreIncarnation  bool
	noTombstone        bool
	retryUnknown       bool
	forgetBeforeExpiry bool
}

// message is a call or an answer on the network.
type message struct {
	holder      *holder
	token       *encoder.Token
	resolveOnly bool
	answer      *caller.Answer
}

// target is a simulated target. A restart replaces its table.
type target struct {
	id          string
	incarnation uint64
	table       *Table
	running     []*runningCall
	waiting     []*message
	pausedUntil time.Time
}

type runningCall struct {
	entry   *Entry
	token   *encoder.Token
	message *message
}

// holder is a node that received the call from the client and holds its token.
type holder struct {
	token    *encoder.Token
	pending  bool
	resolves int
	follows  int
	done     bool
}

// simulation runs one random interleaving of events.
type simulation struct {
	rng        *rand.Rand
	weakened   weakening
	now        time.Time
	targets    []*target
	network    []*message
	holders    []*holder
	firstToken *encoder.Token
	runs       map[string]int
	totalRuns  int
	// reportedNotRun holds the IDs of the tokens that were answered with NotRun.
	reportedNotRun map[string]bool
}

func newSimulation(seed uint64, weakened weakening) *simulation {
	s := &simulation{
		rng:            rand.New(rand.NewPCG(seed, 1)),
		weakened:       weakened,
		now:            time.Unix(1_800_000_000, 0),
		runs:           make(map[string]int),
		reportedNotRun: make(map[string]bool),
	}
	for i := range 3 {
		s.targets = append(s.targets, &target{id: fmt.Sprint("t", i)})
		s.restart(s.targets[i])
	}
	s.firstToken = s.newToken("")
	s.sendThroughNewHolder()
	return s
}

func (s *simulation) newToken(exclude string) *encoder.Token {
	for {
		t := s.targets[s.rng.IntN(len(s.targets))]
		if t.id != exclude {
			token := NewToken(s.now, t.id, t.incarnation, TokenLifetime)
			token.Id = fmt.Sprint(s.rng.Uint64())
			return token
		}
	}
}

// sendThroughNewHolder makes the client send its first token through one more node.
func (s *simulation) sendThroughNewHolder() {
	h := &holder{token: s.firstToken}
	s.holders = append(s.holders, h)
	s.sendCall(h, false)
}

func (s *simulation) sendCall(h *holder, resolveOnly bool) {
	h.pending = true
	s.network = append(s.network, &message{holder: h, token: h.token, resolveOnly: resolveOnly})
}

// restart replaces a target's process. Its running calls are lost, but stay in
// the count of runs.
func (s *simulation) restart(t *target) {
	t.incarnation++
	t.table = New(t.id, t.incarnation, DefaultLimits())
	t.running = nil
	t.waiting = nil
}

// runEvent makes one random event happen.
func (s *simulation) runEvent() {
	switch n := s.rng.IntN(100); {
	case n < 45:
		s.deliverMessage()
	case n < 62:
		s.finishCall()
	case n < 68:
		s.loseConnection()
	case n < 74 && len(s.holders) < 4:
		s.sendThroughNewHolder()
	case n < 80:
		s.restart(s.targets[s.rng.IntN(len(s.targets))])
	case n < 86:
		t := s.targets[s.rng.IntN(len(s.targets))]
		t.pausedUntil = s.now.Add(time.Duration(s.rng.Int64N(int64(2 * TokenLifetime))))
	case n < 90:
		// The clock may also step backwards.
		s.now = s.now.Add(time.Duration(s.rng.Int64N(int64(TokenLifetime))) - 5*time.Second)
	default:
		s.now = s.now.Add(time.Duration(s.rng.Int64N(int64(time.Second))))
	}
}

// deliverMessage delivers a random message from the network. The message may be
// lost instead, or stay on the network and be delivered again.
func (s *simulation) deliverMessage() {
	if len(s.network) == 0 {
		return
	}
	i := s.rng.IntN(len(s.network))
	m := s.network[i]
	if s.rng.IntN(6) > 0 {
		s.network = append(s.network[:i], s.network[i+1:]...)
		if s.rng.IntN(6) == 0 {
			return
		}
	}
	if m.answer != nil {
		s.handleAnswer(m)
		return
	}
	for _, t := range s.targets {
		if t.id == m.token.GetTarget() && !t.pausedUntil.After(s.now) {
			s.handleCall(t, m)
		}
	}
}

// handleCall handles a call at its target as the executor does.
func (s *simulation) handleCall(t *target, m *message) {
	token := m.token
	if s.weakened.ignoreIncarnation {
		token = &encoder.Token{Target: t.id, Incarnation: t.incarnation, Id: token.GetId(), ExpiresUnixNano: token.GetExpiresUnixNano()}
	}
	if s.weakened.noTombstone && m.resolveOnly && t.table.entries[token.GetId()] == nil {
		s.sendAnswer(m, caller.NotRun, caller.ReasonTombstone, s.newToken(t.id))
		return
	}
	if s.weakened.forgetBeforeExpiry {
		t.table.entries = make(map[string]*Entry)
	}
	entry, verdict := t.table.Begin(s.now, token, m.resolveOnly)
	switch verdict {
	case Run:
		if s.rng.IntN(3) == 0 {
			s.refuse(t, m, entry)
			return
		}
		t.running = append(t.running, &runningCall{entry: entry, token: m.token, message: m})
		s.runs[m.token.GetId()]++
		s.totalRuns++
	case Wait:
		t.waiting = append(t.waiting, m)
	case Refused:
		s.refuse(t, m, entry)
	case Replay:
		s.sendAnswer(m, caller.Answered, caller.ReasonReplayed, nil)
	case WrongIncarnation:
		s.sendAnswer(m, caller.Unknown, caller.ReasonIncarnation, nil)
	default:
		s.sendAnswer(m, caller.Unknown, caller.ReasonTokenExpired, nil)
	}
}

func (s *simulation) refuse(t *target, m *message, entry *Entry) {
	if entry.Successor() == nil {
		t.table.Refuse(entry, s.newToken(t.id))
	}
	// As in the executor, Refuse is called even if the successor is already set. It
	// then has no effect.
	t.table.Refuse(entry, nil)
	s.sendAnswer(m, caller.NotRun, caller.ReasonOverload, entry.Successor())
}

func (s *simulation) sendAnswer(m *message, outcome caller.Outcome, reason caller.Reason, successor *encoder.Token) {
	answer := caller.NewFailure(outcome, reason)
	answer.Successor = successor
	s.network = append(s.network, &message{holder: m.holder, token: m.token, answer: answer})
}

// finishCall finishes the oldest running call of a random target.
func (s *simulation) finishCall() {
	t := s.targets[s.rng.IntN(len(s.targets))]
	if len(t.running) == 0 || t.pausedUntil.After(s.now) {
		return
	}
	r := t.running[0]
	t.running = t.running[1:]
	t.table.Finish(r.entry, StoredAnswer{})
	s.sendAnswer(r.message, caller.Answered, caller.ReasonNone, nil)
	for _, m := range t.waiting {
		s.sendAnswer(m, caller.Answered, caller.ReasonReplayed, nil)
	}
	t.waiting = nil
}

// loseConnection breaks the connection of a random holder.
func (s *simulation) loseConnection() {
	h := s.holders[s.rng.IntN(len(s.holders))]
	if h.pending {
		s.advance(h, caller.NewFailure(caller.Unknown, caller.ReasonConnectionLost))
	}
}

func (s *simulation) handleAnswer(m *message) {
	if m.answer.Outcome == caller.NotRun {
		s.reportedNotRun[m.token.GetId()] = true
	}
	if m.holder.pending && m.holder.token == m.token {
		s.advance(m.holder, m.answer)
	}
}

// advance takes the next step of a holder as the dispatcher does.
func (s *simulation) advance(h *holder, answer *caller.Answer) {
	h.pending = false
	if s.weakened.retryUnknown && answer.Outcome == caller.Unknown {
		answer = caller.NewFailure(caller.NotRun, answer.Reason)
		answer.Successor = s.newToken("")
	}
	step := NextStep(answer, h.follows < 3, h.resolves < 4)
	switch {
	case step.Resolve:
		h.resolves++
		s.sendCall(h, true)
	case step.Successor != nil:
		h.follows++
		h.token = step.Successor
		s.sendCall(h, false)
	default:
		h.done = true
	}
}

// violation describes a violation of the at-most-once rule, or returns "" if there
// is none.
func (s *simulation) violation() string {
	if s.totalRuns > 1 {
		return fmt.Sprintf("the call ran %d times", s.totalRuns)
	}
	for id := range s.reportedNotRun {
		if s.runs[id] > 0 {
			return "a call that was reported as not run did run"
		}
	}
	return ""
}

// explore returns the first violation found, with the seed of its interleaving.
func explore(interleavings int, weakened weakening) (seed uint64, violation string) {
	const events = 60
	for seed := range uint64(interleavings) {
		s := newSimulation(seed, weakened)
		for range events {
			s.runEvent()
		}
		if v := s.violation(); v != "" {
			return seed, v
		}
	}
	return 0, ""
}

func TestAtMostOnceInEveryInterleaving(t *testing.T) {
	interleavings := 300_000
	if testing.Short() {
		interleavings = 20_000
	}
	if seed, got := explore(interleavings, weakening{}); got != "" {
		t.Errorf("seed %d: got %q, want no violation", seed, got)
	}
}

func TestExplorationDetectsWeakenedRules(t *testing.T) {
	for name, weakened := range map[string]weakening{
		"ignore the incarnation":            {ignoreIncarnation: true},
		"answer NotRun without a tombstone": {noTombstone: true},
		"retry elsewhere after Unknown":     {retryUnknown: true},
		"forget tokens before they expire":  {forgetBeforeExpiry: true},
	} {
		if _, got := explore(50_000, weakened); got == "" {
			t.Errorf("%s: got no violation, want one", name)
		}
	}
}

func TestExpiredTokenIsRejected(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := New("t", 1, DefaultLimits())
	token := NewToken(now, "t", 1, TokenLifetime)
	entry, _ := table.Begin(now, token, false)
	table.Finish(entry, StoredAnswer{})
	later := now.Add(TokenLifetime + time.Second)
	if _, got := table.Begin(later, token, false); got != Expired {
		t.Errorf("after expiry: got verdict %d, want Expired", got)
	}
	// The clock steps back after the table removed the token.
	if _, got := table.Begin(now, token, false); got != Expired {
		t.Errorf("after the clock stepped back: got verdict %d, want Expired", got)
	}
}

func TestRefuseKeepsFirstSuccessor(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := New("t", 1, DefaultLimits())
	entry, _ := table.Begin(now, NewToken(now, "t", 1, TokenLifetime), true)
	first, second := NewToken(now, "u", 1, TokenLifetime), NewToken(now, "v", 1, TokenLifetime)
	table.Refuse(entry, first)
	table.Refuse(entry, second)
	if got := entry.Successor(); got != first {
		t.Errorf("got successor %v, want the first %v", got, first)
	}
}

func TestBeginReportsTableFull(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	limits := DefaultLimits()
	limits.MaxEntries = 1
	table := New("t", 1, limits)
	table.Begin(now, NewToken(now, "t", 1, TokenLifetime), false)
	if _, got := table.Begin(now, NewToken(now, "t", 1, TokenLifetime), false); got != TableFull {
		t.Errorf("got verdict %d, want TableFull", got)
	}
}

func TestParseToken(t *testing.T) {
	token := NewToken(time.Unix(1_800_000_000, 0), "t", 7, TokenLifetime)
	got, err := ParseToken(FormatToken(token))
	if err != nil || got.GetId() != token.GetId() || got.GetIncarnation() != 7 {
		t.Errorf("got %v, %v, want %v", got, err, token)
	}
	for _, text := range []string{"", "!", "AAAA", FormatToken(&encoder.Token{Id: "x"})} {
		if _, err := ParseToken(text); err == nil {
			t.Errorf("ParseToken(%q): got no error, want one", text)
		}
	}
}
