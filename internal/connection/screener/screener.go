// Package screener bounds what clients may occupy before their requests are accepted: the bytes
// of a head and the time in which it arrives, the connections that are open without a request,
// and the memory of all requests together. It also bounds the connections of other nodes.
//
// Heads are passed on to the HTTP server when they are complete. Until then only their bytes are
// kept, which take less than parsed lines.
//
// # Usage
//
//	listener := screener.New(tcpListener, screener.Config{Budget: budget, MaxConnections: 2048, Limits: limits})
//	server := &http.Server{Handler: handler}
//	listener.Configure(server)
//	err := server.Serve(listener)
package screener

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/evictor"
	"github.com/laburnumshelf/laburnumshelf/internal/request/weigher"
)

// counts counts what was refused or closed.
var counts = expvar.NewMap("screened")

// Names of the counters.
const (
	// largeHeads counts heads over the limit, which are answered 431.
	largeHeads = "largeHeads"
	// refusedHeads and refusedBodies count requests that do not fit into the budget, which are
	// answered 503.
	refusedHeads  = "refusedHeads"
	refusedBodies = "refusedBodies"
	// closedSilent counts connections that were closed because they were silent for too long.
	closedSilent = "closedSilent"
	// evicted counts connections that were closed to make room for others.
	evicted = "evicted"
	// refusedConnections counts connections that were closed at once, because a request is
	// served on each of the others.
	refusedConnections = "refusedConnections"
	// acceptErrors counts connections that the operating system could not open.
	acceptErrors = "acceptErrors"
)

// started is the origin of times in atomic fields.
var started = time.Now()

const (
	// sweepInterval is the time between two searches for silent connections.
	sweepInterval = time.Second
	// acceptPause is the pause after a failure to accept a connection, usually for lack of
	// descriptors.
	acceptPause = 10 * time.Millisecond
	// defaultWriteTimeout is the default of Config.WriteTimeout.
	defaultWriteTimeout = time.Minute
	// idleMark is the idle timeout of HTTP servers. It is longer than any limit, which
	// the listener enforces, and marks the time between two requests.
	idleMark = 48 * time.Hour
)

// Limits are the limits of a head and of a connection. A value of 0 means the default.
type Limits struct {
	HeaderBytes   int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits are the limits where the settings have none.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:   64 << 10,
		HeaderTimeout: 10 * time.Second,
		IdleTimeout:   2 * time.Minute,
	}
}

// orDefault fills in the defaults.
func (l Limits) orDefault() Limits {
	d := DefaultLimits()
	if l.HeaderBytes > 0 {
		d.HeaderBytes = l.HeaderBytes
	}
	if l.HeaderTimeout > 0 {
		d.HeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		d.IdleTimeout = l.IdleTimeout
	}
	return d
}

// Config holds the parameters of a Listener.
type Config struct {
	// Budget bounds the memory of the requests of the whole process.
	Budget *weigher.Budget
	// Limits returns the limits in force.
	Limits func() Limits
	// MaxConnections is the largest number of open connections.
	MaxConnections int
	// ServeTimeout is the longest time of a request, or 0 if the handler limits it.
	ServeTimeout time.Duration
	// WriteTimeout is the longest time that a client may take nothing of an answer. The default
	// is a minute.
	WriteTimeout time.Duration
}

// tracked is a connection that can be closed.
type tracked interface {
	state(now time.Duration) (evictor.Phase, time.Duration)
	evict(phase evictor.Phase) bool
}

// Listener accepts connections within the limits. Its methods are safe for concurrent use.
type Listener struct {
	net.Listener
	config Config
	limits atomic.Pointer[Limits]
	// sessions is set if other nodes connect, not HTTP clients.
	sessions bool
	stop     sync.Once
	stopped  chan struct{}

	mu    sync.Mutex
	conns map[tracked]struct{}
}

// New returns a Listener for HTTP connections. Close it to release its goroutine.
func New(listener net.Listener, config Config) *Listener {
	return newListener(listener, config, false)
}

func newListener(listener net.Listener, config Config, sessions bool) *Listener {
	l := &Listener{
		Listener: listener,
		config:   config,
		sessions: sessions,
		stopped:  make(chan struct{}),
		conns:    make(map[tracked]struct{}),
	}
	if l.config.WriteTimeout == 0 {
		l.config.WriteTimeout = defaultWriteTimeout
	}
	l.refresh()
	go l.sweep()
	return l
}

