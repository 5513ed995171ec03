package deduplicator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// rule weakens the at-most-once rule, to show that the exploration notices.
type rule struct {
	ignoreIncarnation bool
	noTombstone       bool
	followUnknown     bool
	forgetEarly       bool
}

// copyOf is one copy of a call or of an answer on the network.
type copyOf struct {
	holder *holder
	token  *encoder.Token
	ask    bool
	answer *caller.Answer
}

// target is one target: a table that a restart replaces, and calls that run.
type target struct {
	id          string
	incarnation uint64
	table       *Table
	running     []*running1
	waiting     []*copyOf
	pausedUntil time.Time
}

type running1 struct {
	entry *Entry
	token *encoder.Token
	from  *copyOf
}

// holder is a node that holds the token for the client.
type holder struct {
	token    *encoder.Token
	pending  bool
	resolves int
	follows  int
	done     bool
}

// world is one interleaving.
type world struct {
	rng     *rand.Rand
	rule    rule
	now     time.Time
	targets []*target
	network []*copyOf
	holders []*holder
	first   *encoder.Token
	runs    map[string]int
	total   int
	// claimed are the tokens of which some answer said that they did not run.
	claimed map[string]bool
}

func newWorld(seed uint64, weak rule) *world {
	w := &world{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		rule:    weak,
		now:     time.Unix(1_800_000_000, 0),
		runs:    make(map[string]int),
		claimed: make(map[string]bool),
	}
	for i := range 3 {
		w.targets = append(w.targets, &target{id: fmt.Sprint("t", i)})
		w.restart(w.targets[i])
	}
	w.first = w.mint("")
	w.resend()
	return w
}

func (w *world) mint(exclude string) *encoder.Token {
	for {
		t := w.targets[w.rng.IntN(len(w.targets))]
		if t.id != exclude {
			token := NewToken(w.now, t.id, t.incarnation, TokenLifetime)
			token.Id = fmt.Sprint(w.rng.Uint64())
			return token
		}
	}
}

// resend lets the client send its first token again through another node.
func (w *world) resend() {
	h := &holder{token: w.first}
	w.holders = append(w.holders, h)
	w.send(h, false)
}

func (w *world) send(h *holder, ask bool) {
	h.pending = true
	w.network = append(w.network, &copyOf{holder: h, token: h.token, ask: ask})
}

// restart replaces a target's process; what ran in it is lost but counted.
func (w *world) restart(t *target) {
	t.incarnation++
	t.table = New(t.id, t.incarnation, DefaultLimits())
	t.running = nil
	t.waiting = nil
}

// step takes one random event.
func (w *world) step() {
	switch n := w.rng.IntN(100); {
	case n < 45:
		w.deliver()
	case n < 62:
		w.finishOne()
	case n < 68:
		w.timeOut()
	case n < 74 && len(w.holders) < 4:
		w.resend()
	case n < 80:
		w.restart(w.targets[w.rng.IntN(len(w.targets))])
	case n < 86:
		t := w.targets[w.rng.IntN(len(w.targets))]
		t.pausedUntil = w.now.Add(time.Duration(w.rng.Int64N(int64(2 * TokenLifetime))))
	case n < 90:
		// The clock may also step back.
		w.now = w.now.Add(time.Duration(w.rng.Int64N(int64(TokenLifetime))) - 5*time.Second)
	default:
		w.now = w.now.Add(time.Duration(w.rng.Int64N(int64(time.Second))))
	}
}

// deliver takes a random copy from the network; it may be lost, or stay there
// to be delivered again.
func (w *world) deliver() {
	if len(w.network) == 0 {
		return
	}
	i := w.rng.IntN(len(w.network))
	c := w.network[i]
	if w.rng.IntN(6) > 0 {
		w.network = append(w.network[:i], w.network[i+1:]...)
		if w.rng.IntN(6) == 0 {
			return
		}
	}
	if c.answer != nil {
		w.receive(c)
		return
	}
	for _, t := range w.targets {
		if t.id == c.token.GetTarget() && !t.pausedUntil.After(w.now) {
			w.arrive(t, c)
		}
	}
}

// arrive judges a call at its target as the executor does.
func (w *world) arrive(t *target, c *copyOf) {
	token := c.token
	if w.rule.ignoreIncarnation {
		token = &encoder.Token{Target: t.id, Incarnation: t.incarnation, Id: token.GetId(), ExpiresUnixNano: token.GetExpiresUnixNano()}
	}
	if w.rule.noTombstone && c.ask && t.table.entries[token.GetId()] == nil {
		w.answer(c, caller.NotRun, caller.ReasonTombstone, w.mint(t.id))
		return
	}
	if w.rule.forgetEarly {
		t.table.entries = make(map[string]*Entry)
	}
	entry, verdict := t.table.Begin(w.now, token, c.ask)
	switch verdict {
	case Run:
		if w.rng.IntN(3) == 0 {
			w.refuse(t, c, entry)
			return
		}
		t.running = append(t.running, &running1{entry: entry, token: c.token, from: c})
		w.runs[c.token.GetId()]++
		w.total++
	case Wait:
		t.waiting = append(t.waiting, c)
	case Refused:
		w.refuse(t, c, entry)
	case Replay:
		w.answer(c, caller.Answered, caller.ReasonReplayed, nil)
	case WrongIncarnation:
		w.answer(c, caller.Unknown, caller.ReasonIncarnation, nil)
	default:
		w.answer(c, caller.Unknown, caller.ReasonTokenExpired, nil)
	}
}

