package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Connection parameters.
const (
	// syncBytes is the largest body that is sent before the answer is awaited;
	// it fits what a socket buffers.
	syncBytes = 8 << 10
	// defaultIdle is how long a connection is kept idle when the backend server
	// does not say.
	defaultIdle = time.Minute
	// idleMargin is how long before the backend server's own idle timeout a
	// connection is given up.
	idleMargin = time.Second
)

// conn is one connection to the backend server.
type conn struct {
	net.Conn
	pool   *pool
	reader *bufio.Reader
	// usable is until when the connection may be used again.
	usable time.Time
}

// exchange sends a request and returns the answer that check accepts. The body
// of the answer must be closed, which returns the connection.
func (c *conn) exchange(ctx context.Context, req *http.Request, check func(*http.Response) error) (*http.Response, error) {
	watch := newGuard(ctx, c.Conn, c.pool.config.CancelGrace)
	sent := make(chan error, 1)
	if req.Body == nil || (req.ContentLength >= 0 && req.ContentLength <= syncBytes) {
		sent <- c.send(req)
	} else {
		// The answer may come before a long body is sent.
		go func() {
			sent <- c.send(req)
		}()
	}
	resp, err := c.receive(req, check)
	if err != nil {
		watch.end()
		c.discard()
		return nil, preferSendError(err, sent)
	}
	resp.Body = &body{
		ReadCloser: resp.Body,
		conn:       c,
		watch:      watch,
		whole:      resp.Body == http.NoBody || resp.ContentLength == 0,
		sent:       sent,
		reusable:   !resp.Close,
		idle:       idleTime(resp.Header),
	}
	return resp, nil
}

// preferSendError prefers the cause on the caller's side to what it led to.
func preferSendError(err error, sent <-chan error) error {
	select {
	case sendErr := <-sent:
		if sendErr != nil {
			return sendErr
		}
	default:
	}
	return err
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

// receive reads answers until check accepts one. Answers to other requests are
// passed over.
func (c *conn) receive(req *http.Request, check func(*http.Response) error) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		err = check(resp)
		if err == nil {
			return resp, nil
		}
		if !errors.Is(err, errNotOurs) {
			return nil, err
		}
		if _, copyErr := io.Copy(io.Discard, resp.Body); copyErr != nil || resp.Close {
			return nil, err
		}
	}
}

func (c *conn) discard() {
	c.Conn.Close()
	c.pool.release()
}

// idleTime returns how long a connection may stay idle after an answer.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			stated := time.Duration(seconds) * time.Second
			return stated - min(idleMargin, stated/2)
		}
	}
	return defaultIdle
}

// body is an answer's body; closing it returns or closes the connection.
type body struct {
	io.ReadCloser
	conn     *conn
	watch    *guard
	sent     <-chan error
	reusable bool
	idle     time.Duration
	once     sync.Once
	whole    bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.once.Do(b.finish)
	return nil
}

// finish keeps the connection when both the request and the answer are whole and
// nothing else came.
func (b *body) finish() {
	running := b.watch.end()
	requestSent := false
	select {
	case err := <-b.sent:
		requestSent = err == nil
	default:
	}
	if !running || !b.whole || !b.reusable || !requestSent || b.conn.reader.Buffered() > 0 {
		b.conn.discard()
		return
	}
	b.conn.usable = time.Now().Add(b.idle)
	b.conn.pool.put(b.conn)
}
