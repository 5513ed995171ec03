// Package gateway serves the callers' HTTP requests: clients, and the local
// backend server when it calls other services.
//
// # Usage
//
//	handler := gateway.New(gateway.Config{Calls: dispatcher, Inbound: table, Settings: settings})
//	http.Serve(listener, handler)
package gateway

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/labeler"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/deduplicator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/initiator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tracker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// badRequests counts requests that were refused for their form.
var badRequests = expvar.NewInt("badRequests")

// Dispatcher makes outbound calls.
type Dispatcher interface {
	Dispatch(ctx context.Context, call *caller.Call) *caller.Answer
}

// Config is what a gateway needs.
type Config struct {
	Dispatcher Dispatcher
	Inbound    *tracker.Table
	Settings   func() *describer.Settings
}

type gateway struct {
	config Config
}

// New returns the handler of callers' requests.
func New(config Config) http.Handler {
	g := &gateway{
		config: config,
	}
	e := echo.New()
	e.HideBanner = true
	e.Any("/*", g.handle)
	return e
}

func (g *gateway) handle(c echo.Context) error {
	call, err := g.read(c.Request())
	if err != nil {
		badRequests.Add(1)
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	answer := g.config.Dispatcher.Dispatch(c.Request().Context(), call)
	defer answer.Close()
	h := c.Response().Header()
	h.Set(labeler.RequestID, call.RequestID)
	h.Set(labeler.Outcome, answer.Outcome.String())
	h.Set(labeler.Reason, answer.Reason.String())
	if answer.Successor != nil {
		h.Set(labeler.Token, deduplicator.FormatToken(answer.Successor))
	}
	if answer.Outcome == caller.Answered {
		return WriteAnswer(c, answer)
	}
	return refuse(c, answer)
}

// refuse writes a refusal.
func refuse(c echo.Context, answer *caller.Answer) error {
	if answer.RetryAfter > 0 {
		seconds := int64((answer.RetryAfter + time.Second - 1) / time.Second)
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	text := answer.Outcome.String() + ": " + answer.Reason.String()
	if answer.Detail != "" {
		text += ": " + answer.Detail
	}
	return c.String(RefusalStatus(answer), text+"\n")
}

// RefusalStatus returns the HTTP status of a refusal.
func RefusalStatus(answer *caller.Answer) int {
	switch answer.Reason {
	case caller.ReasonTokenNeeded:
		return http.StatusPreconditionRequired
	case caller.ReasonUnknownService:
		return http.StatusNotFound
	case caller.ReasonBadRequest, caller.ReasonBodyBroken:
		return http.StatusBadRequest
	case caller.ReasonTooDeep:
		return http.StatusLoopDetected
	case caller.ReasonDeadline, caller.ReasonTimeout:
		return http.StatusGatewayTimeout
	}
	if answer.Outcome == caller.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// WriteAnswer writes a whole answer. A body that breaks off aborts the connection, so
// that the caller cannot take it for a whole one.
func WriteAnswer(c echo.Context, answer *caller.Answer) error {
	response := c.Response()
	h := response.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	response.WriteHeader(answer.Status)
	known := h.Get("Content-Length") != ""
	if err := copyBody(response, answer.Body, !known); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

const bufferBytes = 16 << 10

// buffers holds buffers for parts of bodies.
var buffers = sync.Pool{
	New: func() any {
		return new([bufferBytes]byte)
	},
}

// copyBody copies a body and flushes each part when flush is set.
func copyBody(response *echo.Response, body io.Reader, flush bool) error {
	pooled := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(pooled)
	buffer := pooled[:]
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := response.Write(buffer[:n]); werr != nil {
				return werr
			}
			if flush {
				response.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// read turns a request into a call.
func (g *gateway) read(req *http.Request) (*caller.Call, error) {
	service, err := serviceOf(req)
	if err != nil {
		return nil, err
	}
	call, err := initiator.New(g.config.Settings(), g.config.Inbound, initiator.Request{
		Service:     service,
		Method:      req.Method,
		Path:        req.URL.Path,
		URI:         req.URL.RequestURI(),
		RequestID:   req.Header.Get(labeler.RequestID),
		ParentID:    req.Header.Get(labeler.Parent),
		Timeout:     req.Header.Get(labeler.Timeout),
		Criticality: req.Header.Get(labeler.Criticality),
		Token:       req.Header.Get(labeler.Token),
	}, time.Now())
	if err != nil {
		return nil, err
	}
	call.Header = forwarded(req)
	call.Body, err = caller.NewBody(req.Body)
	return call, errors.Wrap(err, "request body")
}

// serviceOf returns the service a request is for: the header, or a Host of the
// form SERVICE.TEAM.
func serviceOf(req *http.Request) (describer.ServiceName, error) {
	if text := req.Header.Get(labeler.Service); text != "" {
		name, err := describer.ParseServiceName(text)
		return name, errors.Wrapf(err, "header %s", labeler.Service)
	}
	host, _, _ := strings.Cut(req.Host, ":")
	name, team, found := strings.Cut(host, ".")
	if !found || strings.Contains(team, ".") {
		return describer.ServiceName{}, errors.Newf("request names no service; set the header %s to team/service", labeler.Service)
	}
	return describer.ServiceName{
		Team: team,
		Name: name,
	}, nil
}

// forwarded returns the headers that travel with a call.
func forwarded(req *http.Request) http.Header {
	h := labeler.ForwardedHeaders(req)
	for name := range h {
		if strings.HasPrefix(name, "Shelf-") {
			h.Del(name)
		}
	}
	return h
}
