package acceptor

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/dialer"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/version/follower"
)

const readyBody = "the answer of the backend server"

// watchedConn ends the context of the current call once readyBody was read and its frame was
// handled.
type watchedConn struct {
	net.Conn
	end *atomic.Pointer[context.CancelFunc]
	// arrived ends the context of the call whose answer was read last.
	arrived *context.CancelFunc
}

func (w *watchedConn) Read(p []byte) (int, error) {
	if w.arrived != nil {
		(*w.arrived)()
		w.arrived = nil
	}
	n, err := w.Conn.Read(p)
	if bytes.Contains(p[:n], []byte(readyBody)) {
		w.arrived = w.end.Load()
	}
	return n, err
}

// The time of a call may end after its answer has arrived and before the goroutine that waits
// for it runs, which takes long on a busy processor. The answer must not be replaced by one of
// the node's own.
func TestArrivedAnswerIsNotThrownAway(t *testing.T) {
	listener := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	a := New(Config{
		Executor: executorFunc(func(context.Context, *caller.Call) *caller.Answer {
			answer := answerWith(strings.NewReader(readyBody))
			answer.Header = map[string][]string{"Content-Length": {"32"}}
			return answer
		}),
		Settings: follower.NewState,
	})
	go a.Serve(listener)
	var end atomic.Pointer[context.CancelFunc]
	p := &pair{
		dialer: dialer.New(dialer.Config{
			Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
				near, far := net.Pipe()
				listener.conns <- far
				return &watchedConn{Conn: near, end: &end}, nil
			},
		}),
	}
	defer a.Shutdown(t.Context())
	defer listener.Close()
	defer p.dialer.Close()
	const calls = 300
	lost := 0
	for range calls {
		ctx, cancel := context.WithCancel(t.Context())
		end.Store(&cancel)
		answer, err := p.call(ctx, "x", nil)
		if err == nil {
			var got []byte
			if got, err = io.ReadAll(answer.Body); err == nil && string(got) != readyBody {
				t.Errorf("got body %q, want %q", got, readyBody)
			}
			answer.Close()
		}
		if err != nil {
			lost++
		}
		cancel()
	}
	if lost > 0 {
		t.Errorf("%d of %d answers that had arrived were thrown away, want 0", lost, calls)
	}
}
