package sessionizer

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// countingConn counts writes.
type countingConn struct {
	net.Conn
	writes atomic.Int32
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// newPipe returns a Conn, the counter of its writes, and the other end.
func newPipe(t *testing.T) (*Conn, *countingConn, net.Conn) {
	near, far := net.Pipe()
	counting := &countingConn{
		Conn: near,
	}
	conn := NewConn(counting)
	t.Cleanup(func() {
		far.Close()
		conn.Close()
	})
	return conn, counting, far
}

func TestWritesInSuccessionAreSentTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, counting, far := newPipe(t)
		var want []byte
		// The first write may be sent alone, while the peer is not reading yet.
		for i := range 20 {
			part := bytes.Repeat([]byte{byte(i)}, i+1)
			want = append(want, part...)
			if _, err := conn.Write(part); err != nil {
				t.Fatal(err)
			}
		}
		got := make([]byte, len(want))
		if _, err := io.ReadFull(far, got); err != nil || !bytes.Equal(got, want) {
			t.Errorf("got %v, error %v, want the bytes in order", got, err)
		}
		if got := counting.writes.Load(); got > 2 {
			t.Errorf("got %d writes to the connection for 20 calls, want at most 2", got)
		}
	})
}

func TestCloseSendsPendingBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, _, far := newPipe(t)
		conn.Write([]byte("first"))
		synctest.Wait()
		conn.Write([]byte("second"))
		go conn.Close()
		got, err := io.ReadAll(far)
		if err != nil || string(got) != "firstsecond" {
			t.Errorf("got %q, error %v, want all bytes", got, err)
		}
	})
}

// TestPeerThatDoesNotRead writes to a peer that reads nothing. The buffer must stay bounded,
// and Close must end the writes without waiting for the peer.
func TestPeerThatDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, _, _ := newPipe(t)
		failed := make(chan error, 1)
		var written atomic.Int64
		go func() {
			for {
				n, err := conn.Write(make([]byte, 4<<10))
				if err != nil {
					failed <- err
					return
				}
				written.Add(int64(n))
			}
		}()
		synctest.Wait()
		if got := written.Load(); got > 2*maxPendingBytes {
			t.Errorf("got %d bytes buffered, want at most %d", got, 2*maxPendingBytes)
		}
		started := time.Now()
		conn.Close()
		<-failed
		if got := time.Since(started); got > 2*closeTimeout {
			t.Errorf("Close took %v, want at most %v", got, closeTimeout)
		}
	})
}

func TestFailedConnectionReturnsErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, _, far := newPipe(t)
		far.Close()
		conn.Write([]byte("x"))
		synctest.Wait()
		if _, err := conn.Write([]byte("y")); err == nil {
			t.Error("write after a failure: got no error")
		}
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("read after a failure: got no error")
		}
	})
}
