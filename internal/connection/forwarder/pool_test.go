package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// A call that waits at the limit of connections must get the connection of a call that has ended.
// Otherwise it waits until its deadline although the connection is idle.
func TestWaitingCallGetsTheReturnedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	p := newPool(Config{
		Address:        netip.MustParseAddrPort(listener.Addr().String()),
		MaxConnections: 1,
		Dial:           NewDialFunc(time.Second),
	})
	defer p.close()
	first, err := p.get(t.Context(), "first")
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan *conn)
	go func() {
		second, err := p.get(t.Context(), "second")
		if err != nil {
			t.Error(err)
		}
		got <- second
	}()
	time.Sleep(50 * time.Millisecond)
	first.usableUntil = time.Now().Add(time.Minute)
	p.put(first)
	select {
	case second := <-got:
		if second != first {
			t.Error("got another connection, want the returned one")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("got no connection in 5s, want the returned one")
	}
}

// TestCallIsSentAfterTheServerLeft guards against calls that reach a backend server which left while
// they waited for a connection. The connection must go on to the next call.
func TestCallIsSentAfterTheServerLeft(t *testing.T) {
	release := make(chan struct{})
	b := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			<-release
			io.WriteString(c, answer(req.Header.Get("Id"), "x"))
		}
	})
	f := New(Config{Address: b.address, MaxConnections: 1, Dial: NewDialFunc(time.Second), Dialect: dialect(), MaxBufferedBytes: 1 << 10})
	t.Cleanup(f.Close)
	first := make(chan error, 1)
	go func() {
		_, err := do(t, f, call("first"))
		first <- err
	}()
	waiting := make(chan error, 1)
	go func() {
		c := call("waiting")
		c.BeforeSend = func() error { return caller.ErrLeaving }
		_, err := do(t, f, c)
		waiting <- err
	}()
	time.Sleep(20 * time.Millisecond)
	close(release)
	if err := <-first; err != nil {
		t.Errorf("first call: %v", err)
	}
	if err := <-waiting; !errors.Is(err, caller.ErrNotSent) || !errors.Is(err, caller.ErrLeaving) {
		t.Errorf("waiting call: got %v, want an error that says that it was not sent", err)
	}
	if got, err := do(t, f, call("next")); got != "x" || err != nil {
		t.Errorf("next call: got %q, %v, want the answer", got, err)
	}
	if got := b.connections.Load(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}
