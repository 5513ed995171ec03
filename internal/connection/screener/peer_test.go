package screener

import (
	"io"
	"net"
	"testing"
)

// A session must be able to send its end and read on. If it could only close both directions, what
// the other node sends meanwhile would reset the connection.
func TestSessionsCannotEndOneDirection(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := NewForSessions(inner, 10)
	defer listener.Close()
	client, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		t.Fatalf("a %T has no CloseWrite", conn)
	}
	if err := half.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if n, err := client.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("client: got %d bytes, error %v, want the end", n, err)
	}
	const want = "late"
	io.WriteString(client, want)
	client.Close()
	if got, err := io.ReadAll(conn); err != nil || string(got) != want {
		t.Errorf("got %q, error %v, want %q", got, err, want)
	}
}
