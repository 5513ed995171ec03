// Package restorer decides when the nodes of a fleet write their records to the store again, after
// the store has come back from an older copy and has lost them.
//
// All nodes learn of the return within a second or two. If each of them wrote at once, a large fleet
// would exceed what the store takes, just when it has come back and the operator writes to it. A
// record that no other node needs soon is therefore written within a time that grows with the fleet.
//
// # Usage
//
//	time.Sleep(restorer.Delay(restorer.Leaving, members))
//	// Write the records of backend servers that left.
package restorer

import (
	"math/rand/v2"
	"time"
)

// Kind is the kind of a record.
type Kind uint8

// The kinds of records.
const (
	// Leaving is the record of a backend server that left. The next process of the node needs
	// it, and few nodes have one.
	Leaving Kind = iota
	// Announcement is the record of a node, which every node has. Processes that start need
	// those of a few nodes to find the others.
	Announcement
)

const (
	// minSpread is the time over which the records of a small fleet are written.
	minSpread = time.Second
	// writesPerSecond is the rate at which the announcements of a large fleet are written.
	writesPerSecond = 100
)

// Spread returns the time over which a fleet writes its records of a kind.
func Spread(kind Kind, members int) time.Duration {
	if kind == Leaving {
		return minSpread
	}
	return max(minSpread, time.Duration(members)*time.Second/writesPerSecond)
}

// Delay returns the time after which one node of a fleet writes its record.
func Delay(kind Kind, members int) time.Duration {
	return rand.N(Spread(kind, members))
}