func (w *world) refuse(t *target, c *copyOf, entry *Entry) {
	if entry.Successor() == nil {
		t.table.Refuse(entry, w.mint(t.id))
	}
	t.table.Refuse(entry, nil)
	w.answer(c, caller.NotRun, caller.ReasonOverload, entry.Successor())
}

func (w *world) answer(c *copyOf, outcome caller.Outcome, reason caller.Reason, successor *encoder.Token) {
	answer := caller.NewRefusal(outcome, reason)
	answer.Successor = successor
	w.network = append(w.network, &copyOf{holder: c.holder, token: c.token, answer: answer})
}

// finishOne ends a random running call.
func (w *world) finishOne() {
	t := w.targets[w.rng.IntN(len(w.targets))]
	if len(t.running) == 0 || t.pausedUntil.After(w.now) {
		return
	}
	r := t.running[0]
	t.running = t.running[1:]
	t.table.Finish(r.entry, StoredAnswer{})
	w.answer(r.from, caller.Answered, caller.ReasonNone, nil)
	for _, c := range t.waiting {
		w.answer(c, caller.Answered, caller.ReasonReplayed, nil)
	}
	t.waiting = nil
}

// timeOut lets a random holder lose its connection.
func (w *world) timeOut() {
	h := w.holders[w.rng.IntN(len(w.holders))]
	if h.pending {
		w.next(h, caller.NewRefusal(caller.Unknown, caller.ReasonConnectionLost))
	}
}

func (w *world) receive(c *copyOf) {
	if c.answer.Outcome == caller.NotRun {
		w.claimed[c.token.GetId()] = true
	}
	if c.holder.pending && c.holder.token == c.token {
		w.next(c.holder, c.answer)
	}
}

// next lets a holder go on as the dispatcher does.
func (w *world) next(h *holder, answer *caller.Answer) {
	h.pending = false
	if w.rule.followUnknown && answer.Outcome == caller.Unknown {
		answer = caller.NewRefusal(caller.NotRun, answer.Reason)
		answer.Successor = w.mint("")
	}
	step := NextStep(answer, h.follows < 3, h.resolves < 4)
	switch {
	case step.Resolve:
		h.resolves++
		w.send(h, true)
	case step.Follow != nil:
		h.follows++
		h.token = step.Follow
		w.send(h, false)
	default:
		h.done = true
	}
}

// violation returns what went wrong, or nothing.
func (w *world) violation() string {
	if w.total > 1 {
		return fmt.Sprintf("the call ran %d times", w.total)
	}
	for id := range w.claimed {
		if w.runs[id] > 0 {
			return "a token that was said not to have run did run"
		}
	}
	return ""
}

// explore returns the first violation among the interleavings.
func explore(interleavings int, weak rule) (seed uint64, violation string) {
	const steps = 60
	for seed := range uint64(interleavings) {
		w := newWorld(seed, weak)
		for range steps {
			w.step()
		}
		if v := w.violation(); v != "" {
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
	if seed, got := explore(interleavings, rule{}); got != "" {
		t.Errorf("seed %d: got %q, want no violation", seed, got)
	}
}

func TestExplorationNoticesWeakRules(t *testing.T) {
	for name, weak := range map[string]rule{
		"ignore the incarnation":   {ignoreIncarnation: true},
		"answer without tombstone": {noTombstone: true},
		"go elsewhere on silence":  {followUnknown: true},
		"forget before the expiry": {forgetEarly: true},
	} {
		if _, got := explore(50_000, weak); got == "" {
			t.Errorf("%s: got no violation, want one", name)
		}
	}
}

func TestExpiredTokenIsNeverJudged(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := New("t", 1, DefaultLimits())
	token := NewToken(now, "t", 1, TokenLifetime)
	entry, _ := table.Begin(now, token, false)
	table.Finish(entry, StoredAnswer{})
	later := now.Add(TokenLifetime + time.Second)
	if _, got := table.Begin(later, token, false); got != Expired {
		t.Errorf("after expiry: got verdict %d, want Expired", got)
	}
	// The clock steps back after the table forgot the token.
	if _, got := table.Begin(now, token, false); got != Expired {
		t.Errorf("after the clock stepped back: got verdict %d, want Expired", got)
	}
}

func TestFirstSuccessorStays(t *testing.T) {
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

func TestFullTableRefusesAsUnknown(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	limits := DefaultLimits()
	limits.MaxEntries = 1
	table := New("t", 1, limits)
	table.Begin(now, NewToken(now, "t", 1, TokenLifetime), false)
	if _, got := table.Begin(now, NewToken(now, "t", 1, TokenLifetime), false); got != TableFull {
		t.Errorf("got verdict %d, want Full", got)
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
