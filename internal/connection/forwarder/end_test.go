package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

const headWithoutLength = "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\n\r\n"

// upload returns a call with a body of size bytes.
func upload(t *testing.T, size int) *caller.Call {
	t.Helper()
	c := call("1")
	c.Method = "POST"
	var err error
	if c.Body, err = caller.NewBody(bytes.NewReader(make([]byte, size))); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestResetDuringUploadIsTakenForTheEnd guards against a part of an answer that is delivered as a
// whole one. The backend server answers a long upload at once, without a length, and resets the
// connection while the upload is being sent.
func TestResetDuringUploadIsTakenForTheEnd(t *testing.T) {
	for _, part := range []int{4, 900, 70_000} {
		b := serve(t, func(c net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			io.WriteString(c, headWithoutLength)
			c.Write(make([]byte, part))
			time.Sleep(5 * time.Millisecond)
			c.(*net.TCPConn).SetLinger(0)
		})
		f := b.forwarder(t)
		for range 20 {
			if got, err := do(t, f, upload(t, 8<<20)); err == nil {
				t.Errorf("part of %d bytes: got %d bytes as a whole answer, want an error", part, len(got))
			}
		}
	}
}

// TestEarlyAnswerIsDelivered guards against sound answers that are lost because they arrive before
// the upload is sent.
func TestEarlyAnswerIsDelivered(t *testing.T) {
	for name, script := range map[string]func(c *net.TCPConn, r *bufio.Reader){
		"with a length": func(c *net.TCPConn, _ *bufio.Reader) {
			io.WriteString(c, answer("1", "early"))
		},
		"without a length, upload read afterwards": func(c *net.TCPConn, r *bufio.Reader) {
			io.WriteString(c, headWithoutLength+"early")
			c.CloseWrite()
			io.CopyN(io.Discard, r, 1<<20)
		},
	} {
		b := serve(t, func(c net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			script(c.(*net.TCPConn), r)
			io.Copy(io.Discard, r)
		})
		if got, err := do(t, b.forwarder(t), upload(t, 1<<20)); got != "early" || err != nil {
			t.Errorf("%s: got %q, %v, want the answer", name, got, err)
		}
	}
}

// stalledReader returns its first bytes and then blocks until it is closed.
type stalledReader struct {
	first  io.Reader
	closed chan struct{}
}

func (s *stalledReader) Read(p []byte) (int, error) {
	if n, err := s.first.Read(p); n > 0 || err == nil {
		return n, nil
	}
	<-s.closed
	return 0, io.ErrUnexpectedEOF
}

// TestWaitForTheEndOutlivesTheCall guards against an answer without a length that holds its call
// because the client has stopped in the middle of its upload.
func TestWaitForTheEndOutlivesTheCall(t *testing.T) {
	b := serve(t, func(c net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		io.WriteString(c, headWithoutLength+"early")
		c.(*net.TCPConn).CloseWrite()
		io.Copy(io.Discard, r)
	})
	source := &stalledReader{first: bytes.NewReader(make([]byte, 100<<10)), closed: make(chan struct{})}
	defer close(source.closed)
	c := call("1")
	c.Method = "POST"
	var err error
	if c.Body, err = caller.NewBody(source); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	started := time.Now()
	if got, err := b.forwarder(t).Do(ctx, c); err == nil {
		t.Errorf("got an answer %v, want an error at the end of the call", got)
	}
	if took := time.Since(started); took > 5*time.Second {
		t.Errorf("took %v, want the end of the call after 300 ms", took)
	}
}

// TestConnectionHeaderRemovesTheSignature guards against an answer that loses the headers that its
// node reads because its Connection header lists them, and against a lost length after HEAD.
func TestConnectionHeaderRemovesTheSignature(t *testing.T) {
	b := serve(t, func(c net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\nConnection: proof, x-hop\r\nX-Hop: 1\r\nContent-Length: 7\r\n\r\n")
	})
	c := call("1")
	c.Method = http.MethodHead
	got, err := b.forwarder(t).Do(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	defer got.Close()
	if got.Proof != "p" || got.Header.Get("X-Hop") != "" || got.Header.Get("Content-Length") != "7" {
		t.Errorf("got proof %q and headers %v, want p, no X-Hop and Content-Length 7", got.Proof, got.Header)
	}
}

// TestCanceledUploadIsReadToItsEnd guards against a backend server that reads what the system has
// buffered of a canceled upload before it learns that nobody waits for its answer.
func TestCanceledUploadIsReadToItsEnd(t *testing.T) {
	const most = 1 << 20
	canceled, read := make(chan struct{}), make(chan int64, 1)
	b := serve(t, func(c net.Conn, r *bufio.Reader) {
		c.(*net.TCPConn).SetReadBuffer(64 << 10)
		http.ReadRequest(r)
		<-canceled
		n, _ := io.Copy(io.Discard, r)
		read <- n
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := b.forwarder(t).Do(ctx, upload(t, 16<<20)); err == nil {
		t.Error("got an answer, want the error of a canceled call")
	}
	close(canceled)
	if got := <-read; got > most {
		t.Errorf("the server read %d bytes after the call was canceled, want at most %d", got, most)
	}
}
