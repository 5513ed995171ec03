package gateway

import (
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// Limits for the rest of a request body whose answer was already sent.
const (
	maxDiscardedBytes = 1 << 20
	discardTimeout    = 5 * time.Second
)

// OpenBody returns the body of a request, which the caller must close. A large body is
// still being received.
//
// If the answer comes before such a body was read, the HTTP server would by default
// discard a part of it before it sends the answer, while an attempt reads the rest. In
// full duplex mode it leaves the body alone until the handler returns.
//
// The part that is read before the call is routed must arrive by the deadline of the call.
// Otherwise a caller that never sends it would hold a connection for good.
func OpenBody(c echo.Context, deadline time.Time) (*caller.Body, error) {
	if r := c.Request(); r.Body == nil || r.Body == http.NoBody {
		return caller.NewBody(nil)
	}
	controller := http.NewResponseController(c.Response())
	if err := controller.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, errors.Wrap(err, "limit the time of the request body")
	}
	body, err := caller.NewBody(c.Request().Body)
	if err == nil {
		err = controller.SetReadDeadline(time.Time{})
		if errors.Is(err, http.ErrNotSupported) {
			err = nil
		}
	}
	if err != nil || body.Complete() {
		return body, err
	}
	if err := controller.EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, errors.Wrap(err, "enable sending the answer while the body arrives")
	}
	return body, nil
}

// FinishBody ends the use of a request body after the answer was written. It discards
// what the caller still sends, because the HTTP server must not find the end of the body
// itself in full duplex mode. If the rest is too long or too late, FinishBody aborts the
// connection.
//
// The end of an answer without a length is sent after that. The rest of the body may then be of any
// length and take until the deadline of the call.
func FinishBody(c echo.Context, body *caller.Body, deadline time.Time) {
	if body.Complete() {
		return
	}
	limit, end := int64(maxDiscardedBytes), time.Now().Add(discardTimeout)
	if c.Response().Header().Get("Content-Length") == "" {
		limit = math.MaxInt64
		if deadline.After(end) {
			end = deadline
		}
	}
	// The caller may wait for the answer before it sends the rest.
	c.Response().Flush()
	controller := http.NewResponseController(c.Response())
	if err := controller.SetReadDeadline(end); err != nil && !errors.Is(err, http.ErrNotSupported) {
		panic(http.ErrAbortHandler)
	}
	if err := body.Discard(limit); err != nil {
		panic(http.ErrAbortHandler)
	}
}
