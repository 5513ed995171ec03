// Package receiver serves HTTP requests whose host and path prefix select the route
// and with it the service. They come from clients and from the local backend server.
//
// # Usage
//
//	handler := receiver.New(receiver.Config{Dispatcher: dispatcher, Settings: settings, Dialect: dialect})
//	http.Serve(listener, handler)
package receiver

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/gateway"
	"github.com/laburnumshelf/laburnumshelf/internal/connection/labeler"
	"github.com/laburnumshelf/laburnumshelf/internal/request/authenticator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tallier"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// maxRequestIDBytes limits the length of request IDs, which callers choose.
const maxRequestIDBytes = 128

// noSettingsRetryAfter is the Retry-After time of refusals while the node has no
// settings. The settings arrive within a second of the store's answer.
const noSettingsRetryAfter = 500 * time.Millisecond

// noDestinationRetryAfter is the Retry-After time of refusals while all weights of the route are 0,
// which only a later version of the settings changes.
const noDestinationRetryAfter = time.Second

// Config holds the dependencies of a receiver.
type Config struct {
	Dispatcher gateway.Dispatcher
	Dialect    labeler.Dialect
	Settings   func() *describer.Settings
	Recorder   *recorder.Recorder
	// Directory holds the organisations of the settings.
	Directory *authenticator.Directory
	// Tally counts the requests of organisations.
	Tally *tallier.Tally
	// Reliable reports whether the settings in force decide about keys. If it is nil, they
	// always do.
	Reliable func() bool
	// Service is the service that the local backend server runs.
	Service describer.ServiceName
}

type receiver struct {
	config Config
}

// New returns the handler for requests that are routed by host and path.
func New(config Config) http.Handler {
	r := &receiver{
		config: config,
	}
	e := echo.New()
	e.HideBanner = true
	e.Any("/*", r.handle)
	return e
}

func (r *receiver) handle(c echo.Context) error {
	req := c.Request()
	call, refusal := r.readCall(req)
	if refusal != nil {
		return r.writeFailure(c, refusal)
	}
	var err error
	if call.Body, err = gateway.OpenBody(c, call.Deadline); err != nil {
		// The caller closed the connection or sent an incomplete body. Nobody would
		// read an answer.
		panic(http.ErrAbortHandler)
	}
	defer call.Body.Close()
	answer := r.config.Dispatcher.Dispatch(req.Context(), call)
	defer answer.Close()
	if call.Organisation != "" {
		r.config.Tally.RecordAnswer(tallyKey(call), answer)
	}
	err = r.writeAnswer(c, call, answer)
	gateway.FinishBody(c, call.Body, call.Deadline)
	return err
}

// writeAnswer writes any answer to a call.
func (r *receiver) writeAnswer(c echo.Context, call *caller.Call, answer *caller.Answer) error {
	if answer.Outcome == caller.Answered {
		h := c.Response().Header()
		h.Set(r.config.Dialect.RequestID, call.RequestID)
		if answer.Proof != "" {
			h.Set(r.config.Dialect.Proof, answer.Proof)
		}
		return gateway.WriteAnswer(c, call, answer)
	}
	return r.writeFailure(c, answer)
}

// readCall builds the call that a request describes. If it can't, it returns a
// refusal instead.
func (r *receiver) readCall(req *http.Request) (*caller.Call, *caller.Answer) {
	now := time.Now()
	settings := r.config.Settings()
	id := req.Header.Get(r.config.Dialect.RequestID)
	call := &caller.Call{
		RequestID:     id,
		CallID:        caller.NewID(),
		Method:        req.Method,
		Path:          req.RequestURI,
		CallerService: r.config.Service.Name,
	}
	if settings.Version == 0 {
		return nil, r.refuseWithoutSettings(call, 0)
	}
	if id == "" || len(id) > maxRequestIDBytes {
		return nil, r.recordRefusal(call, caller.ReasonBadRequest, "header "+r.config.Dialect.RequestID+" is missing or too long")
	}
	team, route, ok := settings.MatchHostTeam(requestHost(req), req.URL.EscapedPath())
	if !ok {
		return nil, r.recordRefusal(call, caller.ReasonNoRoute, "")
	}
	registry := r.config.Directory.Registry(settings, team)
	organisation, refusal := r.authenticate(call, req, registry, route, settings.Version)
	if refusal != nil {
		return nil, refusal
	}
	if limit := settings.Hosts[route.Destinations[0].Service.Team].Limits.BodyBytes; limit > 0 {
		if req.ContentLength > limit {
			return nil, r.recordRefusal(call, caller.ReasonBodyTooLarge, "")
		}
		req.Body = http.MaxBytesReader(nil, req.Body, limit)
	}
	var hasDestination bool
	if call.Service, hasDestination = pickDestination(route.Destinations, rand.Float64()); !hasDestination {
		return nil, r.refuseWithoutDestination(call, route)
	}
	if err := r.applyRoute(call, req, route, now); err != nil {
		return nil, r.recordRefusal(call, caller.ReasonBadRequest, err.Error())
	}
	if registry != nil {
		r.applyOrganisation(call, registry, organisation, route, now)
	}
	return call, nil
}

