package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/labeler"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// dialect returns the dialect of backend servers that repeat request IDs.
func dialect() labeler.Dialect {
	return labeler.Dialect{
		RequestID:     "Id",
		Timeout:       "Timeout",
		Instance:      "Instance",
		CallerService: "Caller",
		Proof:         "Proof",
		FormatTimeout: time.Duration.String,
		IsRefusal: func(status int, h http.Header) bool {
			return h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest
		},
	}
}

// backend is a backend server whose connections are handled by a test's script.
type backend struct {
	address     netip.AddrPort
	connections atomic.Int32
}

// serve starts a backend server that runs script on each connection.
func serve(t *testing.T, script func(c net.Conn, r *bufio.Reader)) *backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		listener.Close()
	})
	b := &backend{
		address: listener.Addr().(*net.TCPAddr).AddrPort(),
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			b.connections.Add(1)
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return b
}

func (b *backend) forwarder(t *testing.T) *Forwarder {
	f := New(Config{
		Address:          b.address,
		MaxConnections:   4,
		Dial:             NewDialFunc(time.Second),
		Dialect:          dialect(),
		MaxBufferedBytes: 1 << 10,
	})
	t.Cleanup(f.Close)
	return f
}

func call(id string) *caller.Call {
	return &caller.Call{
		RequestID: id,
		Method:    "GET",
		Path:      "/a%2Fb?c=%20",
		Header:    http.Header{"Host": {"h.example"}, "Id": {id}},
		Deadline:  time.Now().Add(10 * time.Second),
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func do(t *testing.T, f *Forwarder, c *caller.Call) (string, error) {
	t.Helper()
	got, err := f.Do(t.Context(), c)
	if err != nil {
		return "", err
	}
	if got.Body == nil {
		return got.Reason.String(), nil
	}
	defer got.Close()
	content, err := io.ReadAll(got.Body)
	return string(content), err
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	var got *http.Request
	b := serve(t, func(c net.Conn, r *bufio.Reader) {
		got, _ = http.ReadRequest(r)
		io.WriteString(c, answer("1", ""))
	})
	c := call("1")
	c.Instance = "i-1"
	c.CallerService = "desk"
	c.Header.Set("Caller", "forged")
	c.Header.Set("Accept-Encoding", "identity")
	if _, err := do(t, b.forwarder(t), c); err != nil {
		t.Fatal(err)
	}
	if got.RequestURI != c.Path || got.Host != "h.example" || got.Method != "GET" {
		t.Errorf("got %s %s with host %s", got.Method, got.RequestURI, got.Host)
	}
	for name, want := range map[string]string{"Instance": "i-1", "Caller": "desk", "Id": "1", "User-Agent": "", "Accept-Encoding": "identity"} {
		if got := got.Header.Get(name); got != want {
			t.Errorf("header %s: got %q, want %q", name, got, want)
		}
	}
}

func TestConnectionsAreReused(t *testing.T) {
	b := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.WriteString(c, answer(req.Header.Get("Id"), "x"))
		}
	})
	f := b.forwarder(t)
	for i := range 10 {
		if got, err := do(t, f, call(fmt.Sprint(i))); got != "x" || err != nil {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if got := b.connections.Load(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}

// After a faulty answer the call may have run, so the error must not be ErrNotSent.
func TestFaultyAnswersAreErrors(t *testing.T) {
	for name, raw := range map[string]string{
		"no HTTP":                "garbage garbage\r\n\r\n",
		"other ID, closed":       strings.Replace(answer("2", "other"), "Proof", "Connection: close\r\nProof", 1),
		"no ID":                  "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx",
		"cut off":                answer("1", "whole")[:len(answer("1", "whole"))-2],
		"cut off in header":      answer("1", "whole")[:20],
		"no proof":               "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\nx",
		"encoded":                "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx",
		"status 000":             strings.Replace(answer("1", "x"), "200 OK", "000 Zero", 1),
		"status 099":             strings.Replace(answer("1", "x"), "200 OK", "099 Low", 1),
		"status 600":             strings.Replace(answer("1", "x"), "200 OK", "600 High", 1),
		"switched protocols":     strings.Replace(answer("1", "x"), "200 OK", "101 Switch", 1) + answer("1", "x"),
		"HTTP/9.9":               strings.Replace(answer("1", "x"), "HTTP/1.1", "HTTP/9.9", 1),
		"blank in a name":        strings.Replace(answer("1", "x"), "Proof", "Na me: x\r\nProof", 1),
		"control byte in a name": strings.Replace(answer("1", "x"), "Proof", "Na\x01me: x\r\nProof", 1),
		"length after a blank":   "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\nContent-Length : 2\r\n\r\nabcd",
		"chunks after a blank":   "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\nTransfer-Encoding : chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"chunks in HTTP/1.0":     "HTTP/1.0 200 OK\r\nId: 1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"blank after interim":    "HTTP/1.1 100 Continue\r\n\r\n" + strings.Replace(answer("1", "x"), "Proof", "Na me: x\r\nProof", 1),
		"blank in a trailer":     "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nNa me: x\r\n\r\n",
		"broken chunk":           "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			b := serve(t, func(c net.Conn, r *bufio.Reader) {
				http.ReadRequest(r)
				io.WriteString(c, raw)
			})
			got, err := do(t, b.forwarder(t), call("1"))
			if err == nil || errors.Is(err, caller.ErrNotSent) {
				t.Errorf("got %q, %v, want an error other than ErrNotSent", got, err)
			}
		})
	}
}

