package receiver

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// readResult is what a transport read of a request body.
type readResult struct {
	content []byte
	err     error
}

// earlyDispatcher answers each call before its body is read, as a backend server may do.
// It reads the body in the background, as a transport does, and sends the result to read.
type earlyDispatcher struct {
	status int
	read   chan readResult
}

// Dispatch implements gateway.Dispatcher.
func (d *earlyDispatcher) Dispatch(_ context.Context, call *caller.Call) *caller.Answer {
	started := make(chan struct{})
	go func() {
		reader := call.Body.Reader()
		var result readResult
		buffer := make([]byte, 4<<10)
		close(started)
		for result.err == nil {
			var n int
			n, result.err = reader.Read(buffer)
			result.content = append(result.content, buffer[:n]...)
			time.Sleep(time.Millisecond)
		}
		d.read <- result
	}()
	<-started
	answer := completeAnswer()
	answer.Status = d.status
	return answer
}

// settingsWithoutLimit returns settings that do not limit the size of bodies.
func settingsWithoutLimit() *describer.Settings {
	s := settings()
	table := s.Hosts["county"]
	table.Limits.BodyBytes = 0
	s.Hosts["county"] = table
	return s
}

// randomBody returns a body that is too large to be buffered, with the same content for
// the same seed.
func randomBody(seed uint64, size int) []byte {
	source := rand.NewChaCha8([32]byte{byte(seed)})
	body := make([]byte, size)
	source.Read(body)
	return body
}

// upload sends a POST request with the body on conn, in parts of 16 KiB. A chunked request
// states no length.
func upload(conn net.Conn, id string, body []byte, chunked bool) {
	length := fmt.Sprintf("Content-Length: %d", len(body))
	if chunked {
		length = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: h.example\r\nId: %s\r\n%s\r\n\r\n", id, length)
	for part := range slicesOf(body, 16<<10) {
		if chunked {
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
		} else {
			conn.Write(part)
		}
		time.Sleep(2 * time.Millisecond)
	}
	if chunked {
		io.WriteString(conn, "0\r\n\r\n")
	}
}

// slicesOf yields consecutive parts of body with at most size bytes.
func slicesOf(body []byte, size int) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(body) > 0 {
			n := min(size, len(body))
			if !yield(body[:n]) {
				return
			}
			body = body[n:]
		}
	}
}

// TestEarlyAnswerLeavesBodyUnchanged answers uploads before their body is read. The
// transport must then read the client's bytes up to the end, or an error.
func TestEarlyAnswerLeavesBodyUnchanged(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("status %d chunked %t", status, chunked), func(t *testing.T) {
				checkEarlyAnswer(t, status, chunked)
			})
		}
	}
}

func checkEarlyAnswer(t *testing.T, status int, chunked bool) {
	d := &earlyDispatcher{status: status, read: make(chan readResult, 2)}
	server := httptest.NewServer(handlerFor(d, settingsWithoutLimit))
	defer server.Close()
	for seed := range uint64(8) {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		want := randomBody(seed, caller.PrefetchBytes+int(seed+1)*24<<10)
		go upload(conn, "1", want, chunked)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != status {
			t.Fatalf("seed %d: got answer %v, error %v, want status %d", seed, resp, err, status)
		}
		got := <-d.read
		if errors.Is(got.err, io.EOF) && !bytes.Equal(got.content, want) {
			t.Errorf("seed %d: got %d other bytes as a complete body, want the client's %d bytes or an error", seed, len(got.content), len(want))
		}
		if !bytes.HasPrefix(want, got.content) {
			t.Errorf("seed %d: got bytes that are not the beginning of the body, after %d bytes", seed, len(got.content))
		}
	}
}

// TestRequestBehindEarlyAnsweredUploadIsServed sends a second request on the connection of
// an upload that was answered early. The second request must not be read as part of the
// body, and the body not as a request.
func TestRequestBehindEarlyAnsweredUploadIsServed(t *testing.T) {
	d := &earlyDispatcher{status: http.StatusOK, read: make(chan readResult, 2)}
	server := httptest.NewServer(handlerFor(d, settingsWithoutLimit))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	go func() {
		upload(conn, "1", randomBody(1, 100<<10), false)
		io.WriteString(conn, "GET /a/y HTTP/1.1\r\nHost: h.example\r\nId: 2\r\n\r\n")
	}()
	reader := bufio.NewReader(conn)
	for _, want := range []string{"1", "2"} {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %s: %v", want, err)
		}
		io.Copy(io.Discard, resp.Body)
		if got := resp.Header.Get("Id"); got != want || resp.StatusCode != http.StatusOK {
			t.Errorf("got status %d for request %q, want 200 for %q", resp.StatusCode, got, want)
		}
		if resp.Close {
			return
		}
	}
}
