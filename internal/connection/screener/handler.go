package screener

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/evictor"
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// screened returns handler with bodies that are charged to the budget.
func screened(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		switch {
		case !ok:
			handler.ServeHTTP(w, r)
		case c.refused:
			counts.Add(refusedHeads, 1)
			writeRefusal(w)
		case r.Body == nil || r.Body == http.NoBody:
			handler.ServeHTTP(w, r)
		default:
			c.serveBody(handler, w, r)
		}
	})
}

// serveBody serves a request with a body. A body that does not fit into the budget while it is
// kept to route the request is answered 503, since the request was not passed on yet.
func (c *conn) serveBody(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	body := &chargedBody{
		ReadCloser: r.Body,
		conn:       c,
		head:       c.charged,
	}
	r.Body = body
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	body.watch = newDepartureWatch(c.Conn, r.ContentLength, cancel)
	defer body.watch.stop()
	r = r.WithContext(ctx)
	c.setPhase(evictor.Body)
	defer func() {
		if !body.refused {
			return
		}
		recover()
		counts.Add(refusedBodies, 1)
		writeRefusal(w)
	}()
	handler.ServeHTTP(w, r)
	if !body.ended {
		// The server reads the rest of the body before it sends the answer.
		c.Conn.SetReadDeadline(time.Now().Add(discardTimeout))
	}
}

// discardTimeout limits how long an answer waits for the rest of a body that was not needed.
const discardTimeout = 2 * time.Second

func writeRefusal(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// chargedBody charges the first bytes of a body to the budget. They are read before the request
// is passed on, and kept until it ends.
type chargedBody struct {
	io.ReadCloser
	conn *conn
	// head is the weight of the head, and bytes the part of the body that was charged.
	head    int64
	bytes   int64
	refused bool
	// ended is set when the whole body was read, or reading it failed.
	ended bool
	// watch tells when the client leaves while the body is not read.
	watch *departureWatch
}

// Read implements io.ReadCloser. It aborts the handler if the body does not fit.
func (b *chargedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended = true
	}
	b.watch.observe(n, err)
	if b.bytes >= caller.PrefetchBytes {
		return n, err
	}
	b.bytes += int64(n)
	if (b.ended || b.bytes >= caller.PrefetchBytes) && !b.conn.startServing() {
		// The connection was closed to make room. The request must not be passed on.
		panic(http.ErrAbortHandler)
	}
	if !b.conn.grow(b.head + min(b.bytes, caller.PrefetchBytes)) {
		b.refused = true
		panic(http.ErrAbortHandler)
	}
	return n, err
}