// NewForSessions returns a Listener for connections of other nodes. Only the number of
// connections and the time until their first byte are limited.
func NewForSessions(listener net.Listener, maxConnections int) *Listener {
	return newListener(listener, Config{
		Limits: func() Limits {
			return Limits{}
		},
		MaxConnections: maxConnections,
	}, true)
}

// Configure makes server use the listener. It wraps the handler.
func (l *Listener) Configure(server *http.Server) {
	server.Handler = screened(server.Handler)
	server.IdleTimeout = idleMark
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		c.(*conn).observe(state)
	}
}

// Accept implements net.Listener. It waits while the process has no descriptors.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err == nil {
			if c := l.add(accepted); c != nil {
				return c, nil
			}
			continue
		}
		if !isTransient(err) || l.isStopped() {
			return nil, err
		}
		counts.Add(acceptErrors, 1)
		l.makeRoom()
		time.Sleep(acceptPause)
	}
}

// isTransient reports whether a connection may be accepted later.
func isTransient(err error) bool {
	for _, cause := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// add registers a connection, if need be in place of another one. It returns nil if there is no
// room.
func (l *Listener) add(accepted net.Conn) net.Conn {
	if l.count() >= l.config.MaxConnections && !l.makeRoom() {
		counts.Add(refusedConnections, 1)
		accepted.Close()
		return nil
	}
	if l.sessions {
		c := &peerConn{
			Conn:     accepted,
			listener: l,
		}
		c.since.Store(int64(time.Since(started)))
		l.register(c)
		return c
	}
	c := &conn{
		Conn:     accepted,
		listener: l,
		inHead:   true,
	}
	c.setPhase(evictor.Waiting)
	l.register(c)
	return c
}

func (l *Listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *Listener) register(c tracked) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

func (l *Listener) remove(c tracked) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// makeRoom closes a connection without a request. It reports false if there is none.
func (l *Listener) makeRoom() bool {
	search := evictor.Search[tracked]{}
	now := time.Since(started)
	l.mu.Lock()
	for c := range l.conns {
		phase, age := c.state(now)
		search.Offer(c, phase, age)
	}
	l.mu.Unlock()
	victim, ok := search.Victim()
	if !ok {
		return false
	}
	phase, _ := victim.state(now)
	if phase >= evictor.Serving || !victim.evict(phase) {
		return false
	}
	counts.Add(evicted, 1)
	return true
}

// sweep closes connections that are silent for too long, until the listener is closed.
func (l *Listener) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stopped:
			return
		case <-ticker.C:
			l.refresh()
			l.closeExpired()
		}
	}
}

// refresh reads the limits in force.
func (l *Listener) refresh() {
	limits := l.config.Limits().orDefault()
	l.limits.Store(&limits)
}

// headLimit returns the longest head that is passed on.
func (l *Listener) headLimit() int {
	return int(l.limits.Load().HeaderBytes) + headSlack
}

func (l *Listener) closeExpired() {
	limits := l.limits.Load()
	times := evictor.Limits{
		Waiting: limits.IdleTimeout,
		// A client may need the whole time to send its head, and the node may be late.
		Head:    limits.HeaderTimeout + sweepInterval,
		Idle:    limits.IdleTimeout,
		Body:    l.config.ServeTimeout,
		Serving: l.config.ServeTimeout,
		Writing: l.config.WriteTimeout,
	}
	if l.sessions {
		times = evictor.Limits{
			Waiting: limits.HeaderTimeout,
		}
	}
	type candidate struct {
		conn  tracked
		phase evictor.Phase
	}
	var expired []candidate
	now := time.Since(started)
	l.mu.Lock()
	for c := range l.conns {
		if phase, age := c.state(now); times.Expired(phase, age) {
			expired = append(expired, candidate{
				conn:  c,
				phase: phase,
			})
		}
	}
	l.mu.Unlock()
	for _, c := range expired {
		if c.conn.evict(c.phase) {
			counts.Add(closedSilent, 1)
		}
	}
}

func (l *Listener) isStopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

// Close implements net.Listener. Open connections stay open.
func (l *Listener) Close() error {
	l.stop.Do(func() {
		close(l.stopped)
	})
	return l.Listener.Close()
}
