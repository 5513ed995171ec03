package deduplicator

import (
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/weigher"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// TestOldestAnswersMakeRoom guards against stored answers beyond the limit in bytes, and against a
// token that is forgotten with its answer.
func TestOldestAnswersMakeRoom(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	limits := DefaultLimits()
	limits.MaxAnswerBytes = 100 << 10
	limits.Budget = weigher.NewBudget(1 << 20)
	table := New("t", 1, limits)
	var tokens []*encoder.Token
	for range 20 {
		token := NewToken(now, "t", 1, time.Second)
		tokens = append(tokens, token)
		entry, _ := table.Begin(now, token, false)
		table.Finish(entry, StoredAnswer{
			Answer:     caller.Answer{Status: 200},
			Body:       make([]byte, 10<<10),
			BodyStored: true,
		})
		if got := table.AnswerBytes(); got > limits.MaxAnswerBytes {
			t.Fatalf("got %d bytes of answers, want at most %d", got, limits.MaxAnswerBytes)
		}
	}
	for i, token := range tokens {
		entry, verdict := table.Begin(now, token, false)
		if verdict != Replay {
			t.Fatalf("token %d: got verdict %d, want replay", i, verdict)
		}
		if got, want := entry.StoredAnswer().BodyStored, i >= 11; got != want {
			t.Errorf("answer %d: got stored %t, want %t", i, got, want)
		}
	}
	table.RemoveExpired(now.Add(time.Second))
	if got := limits.Budget.Used(); got != 0 || table.Len() != 0 {
		t.Errorf("after the expiry: got %d bytes of the budget and %d tokens, want none", got, table.Len())
	}
}

// TestTokenBeyondBudgetIsRefused guards against a token that is forgotten, or not charged, when the
// memory for calls is used up.
func TestTokenBeyondBudgetIsRefused(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	limits := DefaultLimits()
	limits.Budget = weigher.NewBudget(10 * entryWeight)
	table := New("t", 1, limits)
	first := NewToken(now, "t", 1, time.Second)
	table.Begin(now, first, false)
	for range 9 {
		table.Begin(now, NewToken(now, "t", 1, time.Second), false)
	}
	if _, verdict := table.Begin(now, NewToken(now, "t", 1, time.Second), false); verdict != TableFull {
		t.Errorf("got verdict %d beyond the budget, want table full", verdict)
	}
	if _, verdict := table.Begin(now, first, false); verdict != Wait {
		t.Errorf("got verdict %d for a stored token, want wait", verdict)
	}
}
