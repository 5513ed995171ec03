package recorder

import "slices"

// ring holds the newest decisions. An index by request finds those of one request without a
// search through all: under overload, a node looks for them with each line it logs.
type ring struct {
	slots []slot
	// size is the number of decisions that the ring holds at most.
	size uint64
	// added is the number of decisions ever added. The n-th one is in slot n modulo size.
	added uint64
	// newest holds the number of the newest decision of each request in the ring.
	newest map[string]uint64
}

// slot holds one decision.
type slot struct {
	decision Decision
	// number is the number of the decision, counted from 1. previous is that of the
	// decision before it of the same request, or 0.
	number   uint64
	previous uint64
}

// newRing returns an empty ring for up to size decisions.
func newRing(size int) *ring {
	return &ring{
		slots:  make([]slot, 0, size),
		size:   uint64(size),
		newest: make(map[string]uint64),
	}
}

// add stores a decision. If the ring is full, it overwrites the oldest one.
func (r *ring) add(d Decision) {
	if r.size == 0 {
		return
	}
	r.added++
	s := slot{
		decision: d,
		number:   r.added,
		previous: r.newest[d.RequestID],
	}
	if uint64(len(r.slots)) < r.size {
		r.slots = append(r.slots, s)
	} else {
		r.overwrite(s)
	}
	r.newest[d.RequestID] = s.number
}

// overwrite replaces the oldest decision.
func (r *ring) overwrite(s slot) {
	oldest := r.at(s.number)
	if r.newest[oldest.decision.RequestID] == oldest.number {
		delete(r.newest, oldest.decision.RequestID)
	}
	*oldest = s
}

// at returns the slot of the decision with a number.
func (r *ring) at(number uint64) *slot {
	return &r.slots[(number-1)%r.size]
}

// find returns the stored decisions about a request, oldest first. They are valid until the
// next call of add.
func (r *ring) find(requestID string) []*Decision {
	var found []*Decision
	for number := r.newest[requestID]; number != 0; {
		s := r.at(number)
		if s.number != number {
			// The decision was overwritten.
			break
		}
		found = append(found, &s.decision)
		number = s.previous
	}
	slices.Reverse(found)
	return found
}
