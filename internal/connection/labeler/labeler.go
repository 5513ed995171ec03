// Package labeler names the HTTP headers that callers, nodes and backend servers
// exchange.
//
// # Usage
//
//	id := req.Header.Get(labeler.RequestID)
//	labeler.SetContext(req.Header, call)
package labeler

import (
	"net/http"
	"strings"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// The headers. Parent is sent to a backend server with each call; it copies the
// header to the calls that it makes for it.
const (
	Service     = "Shelf-Service"
	RequestID   = "Shelf-Request-Id"
	Parent      = "Shelf-Parent"
	Token       = "Shelf-Token"
	Timeout     = "Shelf-Timeout"
	Criticality = "Shelf-Criticality"
	Outcome     = "Shelf-Outcome"
	Reason      = "Shelf-Reason"
	Attempt     = "Shelf-Attempt"
)

var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the headers that concern a single connection.
func RemoveHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// SetContext sets the headers that tell a backend server about its call.
func SetContext(h http.Header, call *caller.Call) {
	h.Set(RequestID, call.RequestID)
	h.Set(Parent, call.CallID)
	h.Set(Timeout, time.Until(call.Deadline).String())
	h.Set(Criticality, call.Priority.Criticality().String())
	h.Del(Token)
	h.Del(Service)
}