// A backend server may send a second answer to a request, late or at once. It must not
// be taken for the answer to the next request on the connection.
func TestExtraAnswersAreDiscarded(t *testing.T) {
	late := make(chan struct{})
	b := serve(t, func(c net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if n == 1 {
				// The second answer to the first request arrives late.
				io.WriteString(c, answer("first", "late"))
			}
			io.WriteString(c, answer(req.Header.Get("Id"), "own"))
			if req.Header.Get("Id") == "third" {
				io.WriteString(c, answer("third", "again"))
				close(late)
			}
		}
	})
	f := b.forwarder(t)
	for _, id := range []string{"first", "second", "third"} {
		if got, err := do(t, f, call(id)); got != "own" || err != nil {
			t.Errorf("%s: got %q, %v, want its own answer", id, got, err)
		}
	}
	<-late
	time.Sleep(20 * time.Millisecond)
	if got, err := do(t, f, call("fourth")); got != "own" || err != nil {
		t.Errorf("fourth: got %q, %v, want its own answer", got, err)
	}
}

func TestAnswerWithoutLengthIsCompleteOnlyAfterCleanClose(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\n\r\nbody"
	clean := serve(t, func(c net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		io.WriteString(c, head)
	})
	if got, err := do(t, clean.forwarder(t), call("1")); got != "body" || err != nil {
		t.Errorf("clean close: got %q, %v, want the body", got, err)
	}
	reset := serve(t, func(c net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		io.WriteString(c, head)
		time.Sleep(20 * time.Millisecond)
		c.(*net.TCPConn).SetLinger(0)
	})
	if got, err := do(t, reset.forwarder(t), call("1")); err == nil {
		t.Errorf("reset: got %q, want an error", got)
	}
}

// The answer may arrive before the request body is sent completely. The rest of the body
// must not be taken for the next request on the connection.
func TestEarlyAnswerDoesNotAffectLaterRequests(t *testing.T) {
	b := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			// Answer before the body is read, then read the body.
			io.WriteString(c, answer(req.Header.Get("Id"), "early"))
			time.Sleep(10 * time.Millisecond)
			if n, _ := io.Copy(io.Discard, req.Body); req.ContentLength > 0 && n != req.ContentLength {
				return
			}
		}
	})
	f := b.forwarder(t)
	for i := range 5 {
		c := call(fmt.Sprint(i))
		c.Method = "PUT"
		body, err := caller.NewBody(bytes.NewReader(make([]byte, 60<<10)))
		if err != nil {
			t.Fatal(err)
		}
		c.Body = body
		if got, err := do(t, f, c); got != "early" || err != nil {
			t.Errorf("request %d: got %q, %v, want the early answer", i, got, err)
		}
	}
}

func TestBackendRefusalsHaveDistinctReasons(t *testing.T) {
	for raw, want := range map[string]caller.Reason{
		"HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n":  caller.ReasonRefusedByBackend,
		"HTTP/1.1 421 Other\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n": caller.ReasonIncarnation,
	} {
		b := serve(t, func(c net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			io.WriteString(c, raw)
		})
		got, err := b.forwarder(t).Do(t.Context(), call("1"))
		if err != nil || got.Outcome != caller.NotRun || got.Reason != want || !got.ReachedBackend {
			t.Errorf("got %+v, %v, want notRun with reason %s and ReachedBackend", got, err, want)
		}
	}
}

func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	b := serve(t, func(_ net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := b.forwarder(t).Do(ctx, call("1")); err == nil {
		t.Error("canceled call: got no error, want one")
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection to the backend server is still open after 5 s")
	}
}

func TestCanceledCallKeepsConnectionIfAnsweredWithinGrace(t *testing.T) {
	b := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
			io.WriteString(c, answer(req.Header.Get("Id"), "x"))
		}
	})
	f := b.forwarder(t)
	f.config.CancelGrace = 5 * time.Second
	f.pool.config.CancelGrace = 5 * time.Second
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	if canceled, err := f.Do(ctx, call("1")); err == nil {
		canceled.Close()
	}
	if got, err := do(t, f, call("2")); got != "x" || err != nil {
		t.Errorf("got %q, %v, want the second answer", got, err)
	}
	if got := b.connections.Load(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}

func TestCloseDoesNotWaitForUnreadAnswer(t *testing.T) {
	b := serve(t, func(c net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\nContent-Length: 5000\r\n\r\npart")
		r.ReadByte()
	})
	got, err := b.forwarder(t).Do(t.Context(), call("1"))
	if err != nil {
		t.Fatal(err)
	}
	closed := make(chan struct{})
	go func() {
		got.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("closing an unread answer still blocks after 5 s")
	}
}

func TestConnectionExpiresBeforeTheStatedIdleTimeout(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"timeout=10":        9 * time.Second,
		"max=5, timeout=10": 9 * time.Second,
		"timeout=1":         500 * time.Millisecond,
		"timeout=x":         defaultIdleTimeout,
		"":                  defaultIdleTimeout,
	} {
		if got := idleTimeoutFromHeaders(http.Header{"Keep-Alive": {header}}); got != want {
			t.Errorf("%q: got %s, want %s", header, got, want)
		}
	}
}

func TestUnreachableBackendServerReturnsErrNotSent(t *testing.T) {
	b := serve(t, func(net.Conn, *bufio.Reader) {})
	f := New(Config{
		Address:        b.address,
		MaxConnections: 1,
		Dial: func(context.Context, string, string) (net.Conn, error) {
			return nil, errors.New("refused")
		},
		Dialect: dialect(),
	})
	for range 3 {
		if _, err := f.Do(t.Context(), call("1")); !errors.Is(err, caller.ErrNotSent) {
			t.Errorf("got %v, want ErrNotSent", err)
		}
	}
}
