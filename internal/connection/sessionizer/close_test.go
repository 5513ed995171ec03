package sessionizer

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

// newTCPPair returns a Conn over TCP and its other end.
func newTCPPair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn := NewConn(near)
	t.Cleanup(func() {
		conn.Close()
		far.Close()
	})
	return conn, far.(*net.TCPConn)
}

// What a peer sent before it closed its end must be read, although a write has failed meanwhile.
func TestReceivedBytesAreLostAfterAFailedWrite(t *testing.T) {
	conn, far := newTCPPair(t)
	want := bytes.Repeat([]byte("x"), 20_000)
	if _, err := far.Write(want); err != nil {
		t.Fatal(err)
	}
	far.Close()
	failed := false
	for deadline := time.Now().Add(10 * time.Second); !failed && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		_, err := conn.Write([]byte("late"))
		failed = err != nil
	}
	if !failed {
		t.Fatal("writes to a closed peer: got no error")
	}
	go conn.Close()
	if got, err := io.ReadAll(conn); !bytes.Equal(got, want) {
		t.Errorf("got %d bytes, error %v, want the %d bytes that arrived before", len(got), err, len(want))
	}
}

// What was written before Close must arrive, although the peer is late to read it and has sent
// more meanwhile.
func TestWrittenBytesAreLostAsTheConnectionCloses(t *testing.T) {
	conn, far := newTCPPair(t)
	go io.Copy(io.Discard, conn)
	want := bytes.Repeat([]byte("x"), 1<<20)
	if _, err := conn.Write(want); err != nil {
		t.Fatal(err)
	}
	closed := make(chan struct{})
	go func() {
		conn.Close()
		close(closed)
	}()
	time.Sleep(50 * time.Millisecond)
	far.Write([]byte("late"))
	time.Sleep(50 * time.Millisecond)
	if got, err := io.ReadAll(far); !bytes.Equal(got, want) {
		t.Errorf("got %d bytes, error %v, want all %d", len(got), err, len(want))
	}
	far.Close()
	<-closed
}

// Close must not wait long for a peer's end that nobody would read.
func TestCloseWaitsWithoutAReader(t *testing.T) {
	conn, _ := newTCPPair(t)
	started := time.Now()
	conn.Close()
	if got := time.Since(started); got > closeTimeout/2 {
		t.Errorf("Close took %s, want about %s", got, readerTimeout)
	}
}
