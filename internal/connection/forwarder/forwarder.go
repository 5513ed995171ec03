// Package forwarder runs calls at the local backend server over HTTP.
//
// It owns its connections, because a backend server may be faulty: it may send
// bytes that are no answer, answers to earlier requests, or cut an answer off.
// An answer is taken only when it repeats the call's request ID and is whole.
//
// # Usage
//
//	backend := forwarder.New(forwarder.Config{
//		Address:     address,
//		Connections: 110,
//		Dial:        forwarder.Dial(time.Second),
//		Dialect:     labeler.Own(),
//	})
//	answer, err := backend.Do(ctx, call)
package forwarder

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/labeler"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// DialFunc opens a connection to the backend server.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewDialFunc returns a DialFunc with the given timeout.
func NewDialFunc(timeout time.Duration) DialFunc {
	dialer := &net.Dialer{
		Timeout: timeout,
	}
	return dialer.DialContext
}

// Config is what a Forwarder needs.
type Config struct {
	Address netip.AddrPort
	// MaxConnections bounds the connections to the backend server.
	MaxConnections int
	Dial           DialFunc
	Dialect        labeler.Dialect
	// MaxBufferedBytes is the size up to which an answer is read whole before it is
	// passed on, so that a broken one can still be replaced; 0 passes every
	// answer on as it comes.
	MaxBufferedBytes int64
	// CancelGrace is how long the answer to a canceled call is still waited for:
	// a new connection is dearer than the rest of a short call.
	CancelGrace time.Duration
}

// Forwarder is a caller.Backend over HTTP.
type Forwarder struct {
	config Config
	pool   *pool
}

var _ caller.Backend = (*Forwarder)(nil)

// New returns a Forwarder without connections.
func New(config Config) *Forwarder {
	return &Forwarder{
		config: config,
		pool:   newPool(config),
	}
}

// Close closes idle connections.
func (f *Forwarder) Close() {
	f.pool.close()
}

// Do implements caller.Backend.
func (f *Forwarder) Do(ctx context.Context, call *caller.Call) (*caller.Answer, error) {
	req, err := f.request(call)
	if err != nil {
		return nil, caller.MarkNotSent(err)
	}
	c, err := f.pool.take(ctx)
	if err != nil {
		return nil, caller.MarkNotSent(errors.Wrap(err, "reach backend server"))
	}
	resp, err := c.exchange(ctx, req, func(resp *http.Response) error {
		return f.check(resp, call)
	})
	if err != nil {
		return nil, errors.Wrap(err, "call backend server")
	}
	return f.answer(resp)
}

// request returns the request for a call. Its path is sent as it was received.
func (f *Forwarder) request(call *caller.Call) (*http.Request, error) {
	target := &url.URL{
		Scheme: "http",
		Host:   f.config.Address.String(),
		Opaque: call.Path,
	}
	if !strings.HasPrefix(call.Path, "/") || strings.HasPrefix(call.Path, "//") {
		parsed, err := url.Parse("http://" + f.config.Address.String() + call.Path)
		if err != nil {
			return nil, errors.Wrap(err, "build request")
		}
		target = parsed
	}
	req := &http.Request{
		Method: call.Method,
		URL:    target,
		Host:   target.Host,
		Header: call.Header.Clone(),
	}
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	f.config.Dialect.SetCallHeaders(req.Header, call)
	if _, named := req.Header["User-Agent"]; !named {
		// Keeps the request writer from naming one.
		req.Header.Set("User-Agent", "")
	}
	if host := req.Header.Get("Host"); host != "" {
		req.Host = host
		req.Header.Del("Host")
	}
	if size := call.Body.Size(); size != 0 {
		req.Body = io.NopCloser(call.Body.Reader())
		req.ContentLength = size
	}
	return req, nil
}

// errNotOurs marks an answer to another request.
var errNotOurs = errors.New("answer belongs to another request")

// check tells whether an answer is the call's.
func (f *Forwarder) check(resp *http.Response, call *caller.Call) error {
	dialect := f.config.Dialect
	if dialect.Proof == "" {
		return nil
	}
	if id := resp.Header.Get(dialect.RequestID); id != call.RequestID {
		return errors.Wrapf(errNotOurs, "request ID %q", id)
	}
	success := resp.StatusCode/100 == 2
	if success && (resp.Header.Get(dialect.Proof) == "" || resp.Header.Get("Content-Encoding") != "") {
		return errors.Newf("answer %d is not what the backend server made: no %s, or encoded", resp.StatusCode, dialect.Proof)
	}
	return nil
}

// answer turns a response into an answer.
func (f *Forwarder) answer(resp *http.Response) (*caller.Answer, error) {
	answer := &caller.Answer{
		Status:         resp.StatusCode,
		Header:         resp.Header,
		Body:           resp.Body,
		ReachedBackend: true,
	}
	if refused := f.config.Dialect.IsRefusal; refused != nil && refused(resp.StatusCode, resp.Header) {
		// Closing the body returns the connection, if it is whole.
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		answer.Body = nil
		answer.Outcome = caller.NotRun
		answer.Reason = caller.ReasonRefusedByBackend
		if resp.StatusCode == http.StatusMisdirectedRequest {
			answer.Reason = caller.ReasonIncarnation
		}
		return answer, nil
	}
	labeler.RemoveHopByHop(answer.Header)
	f.takeLabels(answer)
	if err := f.readAhead(answer, resp); err != nil {
		return nil, errors.Wrap(err, "read answer of backend server")
	}
	if resp.ContentLength >= 0 {
		answer.Header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	return answer, nil
}

// takeLabels takes the labels that the caller's node writes again out of the
// answer's headers.
func (f *Forwarder) takeLabels(answer *caller.Answer) {
	dialect := f.config.Dialect
	answer.Header.Del(dialect.RequestID)
	if dialect.Proof != "" {
		answer.Proof = answer.Header.Get(dialect.Proof)
		answer.Header.Del(dialect.Proof)
	}
}

// readAhead reads a small answer whole.
func (f *Forwarder) readAhead(answer *caller.Answer, resp *http.Response) error {
	if f.config.MaxBufferedBytes == 0 || resp.ContentLength > f.config.MaxBufferedBytes {
		return nil
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, f.config.MaxBufferedBytes+1))
	if err != nil {
		resp.Body.Close()
		return err
	}
	if int64(len(content)) > f.config.MaxBufferedBytes {
		answer.Body = prefixed{
			Reader: io.MultiReader(bytes.NewReader(content), resp.Body),
			Closer: resp.Body,
		}
		return nil
	}
	resp.Body.Close()
	resp.ContentLength = int64(len(content))
	answer.Body = io.NopCloser(bytes.NewReader(content))
	return nil
}

// prefixed is a body whose beginning was read already.
type prefixed struct {
	io.Reader
	io.Closer
}
