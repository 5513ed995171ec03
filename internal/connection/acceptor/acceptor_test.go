package acceptor

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/dialer"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/weigher"
	"github.com/laburnumshelf/laburnumshelf/internal/version/follower"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// executorFunc is an Executor that runs calls with a function.
type executorFunc func(ctx context.Context, call *caller.Call) *caller.Answer

func (f executorFunc) Execute(ctx context.Context, call *caller.Call) *caller.Answer {
	return f(ctx, call)
}

// pipeListener is an in-memory listener.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// droppingConn discards everything that is written after drop is set. Neither end sees
// an error, as when a firewall drops packets.
type droppingConn struct {
	net.Conn
	drop *atomic.Bool
}

func (d *droppingConn) Write(p []byte) (int, error) {
	if d.drop.Load() {
		return len(p), nil
	}
	return d.Conn.Write(p)
}

// pair is a dialer and an acceptor that are connected in memory.
type pair struct {
	dialer *dialer.Dialer
	dials  atomic.Int64
	budget *weigher.Budget
	// dropAll makes all connections opened so far discard what is written to them.
	dropAll func()
	// closeAll closes all connections opened so far.
	closeAll func()
}

var peer = &encoder.Member{Id: "t", PeerAddress: "127.0.0.1:1"}

func newPair(t *testing.T, executor executorFunc) *pair {
	t.Helper()
	return newPairWith(t, executor, 100*time.Millisecond)
}

// newPatientPair is newPair with a probe that a busy processor does not fail.
func newPatientPair(t *testing.T, executor executorFunc) *pair {
	t.Helper()
	return newPairWith(t, executor, 10*time.Second)
}

func newPairWith(t *testing.T, executor executorFunc, readIdleTimeout time.Duration) *pair {
	t.Helper()
	p := &pair{budget: weigher.NewBudget(weigher.DefaultBudget)}
	listener := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	a := New(Config{Executor: executor, Settings: follower.NewState, Budget: p.budget})
	go a.Serve(listener)
	var mu sync.Mutex
	var open []net.Conn
	var flags []*atomic.Bool
	p.dialer = dialer.New(dialer.Config{
		ReadIdleTimeout: readIdleTimeout,
		Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
			p.dials.Add(1)
			near, far := net.Pipe()
			drop := &atomic.Bool{}
			mu.Lock()
			defer mu.Unlock()
			open = append(open, near)
			flags = append(flags, drop)
			listener.conns <- &droppingConn{Conn: far, drop: drop}
			return &droppingConn{Conn: near, drop: drop}, nil
		},
	})
	p.dropAll = func() {
		mu.Lock()
		defer mu.Unlock()
		for _, flag := range flags {
			flag.Store(true)
		}
	}
	p.closeAll = func() {
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range open {
			conn.Close()
		}
	}
	t.Cleanup(func() {
		p.dialer.Close()
		listener.Close()
		a.Shutdown(t.Context())
	})
	return p
}

func (p *pair) call(ctx context.Context, id string, body io.Reader) (*caller.Answer, error) {
	stored, err := caller.NewBody(body)
	if err != nil {
		return nil, err
	}
	return p.dialer.Call(ctx, peer, &caller.Call{
		CallID:   id,
		Method:   "POST",
		Path:     "/",
		Deadline: time.Now().Add(10 * time.Second),
		Body:     stored,
	})
}

func answerWith(body io.Reader) *caller.Answer {
	return &caller.Answer{Status: 200, Body: io.NopCloser(body)}
}

// echo answers a call with its own ID and body.
func echo(_ context.Context, call *caller.Call) *caller.Answer {
	time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
	return answerWith(io.MultiReader(bytes.NewReader([]byte(call.CallID+":")), call.Body.Reader()))
}

func TestConcurrentCallsGetTheirOwnAnswers(t *testing.T) {
	p := newPair(t, echo)
	var group sync.WaitGroup
	for i := range 100 {
		group.Go(func() {
			body := bytes.Repeat([]byte{byte(i)}, i*2000)
			id := string(rune('a'+i%26)) + string(rune('a'+i/26))
			answer, err := p.call(t.Context(), id, bytes.NewReader(body))
			if err != nil {
				t.Errorf("call %d: %v", i, err)
				return
			}
			defer answer.Close()
			got, err := io.ReadAll(answer.Body)
			if want := append([]byte(id+":"), body...); err != nil || !bytes.Equal(got, want) {
				t.Errorf("call %d: got %d bytes, %v, want its own %d bytes", i, len(got), err, len(want))
			}
		})
	}
	group.Wait()
}

// brokenReader returns an error instead of EOF at its end.
type brokenReader struct {
	io.Reader
}

func (b brokenReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = errors.New("backend server went away")
	}
	return n, err
}

