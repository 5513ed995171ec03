// Package gatekeeper decides which requests a stopping node still passes on, and knows when the
// last of them has ended. A request that is passed on late would be cut off at the end of the
// stop, while its backend server works for it. A refusal allows the caller to go elsewhere.
//
// # Usage
//
//	gate := gatekeeper.New()
//	if !gate.Enter(call.Deadline, internal) { refuse }
//	defer gate.Leave()
//
//	gate.RequireEnd(cut)
//	gate.RefuseClients()
//	<-gate.CloseWhenIdle()
package gatekeeper

import (
	"sync"
	"time"
)

// Gatekeeper counts the requests that were passed on. Its methods are safe for concurrent use.
type Gatekeeper struct {
	mu sync.Mutex
	// latestDeadline is the latest deadline of requests that are still passed on, or zero
	// before RequireEnd.
	latestDeadline time.Time
	refusesClients bool
	closed         bool
	// open is the number of requests that were passed on and have not ended.
	open int
	// idle is closed once the gate is closed and open is 0. It is nil before CloseWhenIdle.
	idle chan struct{}
}

// New returns a Gatekeeper that lets every request pass.
func New() *Gatekeeper {
	return &Gatekeeper{}
}

// Enter reports whether a request with the deadline may be passed on. internal reports whether
// a backend server makes it. If Enter returns true, Leave must follow at the end of the request.
func (g *Gatekeeper) Enter(deadline time.Time, internal bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	late := !g.latestDeadline.IsZero() && deadline.After(g.latestDeadline)
	if g.closed || late || (g.refusesClients && !internal) {
		return false
	}
	g.open++
	return true
}

// Leave records the end of a request that was passed on.
func (g *Gatekeeper) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.closeIfIdle()
}

// RequireEnd refuses requests whose deadline is later, from now on.
func (g *Gatekeeper) RequireEnd(latestDeadline time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.latestDeadline = latestDeadline
}

// RefuseClients refuses all requests but those of backend servers from now on.
func (g *Gatekeeper) RefuseClients() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusesClients = true
}

// RefusesClients reports whether RefuseClients or Close was called.
func (g *Gatekeeper) RefusesClients() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refusesClients || g.closed
}

// CloseWhenIdle returns a channel that is closed once no request is open that was passed on.
// All requests are refused from that moment on.
func (g *Gatekeeper) CloseWhenIdle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle == nil {
		g.idle = make(chan struct{})
		g.closeIfIdle()
	}
	return g.idle
}

// closeIfIdle closes the gate if CloseWhenIdle was called and no request is open. The caller
// holds g.mu.
func (g *Gatekeeper) closeIfIdle() {
	if g.idle == nil || g.open > 0 || isClosed(g.idle) {
		return
	}
	g.closed = true
	close(g.idle)
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Close refuses all requests from now on, also while others are open.
func (g *Gatekeeper) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Open returns the number of requests that were passed on and have not ended.
func (g *Gatekeeper) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}
