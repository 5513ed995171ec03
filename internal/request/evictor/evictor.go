// Package evictor decides which client connections are closed: those that have been silent for
// too long, and one to make room for a new one. It answers clients that open more connections
// than a node has descriptors, and send nothing or never end a request.
//
// Room is made only by connections on which no request is served. Those that have not sent a whole
// request are closed first, because ordinary clients send their first request soon after they
// connect. Kept connections of clients that were served come last.
//
// # Usage
//
//	if limits.Expired(evictor.Head, age) { close }
//
//	var search evictor.Search[*Conn]
//	search.Offer(conn, phase, age)
//	victim, ok := search.Victim()
package evictor

import "time"

// Phase is what a connection is doing.
type Phase uint8

// The phases of a connection.
const (
	// Waiting means that nothing of the first request has arrived.
	Waiting Phase = iota
	// Head means that a part of a head has arrived.
	Head
	// Body means that a head was accepted, and the part of the body that is read before the
	// request is passed on has not arrived.
	Body
	// Idle means that requests were served and nothing of the next one has arrived.
	Idle
	// Serving means that a request is served.
	Serving
	// Writing means that an answer is being written, which the client does not take.
	Writing
	// Closing means that the connection is being closed.
	Closing
)

// Limits are the longest times that a connection may stay in a phase. Zero means no limit.
type Limits struct {
	Waiting time.Duration
	Head    time.Duration
	Body    time.Duration
	Idle    time.Duration
	Serving time.Duration
	Writing time.Duration
}

// Expired reports whether a connection that has been in the phase for age is closed.
func (l Limits) Expired(phase Phase, age time.Duration) bool {
	limit := time.Duration(0)
	switch phase {
	case Waiting:
		limit = l.Waiting
	case Head:
		limit = l.Head
	case Body:
		limit = l.Body
	case Idle:
		limit = l.Idle
	case Serving:
		limit = l.Serving
	case Writing:
		limit = l.Writing
	}
	return limit > 0 && age > limit
}

// Search finds the connection that is closed to make room.
type Search[T any] struct {
	victim T
	found  bool
	served bool
	age    time.Duration
}

// Offer adds a connection that has been in the phase for age.
func (s *Search[T]) Offer(connection T, phase Phase, age time.Duration) {
	if phase >= Serving {
		return
	}
	served := phase == Idle
	better := !s.found || (s.served && !served) || (s.served == served && age > s.age)
	if !better {
		return
	}
	s.victim, s.found, s.served, s.age = connection, true, served, age
}

// Victim returns the connection to close. It reports false if a request is served on each of
// them.
func (s *Search[T]) Victim() (T, bool) {
	return s.victim, s.found
}