func TestBrokenAnswerReturnsError(t *testing.T) {
	for name, size := range map[string]int{"small": 10, "large": 1 << 20} {
		p := newPair(t, func(context.Context, *caller.Call) *caller.Answer {
			return answerWith(brokenReader{bytes.NewReader(make([]byte, size))})
		})
		answer, err := p.call(t.Context(), "x", nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(answer.Body); !errors.Is(err, encoder.ErrBodyBroken) {
			t.Errorf("%s body: got %v, want ErrBodyBroken", name, err)
		}
		answer.Close()
	}
}

func TestLostConnectionReturnsErrorFromBody(t *testing.T) {
	release := make(chan struct{})
	p := newPair(t, func(context.Context, *caller.Call) *caller.Answer {
		pr, pw := io.Pipe()
		go func() {
			pw.Write(make([]byte, 100_000))
			<-release
			pw.Close()
		}()
		return answerWith(pr)
	})
	defer close(release)
	answer, err := p.call(t.Context(), "x", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	io.ReadFull(answer.Body, make([]byte, 1000))
	p.closeAll()
	if _, err := io.ReadAll(answer.Body); err == nil {
		t.Error("connection lost while reading the body: got no error, want one")
	}
}

// The caller's body breaks off after more bytes than caller.NewBody keeps in memory, so
// that the call is already sent. The target must not take the part for the whole body.
func TestBrokenRequestBodyReturnsError(t *testing.T) {
	ran := atomic.Bool{}
	p := newPair(t, func(_ context.Context, call *caller.Call) *caller.Answer {
		if _, err := io.ReadAll(call.Body.Reader()); err == nil {
			ran.Store(true)
		}
		return caller.NewFailure(caller.Unknown, caller.ReasonBodyBroken)
	})
	body := brokenReader{bytes.NewReader(make([]byte, 2*caller.PrefetchBytes))}
	if answer, err := p.call(t.Context(), "x", body); err == nil {
		answer.Close()
	}
	if ran.Load() {
		t.Error("the executor read a broken request body without an error")
	}
}

func TestCancelReachesTheTarget(t *testing.T) {
	canceled := make(chan struct{})
	p := newPair(t, func(ctx context.Context, _ *caller.Call) *caller.Answer {
		<-ctx.Done()
		close(canceled)
		return caller.NewFailure(caller.Unknown, caller.ReasonCanceled)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := p.call(ctx, "x", nil); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
	select {
	case <-canceled:
	case <-time.After(10 * time.Second):
		t.Error("the context of the call at the target was not canceled")
	}
}

// A caller that stops reading a large answer must not block other calls on its session.
func TestUnreadAnswerDoesNotBlockOtherCalls(t *testing.T) {
	p := newPair(t, func(_ context.Context, call *caller.Call) *caller.Answer {
		if call.CallID == "large" {
			return answerWith(io.LimitReader(zeroReader{}, 64<<20))
		}
		return answerWith(bytes.NewReader([]byte("ok")))
	})
	large, err := p.call(t.Context(), "large", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer large.Close()
	// Nobody reads the large body. The small calls use the same session.
	for range 50 {
		answer, err := p.call(t.Context(), "small", nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(answer.Body); err != nil || string(got) != "ok" {
			t.Fatalf("got %q, %v, want ok", got, err)
		}
		answer.Close()
	}
	if got := p.dials.Load(); got != 1 {
		t.Errorf("got %d sessions, want 1", got)
	}
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// A connection that loses all data without an error must be closed and replaced. The
// call on it may have run, so its error must not be ErrNotSent.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	p := newPair(t, echo)
	answer, err := p.call(t.Context(), "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, answer.Body)
	answer.Close()
	p.dropAll()
	if _, err := p.call(t.Context(), "b", nil); err == nil || errors.Is(err, caller.ErrNotSent) {
		t.Fatalf("unresponsive connection: got %v, want an error other than ErrNotSent", err)
	}
	answer, err = p.call(t.Context(), "c", nil)
	if err != nil {
		t.Fatalf("new connection: got %v, want an answer", err)
	}
	answer.Close()
}

func TestInvalidStreamHeadsAreIgnored(t *testing.T) {
	p := newPair(t, echo)
	for _, junk := range [][]byte{{}, {0}, {0xff, 0xff, 0xff, 0xff}, {0, 0, 0, 3, 1, 2, 3}, {0, 0, 0, 0}} {
		stream, err := p.dialer.OpenStream(t.Context(), netip.MustParseAddrPort(peer.PeerAddress))
		if err != nil {
			t.Fatal(err)
		}
		stream.Write(junk)
		stream.Close()
	}
	answer, err := p.call(t.Context(), "after", nil)
	if err != nil {
		t.Fatalf("after invalid stream heads: got %v, want an answer", err)
	}
	answer.Close()
}

// A call that does not fit into the budget must not run. It may be refused as not run only if it
// repeats no call that may run, and a query for an outcome must be answered.
func TestCallsBeyondTheBudgetAreNotRun(t *testing.T) {
	var runs atomic.Int64
	p := newPair(t, func(_ context.Context, call *caller.Call) *caller.Answer {
		if !call.ResolveOnly {
			runs.Add(1)
		}
		return caller.NewFailure(caller.NotRun, caller.ReasonTombstone)
	})
	p.budget.Release(-2 * weigher.DefaultBudget)
	token := &encoder.Token{Target: "t", Id: "1"}
	for _, test := range []struct {
		name string
		call *caller.Call
		want caller.Reason
	}{
		{name: "idempotent call", call: &caller.Call{Idempotent: true}, want: caller.ReasonQueueFull},
		{name: "query", call: &caller.Call{Token: token, ResolveOnly: true}, want: caller.ReasonTombstone},
	} {
		test.call.Deadline = time.Now().Add(5 * time.Second)
		answer, err := p.dialer.Call(t.Context(), peer, test.call)
		if err != nil {
			t.Fatalf("%s: %v", test.name, err)
		}
		if answer.Outcome != caller.NotRun || answer.Reason != test.want {
			t.Errorf("%s: got %s, %s, want notRun, %s", test.name, answer.Outcome, answer.Reason, test.want)
		}
		answer.Close()
	}
	answer, err := p.dialer.Call(t.Context(), peer, &caller.Call{Token: token, Deadline: time.Now().Add(5 * time.Second)})
	if err == nil || errors.Is(err, caller.ErrNotSent) {
		t.Errorf("call with a token: got %+v, error %v, want a lost answer", answer, err)
	}
	if got := runs.Load(); got != 0 {
		t.Errorf("got %d runs, want 0", got)
	}
}
