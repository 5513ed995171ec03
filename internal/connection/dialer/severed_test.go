package dialer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/sessionizer"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// deafConn is a connection that delivers nothing once it is deaf.
type deafConn struct {
	net.Conn
	deaf <-chan struct{}
	end  chan struct{}
	once sync.Once
}

// Read implements net.Conn.
func (c *deafConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.deaf:
		<-c.end
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Close implements net.Conn.
func (c *deafConn) Close() error {
	c.once.Do(func() {
		close(c.end)
	})
	return c.Conn.Close()
}

// startSilentPeer returns the dial function for a node that accepts calls, answers pings and answers
// no call. The first connection is deaf from the moment on at which deaf is closed. From the moment
// on at which stopped is closed, the node reads nothing.
func startSilentPeer(t *testing.T, deaf, stopped <-chan struct{}) DialFunc {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		listener.Close()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() {
				conn.Close()
			})
			session, err := yamux.Server(&deafConn{
				Conn: conn,
				deaf: stopped,
				end:  make(chan struct{}),
			}, sessionizer.Config())
			if err != nil {
				return
			}
			go func() {
				for {
					if _, err := session.AcceptStream(); err != nil {
						return
					}
				}
			}()
		}
	}()
	var dials sync.Mutex
	first := true
	return func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		dials.Lock()
		defer dials.Unlock()
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil || !first {
			return conn, err
		}
		first = false
		return &deafConn{
			Conn: conn,
			deaf: deaf,
			end:  make(chan struct{}),
		}, nil
	}
}

// TestOverdueCallIsEndedAtASlowPeer guards against overdue calls that are ended although their peer
// is only slow, and against calls that wait for an answer on a connection that is severed.
func TestOverdueCallIsEndedAtASlowPeer(t *testing.T) {
	const timeout = 1500 * time.Millisecond
	never := make(chan struct{})
	for _, test := range []struct {
		name             string
		deaf, stopped    bool
		wantsDeadlineEnd bool
	}{
		{"the backend server is slow", false, false, true},
		{"the peer is slow", false, true, true},
		{"the connection is severed", true, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			silence := make(chan struct{})
			var deaf, stopped <-chan struct{} = never, never
			if test.deaf {
				deaf = silence
			}
			if test.stopped {
				stopped = silence
			}
			d := New(Config{
				Dial:            startSilentPeer(t, deaf, stopped),
				ReadIdleTimeout: time.Minute,
			})
			t.Cleanup(d.Close)
			call := &caller.Call{
				Deadline: time.Now().Add(timeout),
				Overdue:  &caller.Overdue{},
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			time.AfterFunc(100*time.Millisecond, func() {
				close(silence)
			})
			time.AfterFunc(200*time.Millisecond, call.Overdue.Notify)
			_, err := d.Call(ctx, &encoder.Member{
				PeerAddress: "127.0.0.1:1",
			}, call)
			if got := errors.Is(err, context.DeadlineExceeded); got != test.wantsDeadlineEnd {
				t.Errorf("got the error %v; want the end at the deadline: %t", err, test.wantsDeadlineEnd)
			}
		})
	}
}
