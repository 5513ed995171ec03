package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Connection parameters.
const (
	// maxSyncBodyBytes is the largest body that is sent before the answer is read. It
	// fits into the buffers of a socket.
	maxSyncBodyBytes = 8 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the backend
	// server states no timeout.
	defaultIdleTimeout = time.Minute
	// idleTimeoutMargin is how long before the backend server's stated idle
	// timeout a connection is no longer used.
	idleTimeoutMargin = time.Second
	// maxRefused is the number of refused requests after which a connection is closed.
	maxRefused = 128
)

// conn is a connection to the backend server.
type conn struct {
	net.Conn
	pool   *pool
	reader *bufio.Reader
	// head is the source of reader.
	head *headReader
	// usableUntil is the time until which the idle connection may be reused.
	usableUntil time.Time
	// refused holds the IDs of the requests that the backend server refused on this
	// connection. It may send such a refusal once more, so these requests never use the
	// connection again.
	refused []string
}

// mayCarry reports whether the connection may carry a request.
func (c *conn) mayCarry(requestID string) bool {
	return len(c.refused) < maxRefused && !slices.Contains(c.refused, requestID)
}

// exchange sends a request and returns the answer that check accepts. The caller must
// close the body of the answer, which returns the connection to the pool or closes it.
func (c *conn) exchange(ctx context.Context, req *http.Request, check func(*http.Response) error) (*http.Response, error) {
	sent := newSending()
	watcher := newCancelWatcher(ctx, c.Conn, sent, c.pool.config.CancelGrace)
	if req.Body == nil || (req.ContentLength >= 0 && req.ContentLength <= maxSyncBodyBytes) {
		sent.end(c.send(req))
	} else {
		// The answer may arrive before a long body is sent.
		go func() {
			sent.end(c.send(req))
		}()
	}
	resp, err := c.receive(req, check)
	if err != nil {
		watcher.stop()
		c.discard()
		return nil, preferSendError(err, sent)
	}
	resp.Body = &body{
		ReadCloser:  resp.Body,
		ctx:         ctx,
		response:    resp,
		conn:        c,
		watcher:     watcher,
		readToEnd:   resp.Body == http.NoBody || resp.ContentLength == 0,
		sent:        sent,
		reusable:    !resp.Close,
		idleTimeout: idleTimeoutFromHeaders(resp.Header),
	}
	return resp, nil
}

// preferSendError returns the error of sending the request if there is one, because it
// caused err, the error of reading the answer. Otherwise it returns err.
func preferSendError(err error, sent *sending) error {
	if ended, sendErr := sent.result(); ended && sendErr != nil {
		return sendErr
	}
	return err
}

// sending is the sending of a request, which may go on while the answer is read.
type sending struct {
	// ended is closed at the end. Then err is set.
	ended chan struct{}
	err   error
}

func newSending() *sending {
	return &sending{
		ended: make(chan struct{}),
	}
}

func (s *sending) end(err error) {
	s.err = err
	close(s.ended)
}

// result reports whether the sending has ended, and with which error.
func (s *sending) result() (ended bool, err error) {
	select {
	case <-s.ended:
		return true, s.err
	default:
		return false, nil
	}
}

// wait waits for the end of the sending or of ctx, and returns its error.
func (s *sending) wait(ctx context.Context) error {
	select {
	case <-s.ended:
		return s.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *conn) send(req *http.Request) error {
	writer := c.pool.writers.Get().(*bufio.Writer)
	writer.Reset(c.Conn)
	defer c.pool.writers.Put(writer)
	if err := req.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// receive reads answers until check accepts one. It skips a limited number of interim
// answers (1xx) and answers to other requests.
func (c *conn) receive(req *http.Request, check func(*http.Response) error) (*http.Response, error) {
	for range maxSkippedAnswers + 1 {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		c.head.startHead(buffered)
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if err := c.head.endHead(resp); err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		err = check(resp)
		if err == nil {
			return resp, nil
		}
		if !errors.Is(err, errOtherRequest) {
			return nil, err
		}
		if !skipBody(resp.Body) || resp.Close {
			return nil, err
		}
	}
	return nil, errTooManySkipped
}

// discard closes the connection and frees its slot in the pool.
func (c *conn) discard() {
	c.Conn.Close()
	c.pool.releaseSlot()
}

// keep returns a connection that has carried no request since it was taken.
func (c *conn) keep() {
	if c.usableUntil.IsZero() {
		c.usableUntil = time.Now().Add(defaultIdleTimeout)
	}
	c.pool.put(c)
}

// idleTimeoutFromHeaders returns how long a connection may stay idle after an answer with
// the headers h. It is a little less than the timeout that the backend server states.
func idleTimeoutFromHeaders(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			stated := time.Duration(seconds) * time.Second
			return stated - min(idleTimeoutMargin, stated/2)
		}
	}
	return defaultIdleTimeout
}

// body is the body of an answer. Closing it returns the connection to the pool or
// closes the connection.
type body struct {
	io.ReadCloser
	ctx         context.Context
	response    *http.Response
	conn        *conn
	watcher     *cancelWatcher
	sent        *sending
	reusable    bool
	idleTimeout time.Duration
	once        sync.Once
	readToEnd   bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := b.checkEnd(); err != nil {
		return n, err
	}
	b.readToEnd = true
	return n, io.EOF
}

// checkEnd returns an error if the end of the body does not show that it is complete.
//
// The system reports a reset of a connection only once. If sending the request has got that report,
// or may get it yet, the end of the connection is no end of the body.
func (b *body) checkEnd() error {
	if err := checkTrailer(b.response.Trailer); err != nil {
		return err
	}
	if isDelimited(b.response) || b.ReadCloser == http.NoBody {
		return nil
	}
	return errors.Wrap(b.sent.wait(b.ctx), "the connection ended during the request, so the end of the answer is not known")
}

// isDelimited reports whether the end of the body is known without the end of the connection.
func isDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.once.Do(b.finish)
	return nil
}

// finish returns the connection to the pool if it is still open, the request was sent
// completely, the answer was read completely and no further data arrived. Otherwise it
// closes the connection.
func (b *body) finish() {
	open := b.watcher.stop()
	sent, err := b.sent.result()
	if !open || !b.readToEnd || !b.reusable || !sent || err != nil || b.conn.reader.Buffered() > 0 {
		b.conn.discard()
		return
	}
	b.conn.usableUntil = time.Now().Add(b.idleTimeout)
	b.conn.pool.put(b.conn)
}
