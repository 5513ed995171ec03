// Package forwarder runs calls at the local backend server over HTTP.
//
// # Usage
//
//	backend := forwarder.New(address, 110, forwarder.Dial(time.Second))
//	answer, err := backend.Do(ctx, call)
package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/labeler"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// DialFunc opens a connection to the backend server.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc with the given timeout.
func Dial(timeout time.Duration) DialFunc {
	dialer := &net.Dialer{
		Timeout: timeout,
	}
	return dialer.DialContext
}

// Forwarder is a caller.Backend over HTTP.
type Forwarder struct {
	address   netip.AddrPort
	transport *http.Transport
}

var _ caller.Backend = (*Forwarder)(nil)

const idleTimeout = 90 * time.Second

// New returns a Forwarder to the backend server at address that keeps up to
// connections idle, because new ones are costly for the backend server.
func New(address netip.AddrPort, connections int, dial DialFunc) *Forwarder {
	return &Forwarder{
		address: address,
		transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConns:        connections,
			MaxIdleConnsPerHost: connections,
			MaxConnsPerHost:     connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// Close releases idle connections.
func (f *Forwarder) Close() {
	f.transport.CloseIdleConnections()
}

// Do implements caller.Backend.
func (f *Forwarder) Do(ctx context.Context, call *caller.Call) (*caller.Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			connected.Store(true)
		},
	}
	req, err := f.request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, caller.NotSent(err)
	}
	resp, err := f.transport.RoundTrip(req)
	if err != nil {
		if !connected.Load() {
			return nil, caller.NotSent(errors.Wrap(err, "reach backend server"))
		}
		return nil, errors.Wrap(err, "call backend server")
	}
	h := resp.Header
	labeler.RemoveHopByHop(h)
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	return &caller.Answer{
		Status: resp.StatusCode,
		Header: h,
		Body:   resp.Body,
	}, nil
}

func (f *Forwarder) request(ctx context.Context, call *caller.Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+f.address.String()+call.Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header = call.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	labeler.SetContext(req.Header, call)
	if host := req.Header.Get("Host"); host != "" {
		req.Host = host
		req.Header.Del("Host")
	}
	f.setBody(req, call)
	return req, nil
}

// setBody sets a body that the transport cannot send a second time, so that it
// never repeats a request of its own accord.
func (f *Forwarder) setBody(req *http.Request, call *caller.Call) {
	size := call.Body.Size()
	if size == 0 && call.Token == nil {
		return
	}
	req.Body = io.NopCloser(call.Body.Reader())
	req.ContentLength = size
}
