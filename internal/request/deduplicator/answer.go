package deduplicator

import (
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// StoredAnswer is the answer to a call that ran or may have run, stored for replay.
type StoredAnswer struct {
	// Answer's own Body must not be read. Body holds the content if BodyStored is true.
	Answer     caller.Answer
	Body       []byte
	BodyStored bool
}

// Weights in bytes of memory.
const (
	// entryWeight is what a token takes without an answer.
	entryWeight = 512
	// answerWeight is what an answer takes beside its body and headers.
	answerWeight = 512
	// headerWeight is what a header takes beside its name and value.
	headerWeight = 64
)

// weight returns the memory that the answer takes. It is 0 for an answer that consists of an
// outcome and a reason.
func (s StoredAnswer) weight() int64 {
	if !s.BodyStored && s.Answer.Detail == "" {
		return 0
	}
	weight := answerWeight + len(s.Answer.Detail) + cap(s.Body)
	for name, values := range s.Answer.Header {
		for _, value := range values {
			weight += headerWeight + len(name) + len(value)
		}
	}
	return int64(weight)
}

// storeAnswer makes room for the answer of an entry by dropping older answers, because their
// holders have most likely received them. It drops the answer itself if that is not enough.
func (t *Table) storeAnswer(entry *Entry) {
	entry.weight = entry.answer.weight()
	if entry.weight == 0 {
		return
	}
	for t.answerBytes+entry.weight > t.limits.MaxAnswerBytes || !t.limits.Budget.Grow(0, entry.weight) {
		oldest := t.answers.Front()
		if oldest == nil {
			entry.answer = entry.answer.withoutContent()
			return
		}
		t.DropAnswer(oldest.Value.(*Entry))
	}
	t.answerBytes += entry.weight
	entry.stored = t.answers.PushBack(entry)
}

// withoutContent returns what is left of an answer when its content is dropped.
func (s StoredAnswer) withoutContent() StoredAnswer {
	return StoredAnswer{
		Answer: caller.Answer{
			Outcome: s.Answer.Outcome,
			Reason:  s.Answer.Reason,
		},
	}
}

// DropAnswer drops the content of a stored answer, which no holder of the token needs any more.
// The token stays: another copy of the call is still not run.
func (t *Table) DropAnswer(entry *Entry) {
	if entry.stored == nil {
		return
	}
	t.answers.Remove(entry.stored)
	t.answerBytes -= entry.weight
	t.limits.Budget.Release(entry.weight)
	entry.stored = nil
	entry.answer = entry.answer.withoutContent()
}

// AnswerBytes returns the memory of the stored answers.
func (t *Table) AnswerBytes() int64 {
	return t.answerBytes
}
