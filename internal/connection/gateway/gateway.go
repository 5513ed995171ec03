// Package gateway serves HTTP requests that name the service they call. They come
// from clients and from the local backend server when it calls other services.
//
// # Usage
//
//	handler := gateway.New(gateway.Config{Dispatcher: dispatcher, Inbound: table, Settings: settings})
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

// badRequests counts requests that were rejected because they are malformed.
var badRequests = expvar.NewInt("badRequests")

// Dispatcher sends outbound calls to their service.
type Dispatcher interface {
	Dispatch(ctx context.Context, call *caller.Call) *caller.Answer
}

// Config holds the dependencies of a gateway.
type Config struct {
	Dispatcher Dispatcher
	Inbound    *tracker.Table
	Settings   func() *describer.Settings
}

type gateway struct {
	config Config
}

// New returns the handler for the requests of callers.
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
	call, err := g.readCall(c.Request())
	if err == nil {
		call.Body, err = OpenBody(c, call.Deadline)
		err = errors.Wrap(err, "request body")
	}
	if err != nil {
		badRequests.Add(1)
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	defer call.Body.Close()
	answer := g.config.Dispatcher.Dispatch(c.Request().Context(), call)
	defer answer.Close()
	err = g.writeAnswer(c, call, answer)
	FinishBody(c, call.Body, call.Deadline)
	return err
}

// writeAnswer writes any answer to a call.
func (g *gateway) writeAnswer(c echo.Context, call *caller.Call, answer *caller.Answer) error {
	h := c.Response().Header()
	h.Set(labeler.RequestID, call.RequestID)
	h.Set(labeler.Outcome, answer.Outcome.String())
	h.Set(labeler.Reason, answer.Reason.String())
	if answer.Successor != nil {
		h.Set(labeler.Token, deduplicator.FormatToken(answer.Successor))
	}
	if answer.Outcome == caller.Answered {
		return WriteAnswer(c, call, answer)
	}
	return writeFailure(c, answer)
}

// writeFailure writes the answer to a call that was refused or failed.
func writeFailure(c echo.Context, answer *caller.Answer) error {
	if answer.RetryAfter > 0 {
		seconds := int64((answer.RetryAfter + time.Second - 1) / time.Second)
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	text := answer.Outcome.String() + ": " + answer.Reason.String()
	if answer.Detail != "" {
		text += ": " + answer.Detail
	}
	text += "\n"
	// Without a length, the answer is complete only after the request body was discarded.
	c.Response().Header().Set("Content-Length", strconv.Itoa(len(text)))
	return c.String(failureStatus(answer), text)
}

// failureStatus returns the HTTP status for a call that was refused or failed.
func failureStatus(answer *caller.Answer) int {
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

// unreadTimeout is how long after the deadline of its call an answer still waits for a caller
// that does not read.
const unreadTimeout = 2 * time.Second

// WriteAnswer writes the answer to a call, with its body, to the response. If copying the body
// fails, or the caller stops reading a large one, WriteAnswer aborts the connection, so that the
// caller can't mistake the part it received for the complete body.
func WriteAnswer(c echo.Context, call *caller.Call, answer *caller.Answer) error {
	response := c.Response()
	h := response.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	response.WriteHeader(answer.Status)
	length, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	hasLength := err == nil
	if hasLength && length <= copyBufferBytes {
		// The buffers of a connection take a small body, so that writing it does not block.
		abortOnError(copyBody(response, answer.Body, false))
		return nil
	}
	// The HTTP server removes the deadline before it reads the next request.
	controller := http.NewResponseController(response)
	if err := controller.SetWriteDeadline(call.Deadline.Add(unreadTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		panic(http.ErrAbortHandler)
	}
	abortOnError(copyBody(response, answer.Body, !hasLength))
	return nil
}

// abortOnError aborts the connection if err is not nil.
func abortOnError(err error) {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

const copyBufferBytes = 16 << 10

// copyBuffers holds the buffers of copyBody.
var copyBuffers = sync.Pool{
	New: func() any {
		return new([copyBufferBytes]byte)
	},
}

// copyBody copies body to the response. If flush is set, it flushes after each write.
func copyBody(response *echo.Response, body io.Reader, flush bool) error {
	pooled := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(pooled)
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

// readCall builds the call that a request describes.
func (g *gateway) readCall(req *http.Request) (*caller.Call, error) {
	service, err := parseService(req)
	if err != nil {
		return nil, err
	}
	call, err := initiator.New(g.config.Settings(), g.config.Inbound, initiator.Params{
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
	call.Header = forwardedHeaders(req)
	return call, nil
}

// parseService returns the service that a request calls. The header Shelf-Service
// names it, or else a Host of the form SERVICE.TEAM.
func parseService(req *http.Request) (describer.ServiceName, error) {
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

// forwardedHeaders returns the headers that are sent on with a call. The product's
// own headers are not among them.
func forwardedHeaders(req *http.Request) http.Header {
	h := labeler.ForwardedHeaders(req)
	for name := range h {
		if strings.HasPrefix(name, "Shelf-") {
			h.Del(name)
		}
	}
	return h
}
