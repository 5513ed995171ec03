// Package receiver serves requests that a host and a path prefix lead to a
// service: those of clients, and those of the local backend server.
//
// # Usage
//
//	handler := receiver.New(receiver.Config{Calls: dispatcher, Settings: settings, Dialect: dialect})
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
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// maxIDBytes bounds the request IDs that callers choose.
const maxIDBytes = 128

// startRetryAfter is what a caller is told to wait while the node has no
// settings; they arrive within a second of the store's answer.
const startRetryAfter = 500 * time.Millisecond

// Config is what a receiver needs.
type Config struct {
	Dispatcher gateway.Dispatcher
	Dialect    labeler.Dialect
	Settings   func() *describer.Settings
	Recorder   *recorder.Recorder
	// Service is the service that the local backend server runs.
	Service describer.ServiceName
}

type receiver struct {
	config Config
}

// New returns the handler of requests by host and path.
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
	call, refusal := r.read(req)
	if refusal != nil {
		return r.refuse(c, refusal)
	}
	var err error
	if call.Body, err = caller.NewBody(req.Body); err != nil {
		// The caller is gone or broke its body off; nobody reads an answer.
		panic(http.ErrAbortHandler)
	}
	answer := r.config.Dispatcher.Dispatch(req.Context(), call)
	defer answer.Close()
	if answer.Outcome == caller.Answered {
		h := c.Response().Header()
		h.Set(r.config.Dialect.RequestID, call.RequestID)
		if answer.Proof != "" {
			h.Set(r.config.Dialect.Proof, answer.Proof)
		}
		return gateway.WriteAnswer(c, answer)
	}
	return r.refuse(c, answer)
}

// read turns a request into a call, or refuses it.
func (r *receiver) read(req *http.Request) (*caller.Call, *caller.Answer) {
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
		answer := r.refusal(call, caller.ReasonNoSettings, "")
		answer.RetryAfter = startRetryAfter
		return nil, answer
	}
	if id == "" || len(id) > maxIDBytes {
		return nil, r.refusal(call, caller.ReasonBadRequest, "header "+r.config.Dialect.RequestID+" is missing or too long")
	}
	route, ok := settings.MatchHost(hostOf(req), req.URL.EscapedPath())
	if !ok {
		return nil, r.refusal(call, caller.ReasonNoRoute, "")
	}
	if limit := settings.Hosts[route.Destinations[0].Service.Team].Limits.BodyBytes; limit > 0 {
		if req.ContentLength > limit {
			return nil, r.refusal(call, caller.ReasonBodyTooLarge, "")
		}
		req.Body = http.MaxBytesReader(nil, req.Body, limit)
	}
	if err := r.fill(call, req, route, now); err != nil {
		return nil, r.refusal(call, caller.ReasonBadRequest, err.Error())
	}
	return call, nil
}

func hostOf(req *http.Request) string {
	if host, _, err := net.SplitHostPort(req.Host); err == nil {
		return strings.ToLower(host)
	}
	return strings.ToLower(req.Host)
}

// fill takes over what the route and the request's headers say.
func (r *receiver) fill(call *caller.Call, req *http.Request, route describer.HostRoute, now time.Time) error {
	timeout := route.Timeout
	if text := req.Header.Get(r.config.Dialect.Timeout); text != "" {
		asked, err := r.config.Dialect.ParseTimeout(text)
		if err != nil {
			return err
		}
		timeout = min(timeout, asked)
	}
	call.Service = pick(route.Destinations)
	call.Route = route.Name
	call.Idempotent = route.Idempotent
	call.Objective = route.Objective
	call.MaxTargets = uint32(route.MaxAttempts)
	call.Deadline = now.Add(timeout)
	call.Priority = caller.NewPriority(route.Criticality(), call.RequestID, now)
	call.Header = labeler.ForwardedHeaders(req)
	r.config.Dialect.RemoveReserved(call.Header)
	// The call itself holds them, and the target's node writes them again.
	call.Header.Del(r.config.Dialect.RequestID)
	call.Header.Del(r.config.Dialect.Timeout)
	return nil
}

// pick draws a destination by weight.
func pick(destinations []describer.Destination) describer.ServiceName {
	total := 0
	for _, destination := range destinations {
		total += destination.Weight
	}
	draw := 0
	if total > 0 {
		draw = rand.IntN(total)
	}
	for _, destination := range destinations {
		if draw < destination.Weight {
			return destination.Service
		}
		draw -= destination.Weight
	}
	return destinations[0].Service
}

// refusal refuses a request before it becomes a call.
func (r *receiver) refusal(call *caller.Call, reason caller.Reason, detail string) *caller.Answer {
	answer := caller.NewRefusal(caller.NotRun, reason)
	answer.Detail = detail
	r.config.Recorder.Record(recorder.Decision{
		RequestID: call.RequestID,
		CallID:    call.CallID,
		Action:    recorder.Refuse,
		Reason:    reason,
		Outcome:   answer.Outcome,
	})
	return answer
}

// refuse writes a refusal.
func (r *receiver) refuse(c echo.Context, answer *caller.Answer) error {
	h := c.Response().Header()
	if id := c.Request().Header.Get(r.config.Dialect.RequestID); id != "" {
		h.Set(r.config.Dialect.RequestID, id)
	}
	h.Set(labeler.Outcome, answer.Outcome.String())
	h.Set(labeler.Reason, answer.Reason.String())
	status := statusOf(answer)
	if status == http.StatusServiceUnavailable && answer.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', 3, 64))
	}
	return c.String(status, answer.Outcome.String()+": "+answer.Reason.String()+"\n")
}

// statusOf returns the HTTP status of a refusal. 503 promises that the request did
// not run and never will; 502 and 504 promise nothing.
func statusOf(answer *caller.Answer) int {
	switch {
	case answer.Reason == caller.ReasonNoRoute:
		return http.StatusNotFound
	case answer.Reason == caller.ReasonBodyTooLarge && answer.Outcome == caller.NotRun:
		return http.StatusRequestEntityTooLarge
	case answer.Reason == caller.ReasonBadRequest:
		return http.StatusBadRequest
	case answer.Outcome == caller.NotRun:
		return http.StatusServiceUnavailable
	case answer.Reason == caller.ReasonTimeout || answer.Reason == caller.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
