// Package deduplicator runs a non-idempotent call at most once.
//
// A token binds a call to one incarnation of one target. Only that incarnation
// may run the call, and it remembers the token until it expires. Asking about a
// token that was never seen records a tombstone, so that a delayed copy of the
// call cannot run later. A refused token names exactly one successor token,
// bound to another target, so that all holders of the token go on to the same
// place.
//
// Expiry is judged by the target's clock alone: an expired token is neither run
// nor reported as not run.
//
// # Usage
//
//	table := deduplicator.New("allot-1", incarnation, deduplicator.DefaultLimits())
//	entry, verdict := table.Begin(now, token, false)
//	if verdict == deduplicator.Run {
//		// Run the call, then:
//		table.Finish(entry, answer)
//	}
package deduplicator

import (
	"container/heap"
	"encoding/base64"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// TokenLifetime is the time for which a new token can be used.
const TokenLifetime = time.Minute

// Limits bounds a Table.
type Limits struct {
	// MaxEntries bounds the tokens remembered at once.
	MaxEntries int
	// MaxLifetime bounds how far ahead a token may expire.
	MaxLifetime time.Duration
}

// DefaultLimits returns the limits of a node.
func DefaultLimits() Limits {
	return Limits{
		MaxEntries:  200_000,
		MaxLifetime: 2 * TokenLifetime,
	}
}

// Verdict is what to do with a call that carries a token.
type Verdict uint8

// The verdicts.
const (
	// Run tells the caller to run the call and then Finish or Refuse it.
	Run Verdict = iota
	// Wait means that the call is running; the entry's Done channel tells its end.
	Wait
	// Replay means that the call ran; the entry holds its outcome.
	Replay
	// Refused means that the call did not and will not run.
	Refused
	// WrongIncarnation means that the token is bound to another incarnation.
	WrongIncarnation
	// Expired means that the token can no longer be judged.
	Expired
	// TableFull means that the table has no room for another token.
	TableFull
)

type state uint8

const (
	running state = iota
	ran
	refused
)

// StoredAnswer is what is kept of a call that ran.
type StoredAnswer struct {
	// Answer has no body; Body holds it when Kept.
	Answer     caller.Answer
	Body       []byte
	BodyStored bool
}

// Entry is the memory of one token.
type Entry struct {
	id        string
	expires   time.Time
	state     state
	done      chan struct{}
	outcome   StoredAnswer
	successor *encoder.Token
	index     int
}

// Done returns a channel that is closed when the call ended.
func (e *Entry) Done() <-chan struct{} {
	return e.done
}

// StoredAnswer returns the outcome of a call that ran.
func (e *Entry) StoredAnswer() StoredAnswer {
	return e.outcome
}

// Successor returns the token that replaces a refused one, or nil.
func (e *Entry) Successor() *encoder.Token {
	return e.successor
}

// Table remembers the tokens of one incarnation. It is not safe for concurrent
// use; its owner holds one lock around every method.
type Table struct {
	target      string
	incarnation uint64
	limits      Limits
	entries     map[string]*Entry
	byExpiry    expiryHeap
	// forgotten is the latest expiry among the entries dropped; a token that
	// expires no later may have been one of them.
	forgotten time.Time
}

// New returns an empty table for one incarnation of a target.
func New(target string, incarnation uint64, limits Limits) *Table {
	return &Table{
		target:      target,
		incarnation: incarnation,
		limits:      limits,
		entries:     make(map[string]*Entry),
	}
}

// Len returns the number of tokens remembered.
func (t *Table) Len() int {
	return len(t.entries)
}

// Begin judges a call that carries token. With resolveOnly a token that was
// never seen is refused for good instead of run.
func (t *Table) Begin(now time.Time, token *encoder.Token, resolveOnly bool) (*Entry, Verdict) {
	if token.GetTarget() != t.target || token.GetIncarnation() != t.incarnation {
		return nil, WrongIncarnation
	}
	t.forget(now)
	if entry := t.entries[token.GetId()]; entry != nil {
		return entry, entry.verdict()
	}
	expires := time.Unix(0, token.GetExpiresUnixNano())
	if !expires.After(now) || !expires.After(t.forgotten) || expires.Sub(now) > t.limits.MaxLifetime {
		return nil, Expired
	}
	if len(t.entries) >= t.limits.MaxEntries {
		return nil, TableFull
	}
	entry := &Entry{
		id:      token.GetId(),
		expires: expires,
		done:    make(chan struct{}),
	}
	t.entries[entry.id] = entry
	heap.Push(&t.byExpiry, entry)
	if resolveOnly {
		t.Refuse(entry, nil)
		return entry, Refused
	}
	return entry, Run
}

func (e *Entry) verdict() Verdict {
	switch e.state {
	case running:
		return Wait
	case ran:
		return Replay
	default:
		return Refused
	}
}

// Verdict returns what the entry's state means now.
func (e *Entry) Verdict() Verdict {
	return e.verdict()
}

// Refuse ends a call that was not run. The first successor given stays.
func (t *Table) Refuse(entry *Entry, successor *encoder.Token) {
	if entry.state == ran {
		return
	}
	if entry.successor == nil {
		entry.successor = successor
	}
	if entry.state == running {
		entry.state = refused
		close(entry.done)
	}
}

// Finish ends a call that ran or may have run.
func (t *Table) Finish(entry *Entry, outcome StoredAnswer) {
	if entry.state != running {
		return
	}
	entry.state = ran
	entry.outcome = outcome
	close(entry.done)
}

// forget drops expired entries that are not running.
func (t *Table) forget(now time.Time) {
	for len(t.byExpiry) > 0 {
		entry := t.byExpiry[0]
		if entry.expires.After(now) || entry.state == running {
			return
		}
		heap.Pop(&t.byExpiry)
		delete(t.entries, entry.id)
		if entry.expires.After(t.forgotten) {
			t.forgotten = entry.expires
		}
	}
}

// NewToken returns a new token bound to one incarnation of a target, which can be
// used for lifetime.
func NewToken(now time.Time, target string, incarnation uint64, lifetime time.Duration) *encoder.Token {
	return &encoder.Token{
		Target:          target,
		Incarnation:     incarnation,
		Id:              uuid.NewString(),
		ExpiresUnixNano: now.Add(lifetime).UnixNano(),
	}
}

// FormatToken returns the token as text for an HTTP header.
func FormatToken(token *encoder.Token) string {
	raw, err := proto.Marshal(token)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

// ParseToken reads a token from an HTTP header.
func ParseToken(text string) (*encoder.Token, error) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, errors.Wrap(err, "token is not base64url; send it back exactly as received")
	}
	token := &encoder.Token{}
	if err := proto.Unmarshal(raw, token); err != nil {
		return nil, errors.Wrap(err, "token is damaged; send it back exactly as received")
	}
	if token.GetTarget() == "" || token.GetId() == "" {
		return nil, errors.New("token names no target; ask for a new one")
	}
	return token, nil
}

// expiryHeap orders entries by expiry.
type expiryHeap []*Entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	entry := x.(*Entry)
	entry.index = len(*h)
	*h = append(*h, entry)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	entry := old[len(old)-1]
	*h = old[:len(old)-1]
	return entry
}
