// Package initiator turns what a caller asks for into a call: the route's
// settings, and what the call inherits from the one it is made for.
//
// # Usage
//
//	call, err := initiator.New(settings, inbound, initiator.Request{...}, time.Now())
package initiator

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/deduplicator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tracker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// maxIDBytes bounds the request IDs that callers choose.
const maxIDBytes = 128

// Request is what a caller asks for. Empty fields are not given.
type Request struct {
	Service describer.ServiceName
	Method  string
	// Path is the path without the query.
	Path string
	// URI is the path with the query.
	URI         string
	RequestID   string
	ParentID    string
	Timeout     string
	Criticality string
	Token       string
}

// New returns the call for a request. Errors name the field that is wrong.
func New(settings *describer.Settings, inbound *tracker.Table, request Request, now time.Time) (*caller.Call, error) {
	route := settings.Service(request.Service).Match(request.Method, request.Path)
	call := &caller.Call{
		RequestID:  request.RequestID,
		CallID:     caller.NewID(),
		ParentID:   request.ParentID,
		Service:    request.Service,
		Route:      route.Name,
		Method:     request.Method,
		Path:       request.URI,
		Idempotent: route.Idempotent,
		Deadline:   now.Add(route.Timeout),
	}
	if err := readTimeout(call, request.Timeout, now); err != nil {
		return nil, err
	}
	if err := readToken(call, request.Token); err != nil {
		return nil, err
	}
	if parent := inbound.Find(request.ParentID); parent != nil {
		inherit(call, parent.Call)
		return call, nil
	}
	return call, enter(call, request, route, now)
}

func readTimeout(call *caller.Call, text string, now time.Time) error {
	if text == "" {
		return nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil {
		return errors.Newf("timeout is %q; want a duration such as 1500ms", text)
	}
	if deadline := now.Add(timeout); deadline.Before(call.Deadline) {
		call.Deadline = deadline
	}
	return nil
}

func readToken(call *caller.Call, text string) error {
	if text == "" || call.Idempotent {
		return nil
	}
	token, err := deduplicator.ParseToken(text)
	call.Token = token
	return err
}

// inherit fills what a call takes over from the one it is made for.
func inherit(call, parent *caller.Call) {
	call.RequestID = parent.RequestID
	call.Priority = parent.Priority
	call.Hop = parent.Hop + 1
	call.Charged = parent.Charged
	if parent.Deadline.Before(call.Deadline) {
		call.Deadline = parent.Deadline
	}
}

// enter fills what a request from outside gets at its entry.
func enter(call *caller.Call, request Request, route describer.Route, now time.Time) error {
	if len(call.RequestID) > maxIDBytes || strings.ContainsAny(call.RequestID, " \t\"=") {
		return errors.Newf("request ID is longer than %d bytes or has spaces, quotes or equal signs", maxIDBytes)
	}
	if call.RequestID == "" {
		call.RequestID = uuid.NewString()
	}
	criticality := route.Criticality
	if request.Criticality != "" {
		asked, err := describer.ParseCriticality(request.Criticality)
		if err != nil {
			return err
		}
		// Callers may lower their criticality, never raise it.
		criticality = min(criticality, asked)
	}
	call.Priority = caller.NewPriority(criticality, call.RequestID, now)
	return nil
}
