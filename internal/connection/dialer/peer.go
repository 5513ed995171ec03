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

// peer is one other node and the session to it.
type peer struct {
	address netip.AddrPort
	config  Config

	// dialing is held while a session is opened.
	dialing sync.Mutex

	mu      sync.Mutex
	session *session
}

// session is one connection to a peer.
type session struct {
	*yamux.Session
	conn *watchedConn
}

// watchedConn notes when bytes last arrived.
type watchedConn struct {
	net.Conn
	lastRead atomic.Int64
}

// Read implements net.Conn.
func (w *watchedConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	w.lastRead.Store(time.Now().UnixNano())
	return n, err
}

// current returns the usable session, or nil.
func (p *peer) current() *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session == nil || p.session.IsClosed() {
		return nil
	}
	return p.session
}

func (p *peer) close() {
	if s := p.current(); s != nil {
		s.Close()
	}
}

// open returns a new stream, over a new session when fresh is set.
func (p *peer) open(ctx context.Context, fresh bool) (*yamux.Stream, error) {
	s := p.current()
	if s == nil || fresh {
		var err error
		if s, err = p.connect(ctx, s); err != nil {
			return nil, err
		}
	}
	stream, err := s.OpenStream()
	if err != nil {
		// The session ended under our hands; try one new one.
		if s, err = p.connect(ctx, s); err != nil {
			return nil, err
		}
		if stream, err = s.OpenStream(); err != nil {
			return nil, errors.Wrapf(err, "open stream to %s", p.address)
		}
	}
	return stream, nil
}

// connect opens a session unless another caller replaced stale meanwhile.
func (p *peer) connect(ctx context.Context, stale *session) (*session, error) {
	p.dialing.Lock()
	defer p.dialing.Unlock()
	if s := p.current(); s != nil && s != stale {
		return s, nil
	}
	conn, err := p.config.Dial(ctx, p.address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", p.address)
	}
	watched := &watchedConn{
		Conn: conn,
	}
	watched.lastRead.Store(time.Now().UnixNano())
	mux, err := yamux.Client(watched, sessionizer.Config())
	if err != nil {
		conn.Close()
		return nil, errors.Wrapf(err, "start session to %s", p.address)
	}
	s := &session{
		Session: mux,
		conn:    watched,
	}
	p.mu.Lock()
	p.session = s
	p.mu.Unlock()
	go p.watch(s)
	if stale != nil {
		go retire(stale)
	}
	return s, nil
}

// retire closes a replaced session once its streams have ended.
func retire(s *session) {
	const poll = time.Second
	ticker := time.NewTicker(poll)
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

// watch probes the session whenever calls wait on it in silence and closes it
// when a probe stays unanswered.
func (p *peer) watch(s *session) {
	ticker := time.NewTicker(p.config.ReadIdleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-s.CloseChan():
			return
		case <-ticker.C:
		}
		silent := time.Since(time.Unix(0, s.conn.lastRead.Load()))
		if s.NumStreams() == 0 || silent < p.config.ReadIdleTimeout {
			continue
		}
		if !answersPing(s, p.config.ReadIdleTimeout) {
			s.Close()
			return
		}
	}
}

// answersPing reports whether any byte arrives within timeout of a probe.
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
