// Package initiator creates a call. The call takes its properties from what its caller
// specifies, from the settings of its route and from its parent, which is the inbound
// call that it is made for.
//
// # Usage
//
//	call, err := initiator.New(settings, inboundCalls, initiator.Params{...}, time.Now())
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

// maxRequestIDBytes bounds the length of request IDs that callers choose.
const maxRequestIDBytes = 128

// Params holds the properties of one call that its caller specifies. An empty field
// means that the caller did not specify it.
type Params struct {
	Service describer.ServiceName
	Method  string
	// Path is the path without the query.
	Path string
	// URI is the path with the query.
	URI string
	// RequestID is the ID of the client's request, which all calls of its call graph
	// share.
	RequestID   string
	ParentID    string
	Timeout     string
	Criticality string
	Token       string
}

// New returns the call with the given parameters. Its errors name the invalid field.
func New(settings *describer.Settings, inboundCalls *tracker.Table, params Params, now time.Time) (*caller.Call, error) {
	route := settings.Service(params.Service).Match(params.Method, params.Path)
	call := &caller.Call{
		RequestID:  params.RequestID,
		CallID:     caller.NewID(),
		ParentID:   params.ParentID,
		Service:    params.Service,
		Route:      route.Name,
		Method:     params.Method,
		Path:       params.URI, // Call.Path includes the query.
		Idempotent: route.Idempotent,
		Deadline:   now.Add(route.Timeout),
	}
	if err := applyTimeout(call, params.Timeout, now); err != nil {
		return nil, err
	}
	if err := applyToken(call, params.Token); err != nil {
		return nil, err
	}
	if parent := inboundCalls.Find(params.ParentID); parent != nil {
		inheritFrom(call, parent.Call)
		return call, nil
	}
	return call, applyEntryDefaults(call, params, route, now)
}

// applyTimeout shortens the deadline of a call to the requested timeout. It never
// extends the deadline.
func applyTimeout(call *caller.Call, value string, now time.Time) error {
	if value == "" {
		return nil
	}
	timeout, err := time.ParseDuration(value)
	if err != nil {
		return errors.Newf("timeout is %q; want a duration such as 1500ms", value)
	}
	if deadline := now.Add(timeout); deadline.Before(call.Deadline) {
		call.Deadline = deadline
	}
	return nil
}

// applyToken sets the token of a call. It ignores a token of an idempotent call, which
// needs none.
func applyToken(call *caller.Call, value string) error {
	if value == "" || call.Idempotent {
		return nil
	}
	token, err := deduplicator.ParseToken(value)
	call.Token = token
	return err
}

// inheritFrom copies the properties that a call inherits from its parent. The call's
// deadline is at most that of its parent.
func inheritFrom(call, parent *caller.Call) {
	call.RequestID = parent.RequestID
	call.Priority = parent.Priority
	call.Hop = parent.Hop + 1
	call.Charged = parent.Charged
	if parent.Deadline.Before(call.Deadline) {
		call.Deadline = parent.Deadline
	}
}

// applyEntryDefaults completes a call without a tracked parent. It checks the request
// ID, or creates one, and sets the priority.
func applyEntryDefaults(call *caller.Call, params Params, route describer.Route, now time.Time) error {
	if len(call.RequestID) > maxRequestIDBytes || strings.ContainsAny(call.RequestID, " \t\"=") {
		return errors.Newf("request ID is longer than %d bytes or has spaces, quotes or equal signs", maxRequestIDBytes)
	}
	if call.RequestID == "" {
		call.RequestID = uuid.NewString()
	}
	criticality := route.Criticality
	if params.Criticality != "" {
		requested, err := describer.ParseCriticality(params.Criticality)
		if err != nil {
			return err
		}
		// Callers may lower their criticality, never raise it.
		criticality = min(criticality, requested)
	}
	call.Priority = caller.NewPriority(criticality, call.RequestID, now)
	return nil
}
