package receiver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// readEarlyAnswer uploads a body of which the node discards only a part, to a receiver that answers
// before the body is read. It returns the status, the size of the answer's body and the error of
// reading it.
func readEarlyAnswer(t *testing.T, answer func() *caller.Answer) (int, int64, error) {
	t.Helper()
	const uploadBytes, partBytes = 4 << 20, 64 << 10
	server := httptest.NewServer(handler(&fakeDispatcher{answer: answer}, settingsWithoutLimit))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	go func() {
		fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: %d\r\n\r\n", uploadBytes)
		for range uploadBytes / partBytes {
			conn.Write(make([]byte, partBytes))
			time.Sleep(2 * time.Millisecond)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, n, err
}

// A refusal must be complete although the rest of a long upload is not read. Otherwise the client
// does not learn that its request was not run.
func TestRefusalOfLongUploadIsComplete(t *testing.T) {
	status, _, err := readEarlyAnswer(t, func() *caller.Answer {
		return caller.NewFailure(caller.NotRun, caller.ReasonThrottled)
	})
	if status != http.StatusServiceUnavailable || err != nil {
		t.Errorf("got %d, %v, want a complete 503", status, err)
	}
}

// An answer without a stated length must be complete although it comes before a long upload has
// ended.
func TestEarlyAnswerWithoutLengthIsComplete(t *testing.T) {
	const answerBytes = 200 << 10
	status, n, err := readEarlyAnswer(t, func() *caller.Answer {
		answer := completeAnswer()
		answer.Body = io.NopCloser(bytes.NewReader(make([]byte, answerBytes)))
		return answer
	})
	if status != http.StatusOK || n != answerBytes || err != nil {
		t.Errorf("got %d with %d bytes, %v, want 200 with %d bytes", status, n, err, answerBytes)
	}
}
