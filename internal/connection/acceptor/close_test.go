package acceptor

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/dialer"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/version/follower"
)

// busyConn is a TCP connection whose process reads nothing while busy is locked, but whose
// system receives all the same.
type busyConn struct {
	*net.TCPConn
	busy *sync.RWMutex
}

// Read implements net.Conn.
func (b *busyConn) Read(p []byte) (int, error) {
	b.busy.RLock()
	defer b.busy.RUnlock()
	return b.TCPConn.Read(p)
}

// newTCPPair is newPair over TCP. The node of the caller reads nothing while busy is locked, from
// its next read on.
func newTCPPair(t *testing.T, executor executorFunc, busy *sync.RWMutex) (*Acceptor, *pair) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := New(Config{
		Executor: executor,
		Settings: follower.NewState,
	})
	go a.Serve(listener)
	p := &pair{
		dialer: dialer.New(dialer.Config{
			ReadIdleTimeout: 10 * time.Second,
			Dial: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", listener.Addr().String())
				if err != nil {
					return nil, err
				}
				return &busyConn{
					TCPConn: conn.(*net.TCPConn),
					busy:    busy,
				}, nil
			},
		}),
	}
	t.Cleanup(func() {
		p.dialer.Close()
		listener.Close()
		a.Shutdown(t.Context())
	})
	return a, p
}

// Answers that were written when a node stops must arrive, although the caller's node is late to
// read them and sends more on the same session meanwhile.
func TestWrittenAnswersAreLostAsTheSessionCloses(t *testing.T) {
	for _, size := range []int{10, 60_000, 250_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			const calls = 8
			want := bytes.Repeat([]byte("x"), size)
			release := make(chan struct{})
			var running, answered sync.WaitGroup
			running.Add(calls)
			answered.Add(calls)
			busy := &sync.RWMutex{}
			a, p := newTCPPair(t, func(_ context.Context, call *caller.Call) *caller.Answer {
				if call.CallID == "warm-up" || call.CallID == "late" {
					return caller.NewFailure(caller.NotRun, caller.ReasonLeaving)
				}
				running.Done()
				<-release
				return &caller.Answer{
					Status: 200,
					Body: &closeNotifier{
						Reader: bytes.NewReader(want),
						closed: answered.Done,
					},
				}
			}, busy)
			if _, err := p.call(t.Context(), "warm-up", nil); err != nil {
				t.Fatal(err)
			}
			results := make(chan error, calls)
			for i := range calls {
				go func() {
					answer, err := p.call(t.Context(), fmt.Sprint(i), nil)
					if err != nil {
						results <- err
						return
					}
					defer answer.Close()
					got, err := io.ReadAll(answer.Body)
					if err == nil && !bytes.Equal(got, want) {
						err = fmt.Errorf("got %d bytes, want %d", len(got), len(want))
					}
					results <- err
				}()
			}
			running.Wait()
			hold(busy, func() {
				close(release)
				answered.Wait()
				go a.Shutdown(t.Context())
				for range 3 {
					time.Sleep(20 * time.Millisecond)
					go p.call(t.Context(), "late", nil)
				}
				time.Sleep(20 * time.Millisecond)
			})
			for range calls {
				if err := <-results; err != nil {
					t.Errorf("call whose answer was written: %v", err)
				}
			}
		})
	}
}

// hold keeps the node of the caller from reading while f runs. A read that waits at this time gets
// the next bytes nevertheless.
func hold(busy *sync.RWMutex, f func()) {
	locked := make(chan struct{})
	done := make(chan struct{})
	go func() {
		close(locked)
		busy.Lock()
		<-done
		busy.Unlock()
	}()
	<-locked
	f()
	close(done)
}

// closeNotifier is a body that tells when it is closed.
type closeNotifier struct {
	io.Reader
	closed func()
}

// Close implements io.Closer.
func (c *closeNotifier) Close() error {
	c.closed()
	return nil
}

// An answer that is being written when a node stops must arrive. A refusal tells the caller's node
// that the call did not run; a session that ends tells nothing.
func TestRefusalIsLostAsTheSessionCloses(t *testing.T) {
	writing := make(chan struct{})
	a, p := newTCPPair(t, func(context.Context, *caller.Call) *caller.Answer {
		answer := caller.NewFailure(caller.NotRun, caller.ReasonLeaving)
		answer.Unspent = func() uint32 {
			// The acceptor asks for the allowance while it writes the answer.
			close(writing)
			time.Sleep(50 * time.Millisecond)
			return 0
		}
		return answer
	}, &sync.RWMutex{})
	go func() {
		<-writing
		a.Shutdown(t.Context())
	}()
	answer, err := p.call(t.Context(), "a", nil)
	if err != nil {
		t.Fatalf("refused call: got error %v, want the refusal", err)
	}
	if answer.Outcome != caller.NotRun || answer.Reason != caller.ReasonLeaving {
		t.Errorf("refused call: got %s, %s, want notRun, leaving", answer.Outcome, answer.Reason)
	}
}
