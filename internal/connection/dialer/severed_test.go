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
		{
			name:             "the backend server is slow",
			wantsDeadlineEnd: true,
		},
		{
			name:             "the peer is slow",
			stopped:          true,
			wantsDeadlineEnd: true,
		},
		{
			name: "the connection is severed",
			deaf: true,
		},
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

// stallingConn is a connection that delivers what arrives during a stall at its end, as one does that
// lost a packet.
type stallingConn struct {
	net.Conn
	from, until time.Time
}

// Read implements net.Conn.
func (c *stallingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if now := time.Now(); now.After(c.from) && now.Before(c.until) {
		time.Sleep(c.until.Sub(now))
	}
	return n, err
}

// newStallingDialer returns a Dialer to a node that answers pings and no call. Its first connection
// stalls.
func newStallingDialer(t *testing.T, from, until time.Time) *Dialer {
	t.Helper()
	first := true
	d := New(Config{
		Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
			near, far := net.Pipe()
			session, err := yamux.Server(sessionizer.NewConn(far), sessionizer.Config())
			if err != nil {
				return nil, err
			}
			go func() {
				for {
					if _, err := session.AcceptStream(); err != nil {
						session.Close()
						return
					}
				}
			}()
			if !first {
				return near, nil
			}
			first = false
			return &stallingConn{
				Conn:  near,
				from:  from,
				until: until,
			}, nil
		},
		ReadIdleTimeout: time.Minute,
	})
	t.Cleanup(d.Close)
	return d
}

// callUntilOverdue makes a call of 2 s that is overdue after a time. It reports whether the call
// ended at its deadline.
func callUntilOverdue(d *Dialer, overdue time.Duration) bool {
	const timeout = 2 * time.Second
	call := &caller.Call{
		Deadline: time.Now().Add(timeout),
		Overdue:  &caller.Overdue{},
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	time.AfterFunc(overdue, call.Overdue.Notify)
	_, err := d.Call(ctx, &encoder.Member{
		PeerAddress: "127.0.0.1:1",
	}, call)
	return errors.Is(err, context.DeadlineExceeded)
}

// TestLostPacketEndsOverdueCall guards against overdue calls that are ended because their connection
// waits for the retransmission of one packet.
func TestLostPacketEndsOverdueCall(t *testing.T) {
	// minRetransmission is the shortest retransmission timeout of TCP on Linux.
	const minRetransmission = 200 * time.Millisecond
	const overdue = 200 * time.Millisecond
	t.Parallel()
	now := time.Now()
	d := newStallingDialer(t, now.Add(overdue/2), now.Add(overdue+minRetransmission+10*time.Millisecond))
	if !callUntilOverdue(d, overdue) {
		t.Error("got an end of the call before its deadline, want none")
	}
}

// TestRecoveredConnectionEndsOverdueCall guards against overdue calls that are ended although their
// connection delivers again.
func TestRecoveredConnectionEndsOverdueCall(t *testing.T) {
	t.Parallel()
	now := time.Now()
	d := newStallingDialer(t, now.Add(100*time.Millisecond), now.Add(time.Second))
	overdueLater := make(chan bool)
	go func() {
		overdueLater <- callUntilOverdue(d, 1500*time.Millisecond)
	}()
	time.Sleep(50 * time.Millisecond)
	if callUntilOverdue(d, 150*time.Millisecond) {
		t.Error("got no end of the call during the stall, want one")
	}
	if !<-overdueLater {
		t.Error("got an end of the later call before its deadline, want none")
	}
}

// TestSlowPeerGetsSessions guards against sessions that pile up at a peer that is slow already,
// because each check of an overdue call opens one.
func TestSlowPeerGetsSessions(t *testing.T) {
	t.Parallel()
	stopped := make(chan struct{})
	d := New(Config{
		Dial: startSilentPeer(t, make(chan struct{}), stopped),
	})
	t.Cleanup(d.Close)
	close(stopped)
	var calls sync.WaitGroup
	most := 0
	for range 60 {
		calls.Go(func() {
			callUntilOverdue(d, 80*time.Millisecond)
		})
		time.Sleep(50 * time.Millisecond)
		most = max(most, len(d.openSessions()))
	}
	calls.Wait()
	// Besides the current session, there are those that calls use which began during a check.
	if want := 6; most > want {
		t.Errorf("got %d open sessions at once, want at most %d", most, want)
	}
}
