// Package forwarder sends calls to the local backend server over HTTP.
//
// It manages its connections itself, because a backend server may be faulty. It may
// send bytes that are not an HTTP answer, send answers to earlier requests, or cut an
// answer off. An answer is accepted only if it is complete and, for backend servers
// that repeat request IDs, has the request ID of the call.
//
// # Usage
//
//	backend := forwarder.New(forwarder.Config{
//		Address:        address,
//		MaxConnections: 110,
//		Dial:           forwarder.NewDialFunc(time.Second),
//		Dialect:        labeler.NativeDialect(),
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

// NewDialFunc returns a DialFunc that fails after timeout.
func NewDialFunc(timeout time.Duration) DialFunc {
	dialer := &net.Dialer{
		Timeout: timeout,
	}
	return dialer.DialContext
}

// Config holds the settings of a Forwarder.
type Config struct {
	Address netip.AddrPort
	// MaxConnections limits the open connections to the backend server.
	MaxConnections int
	Dial           DialFunc
	Dialect        labeler.Dialect
	// HasOrganisations reports whether requests to services of a team may carry keys of
	// organisations. They are removed here too, because the caller's node may have settings
	// from before the team had organisations. If it is nil, no team has any.
	HasOrganisations func(team string) bool
	// MaxBufferedBytes is the largest answer body that is read completely before
	// the answer is forwarded, so that a broken answer can still be replaced. If it
	// is 0, every body is forwarded as it arrives.
	MaxBufferedBytes int64
	// CancelGrace is how long the connection of a canceled call stays open for the
	// rest of the answer. A new connection costs more than the rest of a short call.
	CancelGrace time.Duration
}

// Forwarder is a caller.Backend that sends calls over HTTP.
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
	req, err := f.newRequest(call)
	if err != nil {
		return nil, caller.MarkNotSent(err)
	}
	c, err := f.pool.get(ctx, call.RequestID)
	if err != nil {
		return nil, caller.MarkNotSent(errors.Wrap(err, "get a connection to the backend server"))
	}
	if call.BeforeSend != nil {
		if err := call.BeforeSend(); err != nil {
			c.keep()
			return nil, caller.MarkNotSent(err)
		}
	}
	f.config.Dialect.SetTimeout(req.Header, call.Deadline)
	resp, err := c.exchange(ctx, req, func(resp *http.Response) error {
		err := f.checkAnswer(resp, call)
		if err == nil && f.isRefusal(resp) {
			c.refused = append(c.refused, call.RequestID)
		}
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, "call backend server")
	}
	return f.newAnswer(resp)
}

// newRequest returns the HTTP request for a call, without the header that SetTimeout sets. The
// path is sent as it was received, without decoding and encoding it again.
func (f *Forwarder) newRequest(call *caller.Call) (*http.Request, error) {
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
	if f.mayCarryKey(call) {
		f.config.Dialect.RemoveOrganisation(req.Header)
	}
	f.config.Dialect.SetCallHeaders(req.Header, call)
	if _, hasUserAgent := req.Header["User-Agent"]; !hasUserAgent {
		// An empty value keeps the request writer from adding its default User-Agent.
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

// mayCarryKey reports whether the headers of a call may hold the key of an organisation.
func (f *Forwarder) mayCarryKey(call *caller.Call) bool {
	return call.Organisation != "" || f.config.HasOrganisations != nil && f.config.HasOrganisations(call.Service.Team)
}

// errOtherRequest is returned for an answer to another request.
var errOtherRequest = errors.New("answer belongs to another request")

// checkAnswer returns an error if resp has another request ID than call, or has a
// success status but no Proof header or an encoded body. It does not verify the
// signature in the Proof header. If the dialect has no Proof header, it also accepts an
// answer without a request ID.
func (f *Forwarder) checkAnswer(resp *http.Response, call *caller.Call) error {
	dialect := f.config.Dialect
	id := resp.Header.Get(dialect.RequestID)
	if dialect.Proof == "" && id == "" {
		return nil
	}
	if id != call.RequestID {
		return errors.Wrapf(errOtherRequest, "request ID %q", id)
	}
	if dialect.Proof == "" {
		return nil
	}
	success := resp.StatusCode/100 == 2
	if success && (resp.Header.Get(dialect.Proof) == "" || resp.Header.Get("Content-Encoding") != "") {
		return errors.Newf("answer with status %d is not the backend server's own: header %s is missing or the body is encoded", resp.StatusCode, dialect.Proof)
	}
	return nil
}

// isRefusal reports whether an answer guarantees that the request did not run.
func (f *Forwarder) isRefusal(resp *http.Response) bool {
	isRefusal := f.config.Dialect.IsRefusal
	return isRefusal != nil && isRefusal(resp.StatusCode, resp.Header)
}

// newAnswer returns the answer that an HTTP response describes.
func (f *Forwarder) newAnswer(resp *http.Response) (*caller.Answer, error) {
	answer := &caller.Answer{
		Status:         resp.StatusCode,
		Header:         resp.Header,
		Body:           resp.Body,
		ReachedBackend: true,
	}
	if readNotice := f.config.Dialect.ReadNotice; readNotice != nil {
		answer.Notice = readNotice(resp.Header)
	}
	if f.isRefusal(resp) {
		if isDelimited(resp) {
			// If the body was read to its end, closing it returns the connection to the pool.
			skipBody(resp.Body)
		}
		resp.Body.Close()
		answer.Body = nil
		answer.Outcome = caller.NotRun
		answer.Reason = caller.ReasonRefusedByBackend
		if resp.StatusCode == http.StatusMisdirectedRequest {
			answer.Reason = caller.ReasonIncarnation
		}
		return answer, nil
	}
	// A Connection header may list any header, but not remove those that are meant for this node.
	f.extractNodeHeaders(answer)
	labeler.RemoveHopByHop(answer.Header)
	if err := f.bufferBody(answer, resp); err != nil {
		return nil, errors.Wrap(err, "read answer of backend server")
	}
	if resp.ContentLength >= 0 {
		answer.Header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	return answer, nil
}

// extractNodeHeaders removes from the answer the request ID and Proof headers, which
// the caller's node sets again. It stores the value of the Proof header in
// answer.Proof.
func (f *Forwarder) extractNodeHeaders(answer *caller.Answer) {
	dialect := f.config.Dialect
	answer.Header.Del(dialect.RequestID)
	if dialect.Proof != "" {
		answer.Proof = answer.Header.Get(dialect.Proof)
		answer.Header.Del(dialect.Proof)
	}
}

// bufferBody reads the body of an answer completely if it has at most
// MaxBufferedBytes bytes.
func (f *Forwarder) bufferBody(answer *caller.Answer, resp *http.Response) error {
	if resp.Request.Method == http.MethodHead {
		// The length is that of the answer to a GET.
		return nil
	}
	if f.config.MaxBufferedBytes == 0 || resp.ContentLength > f.config.MaxBufferedBytes {
		return nil
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, f.config.MaxBufferedBytes+1))
	if err != nil {
		resp.Body.Close()
		return err
	}
	if int64(len(content)) > f.config.MaxBufferedBytes {
		answer.Body = prefixedBody{
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

// prefixedBody is a body whose beginning was already read. Reader returns that
// beginning and then the rest.
type prefixedBody struct {
	io.Reader
	io.Closer
}
