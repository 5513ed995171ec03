// Package weigher bounds the memory that the requests of all connections of a process take
// together. It answers clients that send many requests at once whose heads are of legal size but
// take much memory, because they have thousands of lines.
//
// A request is weighed by the memory that it takes, and takes its weight from the budget of the
// process until it ends. A request that does not fit is refused before it runs. Heavy requests
// leave a part of the budget to light ones, so that ordinary requests are served meanwhile. A
// heavy request is served when it comes alone.
//
// The budget also bounds what else grows with the calls of a process: the calls that other nodes
// have open there, request bodies that the backend server reads slowly, tokens of calls that run
// at most once, and their answers. A nil budget has no bound.
//
// # Usage
//
//	budget := weigher.NewBudget(weigher.DefaultBudget)
//	weight := weigher.Head(bytes, lines)
//	if !budget.Grow(0, weight) { refuse }
//	defer budget.Release(weight)
package weigher

import (
	"sync/atomic"
	"time"
)

// Weights in bytes of live memory.
const (
	// byteWeight is the number of copies of a head: the received one, the parsed one, the
	// forwarded one and the encoded one.
	byteWeight = 4
	// lineWeight is what a parsed header line takes at the node that received it, with its
	// copies. 600 heads of 2,900 lines took 726 MB of resident memory, half of which is the
	// room that the garbage collector leaves.
	lineWeight = 256
	// openCallWeight is what an open call of another node takes beside its head: its stream,
	// goroutines and buffers.
	openCallWeight = 8 << 10
	// StalledBodyWeight is what a request body takes that arrives faster than it is read: the
	// window of its stream, with the room of a growing buffer, and its prefetched part.
	StalledBodyWeight = 448 << 10
	// lightWeight is the largest weight of a light request. Ordinary requests have a weight of
	// 4 to 10 KB.
	lightWeight = 32 << 10
	// heavyParts of budgetParts is what heavy requests may take.
	heavyParts  = 3
	budgetParts = 4
)

// StallTime is how long a request body is not read before it counts as stalled.
const StallTime = 100 * time.Millisecond

// DefaultBudget is the budget of a process on a machine of 184 MB. Live memory takes about twice
// as much resident memory, because of the garbage collector.
const DefaultBudget = 48 << 20

// Memory of a process.
const (
	megabyte = 1_000_000
	// defaultMemoryMB is the memory that DefaultBudget is meant for.
	defaultMemoryMB = 184
	// collectedParts of memoryParts is the part of the memory from which on the garbage
	// collector runs more often. The rest is for what it does not count.
	collectedParts = 3
	memoryParts    = 4
)

// BudgetOf returns the budget of a process that may take the given memory. 0 means the default.
func BudgetOf(megabytes int) int64 {
	if megabytes == 0 {
		megabytes = defaultMemoryMB
	}
	return DefaultBudget * int64(megabytes) / defaultMemoryMB
}

// GarbageCollectorLimit returns the memory, in bytes, that the garbage collector keeps a process
// under that may take the given memory, as far as its live memory allows.
func GarbageCollectorLimit(megabytes int) int64 {
	return int64(megabytes) * megabyte / memoryParts * collectedParts
}

// Head returns the weight of a head.
func Head(bytes, lines int) int64 {
	return byteWeight*int64(bytes) + lineWeight*int64(lines)
}

// OpenCall returns the weight of a call of another node with the given head.
func OpenCall(bytes, lines int) int64 {
	return openCallWeight + Head(bytes, lines)
}

// Budget is the memory that is left for requests. Its methods are safe for concurrent use.
type Budget struct {
	total int64
	used  atomic.Int64
}

// NewBudget returns a budget of total bytes.
func NewBudget(total int64) *Budget {
	return &Budget{
		total: total,
	}
}

// Grow changes the weight of a request from an earlier value, which is 0 for a new request. It
// reports false, and changes nothing, if the request does not fit.
func (b *Budget) Grow(from, to int64) bool {
	if b == nil {
		return true
	}
	limit := b.total
	if to > lightWeight {
		limit = b.heavyLimit()
	}
	return b.add(to-from, limit)
}

// GrowInbound takes the weight of a call of another node. Such calls leave a part of the budget to
// the requests of the node's own callers.
func (b *Budget) GrowInbound(weight int64) bool {
	return b == nil || b.add(weight, b.heavyLimit())
}

// Charge takes a weight that can't be refused, because the memory is in use already.
func (b *Budget) Charge(weight int64) {
	if b != nil {
		b.used.Add(weight)
	}
}

// Release returns the weight of a request that has ended.
func (b *Budget) Release(weight int64) {
	if b != nil {
		b.used.Add(-weight)
	}
}

func (b *Budget) heavyLimit() int64 {
	return b.total / budgetParts * heavyParts
}

// add takes weight from the budget if no more than limit is then used.
func (b *Budget) add(weight, limit int64) bool {
	if b.used.Add(weight) > limit {
		b.used.Add(-weight)
		return false
	}
	return true
}

// Used returns the weight of all requests.
func (b *Budget) Used() int64 {
	return b.used.Load()
}
