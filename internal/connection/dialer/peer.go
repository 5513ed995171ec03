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

	// dialMu is held while a session is opened, so that only one is opened at a time.
	dialMu sync.Mutex

	mu      sync.Mutex
	session *session
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

// open opens a stream. It opens a new session first if there is none or if forceNew
// is set.
func (p *peer) open(ctx context.Context, forceNew bool) (*yamux.Stream, error) {
	s := p.usableSession()
	if s == nil || forceNew {
		var err error
		if s, err = p.connect(ctx, s); err != nil {
			return nil, err
		}
	}
	stream, err := s.openStream()
	if err != nil {
		// The session ended after the check above. Retry once with a new one.
		if s, err = p.connect(ctx, s); err != nil {
			return nil, err
		}
		if stream, err = s.openStream(); err != nil {
			return nil, errors.Wrapf(err, "open stream to %s", p.address)
		}
	}
	return stream, nil
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

// connect opens a session to replace stale, which may be nil. If another caller has
// replaced stale meanwhile, connect returns that session.
func (p *peer) connect(ctx context.Context, stale *session) (*session, error) {
	p.dialMu.Lock()
	defer p.dialMu.Unlock()
	if s := p.usableSession(); s != nil && s != stale {
		return s, nil
	}
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
	p.mu.Lock()
	defer p.mu.Unlock()
	p.session = s
	return s, nil
}
