// Package deduplicator ensures that a non-idempotent call runs at most once.
//
// A token binds a call to one incarnation of one target. Only that incarnation
// may run the call. The target stores the token until the token expires. A resolve
// query asks for the outcome of a call without running it. If the token is unknown,
// the query stores a tombstone, so that a delayed copy of the call cannot run later.
// A refused token has exactly one successor token, which is bound to another target.
// If a client sends a call through several nodes, each of them is a holder of the
// token. All holders of a refused token therefore continue at the same target.
//
// Only the target's clock decides whether a token has expired. A call with an
// expired token is not run. Its outcome is Unknown, not NotRun, because an earlier
// copy of it may have run.
//
// # Usage
//
//	table := deduplicator.New("node-1", incarnation, deduplicator.DefaultLimits())
//	entry, verdict := table.Begin(now, token, false)
//	if verdict == deduplicator.Run {
//		// Run the call, then:
//		table.Finish(entry, storedAnswer)
//	}
package deduplicator

import (
	"container/heap"
	"container/list"
	"encoding/base64"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/laburnumshelf/laburnumshelf/internal/request/weigher"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// TokenLifetime is the default lifetime of a new token.
const TokenLifetime = time.Minute

// Limits bounds a Table.
type Limits struct {
	// MaxEntries is the maximum number of tokens stored at once.
	MaxEntries int
	// MaxAnswerBytes is the maximum memory of the stored answers.
	MaxAnswerBytes int64
	// Budget bounds the memory of the process that grows with its calls. It may be nil.
	Budget *weigher.Budget
	// MaxLifetime is the maximum remaining lifetime of an accepted token.
	MaxLifetime time.Duration
}

// DefaultLimits returns the limits that a node uses.
func DefaultLimits() Limits {
	return Limits{
		MaxEntries:     50_000,
		MaxAnswerBytes: 12 << 20,
		MaxLifetime:    2 * TokenLifetime,
	}
}

// Verdict says how to handle a call that carries a token.
type Verdict uint8

// The verdicts.
const (
	// Run means that the caller must run the call and then Finish or Refuse it.
	Run Verdict = iota
	// Wait means that the call is running. The entry's Done channel is closed when
	// it ends.
	Wait
	// Replay means that the call ran or may have run. The entry holds its answer.
	Replay
	// Refused means that the call did not and will not run.
	Refused
	// WrongIncarnation means that the token is bound to another incarnation or to
	// another target.
	WrongIncarnation
	// Expired means that the token's expiry is not acceptable: it has passed, its
	// entry may have been removed already, or it is too far ahead. Whether the call
	// ran is not known.
	Expired
	// TableFull means that the table stores as many tokens as its limits allow. The call of
	// this token has not run, but a later copy of it may.
	TableFull
)

type state uint8

const (
	running state = iota
	finished
	refused
)

// Entry is the state of one token and of the call bound to it.
type Entry struct {
	id      string
	expires time.Time
	state   state
	done    chan struct{}
	answer  StoredAnswer
	// stored is the element of the answer in the table's list, and weight its weight there. It
	// is nil if the answer takes no memory of its own.
	stored    *list.Element
	weight    int64
	successor *encoder.Token
	// overdue reports whether the token expired while the call was running. The entry
	// is then not in the table's expiryHeap until the call ends.
	overdue bool
	// arrived reports whether the call reached the backend server, which refused it.
	arrived bool
}

// Done returns a channel that is closed when the call ends.
func (e *Entry) Done() <-chan struct{} {
	return e.done
}

// StoredAnswer returns the stored answer to a call that ran or may have run.
func (e *Entry) StoredAnswer() StoredAnswer {
	return e.answer
}

// Successor returns the token that replaces a refused one, or nil.
func (e *Entry) Successor() *encoder.Token {
	return e.successor
}

// Arrived reports whether a refused call reached the backend server.
func (e *Entry) Arrived() bool {
	return e.arrived
}

// Table stores the tokens of one incarnation of a target. It is not safe for
// concurrent use; its owner must hold one lock around every method call.
type Table struct {
	target      string
	incarnation uint64
	limits      Limits
	entries     map[string]*Entry
	byExpiry    expiryHeap
	// answers holds the entries whose answers take memory, oldest first, and answerBytes is
	// their weight together.
	answers     list.List
	answerBytes int64
	// latestRemovedExpiry is the latest expiry among the removed entries. A token
	// that expires no later is rejected, because its entry may have been removed.
	latestRemovedExpiry time.Time
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

// Len returns the number of tokens stored.
func (t *Table) Len() int {
	return len(t.entries)
}

// Begin looks up token, stores it if it is new, and returns how to handle the
// call that carries it. If resolveOnly is set, the call of a new token is refused
// instead of run, and stays refused.
func (t *Table) Begin(now time.Time, token *encoder.Token, resolveOnly bool) (*Entry, Verdict) {
	if token.GetTarget() != t.target || token.GetIncarnation() != t.incarnation {
		return nil, WrongIncarnation
	}
	t.RemoveExpired(now)
	if entry := t.entries[token.GetId()]; entry != nil {
		return entry, entry.verdict()
	}
	expires := time.Unix(0, token.GetExpiresUnixNano())
	if !expires.After(now) || !expires.After(t.latestRemovedExpiry) || expires.Sub(now) > t.limits.MaxLifetime {
		return nil, Expired
	}
	if len(t.entries) >= t.limits.MaxEntries || !t.limits.Budget.Grow(0, entryWeight) {
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
	case finished:
		return Replay
	default:
		return Refused
	}
}

// Verdict returns how to handle another call that carries the entry's token.
func (e *Entry) Verdict() Verdict {
	return e.verdict()
}

// MarkArrived records that the backend server refused the call. It must come before Refuse.
func (t *Table) MarkArrived(entry *Entry) {
	entry.arrived = true
}

// Refuse ends a call that was not run, and sets its successor unless one is set
// already. It has no effect on a call that Finish ended.
func (t *Table) Refuse(entry *Entry, successor *encoder.Token) {
	if entry.state == finished {
		return
	}
	if entry.successor == nil {
		entry.successor = successor
	}
	if entry.state == running {
		t.end(entry, refused)
	}
}

// Finish ends a call that ran or may have run, and stores its answer.
func (t *Table) Finish(entry *Entry, answer StoredAnswer) {
	if entry.state != running {
		return
	}
	entry.answer = answer
	t.storeAnswer(entry)
	t.end(entry, finished)
}

// end ends a running call.
func (t *Table) end(entry *Entry, state state) {
	entry.state = state
	close(entry.done)
	if entry.overdue {
		entry.overdue = false
		heap.Push(&t.byExpiry, entry)
	}
}

// RemoveExpired removes expired entries. An entry whose call is still running stays until
// the call has ended.
func (t *Table) RemoveExpired(now time.Time) {
	for len(t.byExpiry) > 0 && !t.byExpiry[0].expires.After(now) {
		entry := heap.Pop(&t.byExpiry).(*Entry)
		if entry.state == running {
			entry.overdue = true
			continue
		}
		t.DropAnswer(entry)
		t.limits.Budget.Release(entryWeight)
		delete(t.entries, entry.id)
		if entry.expires.After(t.latestRemovedExpiry) {
			t.latestRemovedExpiry = entry.expires
		}
	}
}

// NewToken returns a token that is bound to one incarnation of a target and
// expires after lifetime.
func NewToken(now time.Time, target string, incarnation uint64, lifetime time.Duration) *encoder.Token {
	return &encoder.Token{
		Target:          target,
		Incarnation:     incarnation,
		Id:              uuid.NewString(),
		ExpiresUnixNano: now.Add(lifetime).UnixNano(),
	}
}

// FormatToken encodes a token for an HTTP header.
func FormatToken(token *encoder.Token) string {
	raw, err := proto.Marshal(token)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

// ParseToken decodes a token from an HTTP header.
func ParseToken(text string) (*encoder.Token, error) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, errors.Wrap(err, "token is not base64url; send it back exactly as received")
	}
	token := &encoder.Token{}
	if err := proto.Unmarshal(raw, token); err != nil {
		return nil, errors.Wrap(err, "token is malformed; send it back exactly as received")
	}
	if token.GetTarget() == "" || token.GetId() == "" {
		return nil, errors.New("token has no target or no ID; request a new one")
	}
	return token, nil
}

// expiryHeap is a min-heap of entries, ordered by expiry.
type expiryHeap []*Entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	*h = append(*h, x.(*Entry))
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	entry := old[len(old)-1]
	*h = old[:len(old)-1]
	return entry
}
