package dialer

import (
	"context"
	"net"
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
	config  Config

	// dialMu is held while a session is opened, so that only one is opened at a time.
	dialMu sync.Mutex

	mu      sync.Mutex
	session *session
}

// session is a multiplexed session on a connection to a peer.
type session struct {
	*yamux.Session
	conn *trackedConn
}

// trackedConn records when it last received data.
type trackedConn struct {
	net.Conn
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

func (p *peer) close() {
	if s := p.usableSession(); s != nil {
		s.Close()
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
	stream, err := s.OpenStream()
	if err != nil {
		// The session ended after the check above. Retry once with a new one.
		if s, err = p.connect(ctx, s); err != nil {
			return nil, err
		}
		if stream, err = s.OpenStream(); err != nil {
			return nil, errors.Wrapf(err, "open stream to %s", p.address)
		}
	}
	return stream, nil
}

// connect opens a session to replace stale, which may be nil. If another caller has
// replaced stale meanwhile, connect returns that session.
func (p *peer) connect(ctx context.Context, stale *session) (*session, error) {
	p.dialMu.Lock()
	defer p.dialMu.Unlock()
	if s := p.usableSession(); s != nil && s != stale {
		return s, nil
	}
	conn, err := p.config.Dial(ctx, p.address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", p.address)
	}
	tracked := &trackedConn{
		Conn: conn,
	}
	tracked.lastRead.Store(time.Now().UnixNano())
	mux, err := yamux.Client(tracked, sessionizer.Config())
	if err != nil {
		conn.Close()
		return nil, errors.Wrapf(err, "start session to %s", p.address)
	}
	s := &session{
		Session: mux,
		conn:    tracked,
	}
	p.mu.Lock()
	p.session = s
	p.mu.Unlock()
	go p.probeWhenIdle(s)
	if stale != nil {
		go closeWhenUnused(stale)
	}
	return s, nil
}

// closeWhenUnused closes a replaced session after its last stream has ended.
func closeWhenUnused(s *session) {
	const pollInterval = time.Second
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.NumStreams() > 0 {
		select {
		case <-ticker.C:
		case <-s.CloseChan():
			return
		}
	}
	s.Close()
}

// probeWhenIdle probes s whenever it has open calls but receives no data. It closes s
// if the probe fails.
func (p *peer) probeWhenIdle(s *session) {
	ticker := time.NewTicker(p.config.ReadIdleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-s.CloseChan():
			return
		case <-ticker.C:
		}
		idle := time.Since(time.Unix(0, s.conn.lastRead.Load()))
		if s.NumStreams() == 0 || idle < p.config.ReadIdleTimeout {
			continue
		}
		if !answersPing(s, p.config.ReadIdleTimeout) {
			s.Close()
			return
		}
	}
}

// answersPing sends a ping and reports whether any data arrives within timeout.
func answersPing(s *session, timeout time.Duration) bool {
	started := time.Now()
	answered := make(chan error, 1)
	go func() {
		_, err := s.Ping()
		answered <- err
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-answered:
		return err == nil
	case <-timer.C:
		return s.conn.lastRead.Load() > started.UnixNano()
	}
}
