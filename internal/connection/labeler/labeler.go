// Package labeler defines the HTTP headers that callers, nodes and backend servers
// exchange, and reads and sets them.
//
// # Usage
//
//	id := req.Header.Get(labeler.RequestID)
//	dialect := labeler.NativeDialect()
//	dialect.SetCallHeaders(req.Header, call)
//	dialect.SetTimeout(req.Header, call.Deadline)
package labeler

import (
	"net/http"
	"strings"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Headers of the product's native interface. A backend server receives Parent with
// each call. It copies the header to the calls that it makes on behalf of that call.
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

// Dialect defines the header names that one kind of backend server understands. An
// empty name means that the header is not used.
type Dialect struct {
	RequestID   string
	Parent      string
	Timeout     string
	Criticality string
	// Instance names the backend server that the request is addressed to.
	Instance string
	// CallerService names the service whose node received the request first.
	CallerService string
	// Organisation names the organisation whose key the request carried.
	Organisation string
	// ReadKey returns the digest of the key that a request to a team carries, and reports
	// whether it carries one. It is nil if the dialect has no keys, as are RemoveKey and
	// Challenge.
	ReadKey func(header http.Header, team string) (describer.KeyDigest, bool)
	// RemoveKey removes all keys from the headers of a request.
	RemoveKey func(header http.Header)
	// Challenge is the value of the header WWW-Authenticate in the answer to a request
	// without a known key.
	Challenge string
	// Proof names the header that signs an answer. Every complete answer with a
	// success status has it. Backend servers that set it also repeat RequestID on
	// every answer.
	Proof         string
	ParseTimeout  func(text string) (time.Duration, error)
	FormatTimeout func(timeout time.Duration) string
	// IsRefusal reports whether an answer guarantees that the request did not
	// run. If it is nil, no answer gives that guarantee.
	IsRefusal func(status int, header http.Header) bool
	// ReadNotice returns what an answer's headers say of the backend server. It may be
	// nil.
	ReadNotice func(header http.Header) caller.Notice
}

// NativeDialect returns the dialect of the product's native interface.
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

// SetCallHeaders sets the headers that describe call to the backend server, except the one that
// SetTimeout sets. It first removes the reserved headers.
func (d Dialect) SetCallHeaders(h http.Header, call *caller.Call) {
	d.RemoveReserved(h)
	for name, value := range map[string]string{
		d.RequestID:     call.RequestID,
		d.Parent:        call.CallID,
		d.Criticality:   call.Priority.Criticality().String(),
		d.Instance:      call.Instance,
		d.CallerService: call.CallerService,
	} {
		if name != "" && value != "" {
			h.Set(name, value)
		}
	}
	if call.Organisation != "" && d.Organisation != "" {
		h.Set(d.Organisation, call.Organisation)
	}
}

// SetTimeout tells the backend server the time that is left until deadline. It is set last,
// because the backend server counts from the arrival of the request.
func (d Dialect) SetTimeout(h http.Header, deadline time.Time) {
	if d.Timeout != "" {
		h.Set(d.Timeout, d.FormatTimeout(time.Until(deadline)))
	}
}

// RemoveOrganisation removes what callers send of an organisation: its key, and its name, which
// only nodes may set.
func (d Dialect) RemoveOrganisation(h http.Header) {
	if d.RemoveKey != nil {
		d.RemoveKey(h)
	}
	if d.Organisation != "" {
		h.Del(d.Organisation)
	}
}

// RemoveReserved removes the headers with which callers address a node and those that
// the target's node sets itself, so that a caller's values don't reach the backend
// server.
func (d Dialect) RemoveReserved(h http.Header) {
	for _, name := range []string{d.Parent, d.Criticality, d.Instance, d.CallerService, Token, Service} {
		if name != "" {
			h.Del(name)
		}
	}
}

// hopByHopHeaders are the headers that apply to a single connection only.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ForwardedHeaders returns the headers of req that are sent on with its call. It leaves
// the reserved headers in place; see RemoveReserved.
func ForwardedHeaders(req *http.Request) http.Header {
	h := req.Header.Clone()
	RemoveHopByHop(h)
	h.Del("Content-Length")
	h.Set("Host", req.Host)
	return h
}

// RemoveHopByHop removes the headers that apply to a single connection only,
// including those that the Connection header lists.
func RemoveHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
