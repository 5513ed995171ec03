package runner

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"
)

// uploadBytes is the size of the uploads of these tests. It exceeds all buffers on the way.
const uploadBytes = 400 << 10

// receivedBody is the request body that a backend server read. The error is nil if the body
// ended cleanly.
type receivedBody struct {
	content []byte
	err     error
}

// readBody reads a request body in small parts with a pause between them.
func readBody(r *http.Request, pause time.Duration) receivedBody {
	var received receivedBody
	buffer := make([]byte, 8<<10)
	for {
		n, err := r.Body.Read(buffer)
		received.content = append(received.content, buffer[:n]...)
		if err == io.EOF {
			return received
		}
		if err != nil {
			received.err = err
			return received
		}
		time.Sleep(pause)
	}
}

// uploader sends an upload of a client and returns the connection.
type uploader func(t *testing.T, conn net.Conn, body []byte)

func sendUpload(t *testing.T, conn net.Conn, body []byte) {
	fmt.Fprintf(conn, "POST /once/1 HTTP/1.1\r\nHost: h.example\r\nX-Laburnumshelf-Request-Id: u\r\nX-Laburnumshelf-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", uploadBytes)
	for len(body) > 0 {
		n := min(16<<10, len(body))
		if _, err := conn.Write(body[:n]); err != nil {
			return
		}
		body = body[n:]
		time.Sleep(time.Millisecond)
	}
}

// TestPlatformUploadArrivesUnchangedOrBroken sends uploads through two nodes. Whatever
// happens on the way, the backend server reads the client's bytes to the end, or a beginning
// of them and an error.
func TestPlatformUploadArrivesUnchangedOrBroken(t *testing.T) {
	slowReader := func(w http.ResponseWriter, r *http.Request) receivedBody {
		received := readBody(r, 5*time.Millisecond)
		fmt.Fprint(w, "done")
		return received
	}
	for name, test := range map[string]struct {
		run  func(w http.ResponseWriter, r *http.Request) receivedBody
		send uploader
		// wantStatus is the status that the client gets, or 0 if it does not wait for an
		// answer.
		wantStatus   int
		wantComplete bool
	}{
		"slow reader": {
			run:          slowReader,
			send:         sendUpload,
			wantStatus:   http.StatusOK,
			wantComplete: true,
		},
		"early answer, body read later": {
			run: func(w http.ResponseWriter, r *http.Request) receivedBody {
				http.NewResponseController(w).EnableFullDuplex()
				w.Header().Set("Content-Length", "4")
				fmt.Fprint(w, "done")
				http.NewResponseController(w).Flush()
				return readBody(r, time.Millisecond)
			},
			send:       sendUpload,
			wantStatus: http.StatusOK,
		},
		"client breaks off": {
			run: slowReader,
			send: func(t *testing.T, conn net.Conn, body []byte) {
				sendUpload(t, conn, body[:len(body)/2])
				conn.Close()
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			target, entry := d.startPair()
			received := make(chan receivedBody, 1)
			run := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				received <- test.run(w, r)
			})
			target.run.Store(&run)
			want := make([]byte, uploadBytes)
			rand.NewChaCha8([32]byte{1}).Read(want)
			conn, err := net.Dial("tcp", entry.config.CallAddress.String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			go test.send(t, conn, want)
			if test.wantStatus != 0 {
				if status, _ := readStatus(bufio.NewReader(conn)); status != test.wantStatus {
					t.Errorf("got status %d, want %d", status, test.wantStatus)
				}
			}
			checkUpload(t, received, want, test.wantComplete)
		})
	}
}

func checkUpload(t *testing.T, received <-chan receivedBody, want []byte, wantComplete bool) {
	t.Helper()
	select {
	case got := <-received:
		if wantComplete && got.err != nil {
			t.Errorf("got error %v after %d bytes, want the complete body", got.err, len(got.content))
		}
		if got.err == nil && !bytes.Equal(got.content, want) {
			t.Errorf("got %d other bytes as a complete body of %d", len(got.content), len(want))
		}
		if !bytes.HasPrefix(want, got.content) {
			t.Errorf("got %d bytes that are not the beginning of the body", len(got.content))
		}
	case <-time.After(waitTimeout):
		t.Error("the backend server still reads the body")
	}
}

// TestPlatformStopFinishesOpenUpload stops the node that receives an upload, in the middle
// of it. The upload must end as it would have without the stop.
func TestPlatformStopFinishesOpenUpload(t *testing.T) {
	d := newDeployment(t)
	target, entry := d.startPair()
	received := make(chan receivedBody, 1)
	started := make(chan struct{})
	run := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		received <- readBody(r, 5*time.Millisecond)
		fmt.Fprint(w, "done")
	})
	target.run.Store(&run)
	want := make([]byte, uploadBytes)
	rand.NewChaCha8([32]byte{2}).Read(want)
	conn, err := net.Dial("tcp", entry.config.CallAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	go sendUpload(t, conn, want)
	<-started
	entry.node.Drain()
	if status, _ := readStatus(bufio.NewReader(conn)); status != http.StatusOK {
		t.Errorf("got status %d, want 200", status)
	}
	checkUpload(t, received, want, true)
	<-entry.done
}
