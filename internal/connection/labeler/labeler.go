// Package labeler names the HTTP headers that callers, nodes and backend servers
// exchange.
//
// # Usage
//
//	id := req.Header.Get(labeler.RequestID)
//	dialect := labeler.Own()
//	dialect.SetContext(req.Header, call)
package labeler

import (
	"net/http"
	"strings"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// The headers of the product's own interface. Parent is sent to a backend server
// with each call; it copies the header to the calls that it makes for it.
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

// Dialect is the headers that a kind of backend server understands. Headers
// without a name are not used.
type Dialect struct {
	RequestID   string
	Parent      string
	Timeout     string
	Criticality string
	// Instance names the backend server that a request is meant for.
	Instance string
	// CallerService names the service at whose node a request began.
	CallerService string
	// Proof is on every whole answer of success; backend servers that set it
	// also repeat RequestID on each answer.
	Proof         string
	ParseTimeout  func(text string) (time.Duration, error)
	FormatTimeout func(timeout time.Duration) string
	// IsRefusal reports whether an answer promises that the request did not run;
	// nil means that no answer does.
	IsRefusal func(status int, header http.Header) bool
}

// NativeDialect returns the dialect of the product's own interface.
func NativeDialect() Dialect {
	return Dialect{
		RequestID:     RequestID,
		Parent:        Parent,
		Timeout:       Timeout,
		Criticality:   Criticality,
		ParseTimeout:  time.ParseDuration,
		FormatTimeout: time.Duration.String,
	}
}

// SetCallHeaders sets the headers that tell a backend server about its call.
func (d Dialect) SetCallHeaders(h http.Header, call *caller.Call) {
	d.RemoveReserved(h)
	for name, value := range map[string]string{
		d.RequestID:     call.RequestID,
		d.Parent:        call.CallID,
		d.Timeout:       d.FormatTimeout(time.Until(call.Deadline)),
		d.Criticality:   call.Priority.Criticality().String(),
		d.Instance:      call.Instance,
		d.CallerService: call.CallerService,
	} {
		if name != "" && value != "" {
			h.Set(name, value)
		}
	}
}

// RemoveReserved removes the headers that only nodes may set.
func (d Dialect) RemoveReserved(h http.Header) {
	for _, name := range []string{d.Parent, d.Criticality, d.Instance, d.CallerService, Token, Service} {
		if name != "" {
			h.Del(name)
		}
	}
}

var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ForwardedHeaders returns the headers of a request that travel with its call; the caller
// removes those that only nodes set.
func ForwardedHeaders(req *http.Request) http.Header {
	h := req.Header.Clone()
	RemoveHopByHop(h)
	h.Del("Content-Length")
	h.Set("Host", req.Host)
	return h
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
