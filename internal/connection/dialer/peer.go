package dialer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/sessionizer"
)

// peer holds the address of another node and the session to it.
type peer struct {
	address netip.AddrPort
	dialer  *Dialer

	// mu guards the fields below and is never held during I/O.
	mu      sync.Mutex
	session *session
	// attempt is the attempt to open a session that is in progress, or nil.
	attempt *connectAttempt
}

// connectAttempt is an attempt to open a session. All calls that need one wait for the same attempt.
type connectAttempt struct {
	// done is closed at the end of the attempt. Then session or err is set.
	done    chan struct{}
	session *session
	err     error
}

// session is a multiplexed session on a connection to a peer.
type session struct {
	*yamux.Session
	peer *peer
	conn *trackedConn
	// lastOpen is when the last stream was opened.
	lastOpen atomic.Int64 // Unix time in nanoseconds
	// probing is set while a probe waits for its answer.
	probing atomic.Bool

	// checking is held while the session is checked for an overdue call. It guards the fields
	// below, and is taken before the locks of the peer and the dialer.
	checking sync.Mutex
	// checked is the end of the last check.
	checked time.Time
	severed bool
}

// trackedConn records when it last received data.
type trackedConn struct {
	*sessionizer.Conn
	lastRead atomic.Int64 // Unix time in nanoseconds
}

// Read implements net.Conn.
func (t *trackedConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	t.lastRead.Store(time.Now().UnixNano())
	return n, err
}

// usableSession returns the current session, or nil if there is none or it is closed.
func (p *peer) usableSession() *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session == nil || p.session.IsClosed() {
		return nil
	}
	return p.session
}

// isCurrent reports whether new streams are opened on s.
func (p *peer) isCurrent(s *session) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session == s
}

// detach makes the next call open a new session instead of using s.
func (p *peer) detach(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session == s {
		p.session = nil
	}
}

// open opens a stream and returns it with its session. It opens a new session first if there is
// none or if forceNew is set.
func (p *peer) open(ctx context.Context, forceNew bool) (*yamux.Stream, *session, error) {
	s := p.usableSession()
	if s == nil || forceNew {
		var err error
		if s, err = p.connect(ctx, s); err != nil {
			return nil, nil, err
		}
	}
	stream, err := s.openStream()
	if err != nil {
		// The session ended after the check above. Retry once with a new one.
		if s, err = p.connect(ctx, s); err != nil {
			return nil, nil, err
		}
		if stream, err = s.openStream(); err != nil {
			return nil, nil, errors.Wrapf(err, "open stream to %s", p.address)
		}
	}
	return stream, s, nil
}

func (s *session) openStream() (*yamux.Stream, error) {
	s.lastOpen.Store(time.Now().UnixNano())
	return s.OpenStream()
}

// abort closes the session without waiting for the peer.
func (s *session) abort() {
	s.conn.Abort()
	s.Close()
}

// connect returns a session other than stale, which may be nil. If there is none, it waits for a
// new one until ctx ends.
func (p *peer) connect(ctx context.Context, stale *session) (*session, error) {
	s, attempt := p.joinAttempt(ctx, stale)
	if s != nil {
		return s, nil
	}
	select {
	case <-attempt.done:
		return attempt.session, attempt.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "connect to %s", p.address)
	}
}

// joinAttempt returns the current session if it is usable and not stale. Otherwise it returns the
// attempt in progress, or starts one.
func (p *peer) joinAttempt(ctx context.Context, stale *session) (*session, *connectAttempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.session; s != nil && s != stale && !s.IsClosed() {
		return s, nil
	}
	if p.attempt == nil {
		p.attempt = &connectAttempt{
			done: make(chan struct{}),
		}
		// Other calls wait for the attempt too, so the end of this one must not cancel it.
		go p.runAttempt(context.WithoutCancel(ctx), p.attempt)
	}
	return nil, p.attempt
}

// runAttempt opens a session and makes it the current one.
func (p *peer) runAttempt(ctx context.Context, attempt *connectAttempt) {
	defer close(attempt.done)
	attempt.session, attempt.err = p.openSession(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempt = nil
	if attempt.err == nil {
		p.session = attempt.session
	}
}

// openSession opens a connection and a session on it.
func (p *peer) openSession(ctx context.Context) (*session, error) {
	conn, err := p.dialer.config.Dial(ctx, p.address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", p.address)
	}
	tracked := &trackedConn{
		Conn: sessionizer.NewConn(conn),
	}
	now := time.Now().UnixNano()
	tracked.lastRead.Store(now)
	mux, err := yamux.Client(tracked, sessionizer.Config())
	if err != nil {
		conn.Close()
		return nil, errors.Wrapf(err, "start session to %s", p.address)
	}
	s := &session{
		Session: mux,
		peer:    p,
		conn:    tracked,
	}
	s.lastOpen.Store(now)
	if !p.dialer.addSession(s) {
		s.Close()
		return nil, errors.New("node is stopping")
	}
	return s, nil
}