// requestHost returns the request's host without a port, in lower case.
func requestHost(req *http.Request) string {
	if host, _, err := net.SplitHostPort(req.Host); err == nil {
		return strings.ToLower(host)
	}
	return strings.ToLower(req.Host)
}

// applyRoute sets the fields of call that depend on the route and on the request's
// headers. The deadline follows the shorter of the route's timeout and the caller's.
func (r *receiver) applyRoute(call *caller.Call, req *http.Request, route describer.HostRoute, now time.Time) error {
	timeout := route.Timeout
	if text := req.Header.Get(r.config.Dialect.Timeout); text != "" {
		requested, err := r.config.Dialect.ParseTimeout(text)
		if err != nil {
			return err
		}
		timeout = min(timeout, requested)
	}
	call.Route = route.Name
	call.Idempotent = route.Idempotent
	call.Objective = route.Objective
	call.MaxTargets = uint32(route.MaxTargets)
	call.Deadline = now.Add(timeout)
	call.Priority = caller.NewPriority(route.Criticality(), call.RequestID, now)
	call.Header = labeler.ForwardedHeaders(req)
	r.config.Dialect.RemoveReserved(call.Header)
	// These two are fields of the call. The target's node sets the headers again.
	call.Header.Del(r.config.Dialect.RequestID)
	call.Header.Del(r.config.Dialect.Timeout)
	return nil
}

// refuseWithoutDestination returns the refusal of a request on a route whose weights are all 0.
func (r *receiver) refuseWithoutDestination(call *caller.Call, route describer.HostRoute) *caller.Answer {
	answer := r.recordDecision(recorder.Decision{
		RequestID: call.RequestID,
		CallID:    call.CallID,
		Reason:    caller.ReasonNoTarget,
		Route:     route.Name,
	}, "all weights of the route are 0")
	answer.RetryAfter = noDestinationRetryAfter
	return answer
}

// recordRefusal returns the refusal of a request for which no call is made, and
// records the decision.
func (r *receiver) recordRefusal(call *caller.Call, reason caller.Reason, detail string) *caller.Answer {
	return r.recordDecision(recorder.Decision{
		RequestID: call.RequestID,
		CallID:    call.CallID,
		Reason:    reason,

		Organisation: call.Organisation,
	}, detail)
}

// recordDecision records the decision to refuse a request, and returns the refusal.
func (r *receiver) recordDecision(decision recorder.Decision, detail string) *caller.Answer {
	answer := caller.NewFailure(caller.NotRun, decision.Reason)
	answer.Detail = detail
	decision.Action = recorder.Refuse
	decision.Outcome = answer.Outcome
	r.config.Recorder.Record(decision)
	return answer
}

// writeFailure writes the answer to a call that was refused or failed.
func (r *receiver) writeFailure(c echo.Context, answer *caller.Answer) error {
	h := c.Response().Header()
	if id := c.Request().Header.Get(r.config.Dialect.RequestID); id != "" {
		h.Set(r.config.Dialect.RequestID, id)
	}
	h.Set(labeler.Outcome, answer.Outcome.String())
	h.Set(labeler.Reason, answer.Reason.String())
	status := failureStatus(answer)
	if status == http.StatusUnauthorized && r.config.Dialect.Challenge != "" {
		h.Set("WWW-Authenticate", r.config.Dialect.Challenge)
	}
	if (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && answer.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', 3, 64))
	}
	text := answer.Outcome.String() + ": " + answer.Reason.String() + "\n"
	// Without a length, the answer is complete only after the request body was discarded.
	h.Set("Content-Length", strconv.Itoa(len(text)))
	return c.String(status, text)
}

// failureStatus returns the HTTP status for a call that was refused or failed. 401, 429 and
// 503 guarantee that the request did not run and never will. 502 and 504 guarantee nothing.
func failureStatus(answer *caller.Answer) int {
	switch {
	case answer.Reason == caller.ReasonNoRoute:
		return http.StatusNotFound
	case answer.Reason == caller.ReasonBodyTooLarge && answer.Outcome == caller.NotRun:
		return http.StatusRequestEntityTooLarge
	case answer.Reason == caller.ReasonBadRequest:
		return http.StatusBadRequest
	case answer.Reason == caller.ReasonUnknownKey && answer.Outcome == caller.NotRun:
		return http.StatusUnauthorized
	case answer.Reason == caller.ReasonQuota && answer.Outcome == caller.NotRun:
		return http.StatusTooManyRequests
	case answer.Outcome == caller.NotRun:
		return http.StatusServiceUnavailable
	case answer.Reason == caller.ReasonTimeout || answer.Reason == caller.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
