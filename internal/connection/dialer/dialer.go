// Package dialer sends calls to other nodes over multiplexed sessions, with one
// stream for each call.
//
// A session that has open calls but receives no data is probed with a ping. If there
// is no answer, the session is closed and the next call opens a new one. This is needed
// because a device between the two nodes may have dropped the connection's state. An
// overdue call is ended sooner if its connection is severed, see severed.go. A
// session without calls is closed after a while, see maintenance.go.
//
// # Usage
//
//	d := dialer.New(dialer.Config{Dial: dialer.NewTCPDialFunc(time.Second)})
//	answer, err := d.Call(ctx, member, call)
//	defer d.Close()
package dialer

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// DialFunc opens a connection to the node at address.
type DialFunc func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// NewTCPDialFunc returns a DialFunc that dials over TCP and fails after timeout.
func NewTCPDialFunc(timeout time.Duration) DialFunc {
	dialer := &net.Dialer{
		Timeout: timeout,
	}
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address.String())
	}
}

// Config holds the settings of a Dialer.
type Config struct {
	Dial DialFunc
	// ReadIdleTimeout is the time without received data after which a session with
	// open calls is probed. It is also the timeout of the probe. 0 means
	// DefaultReadIdleTimeout.
	ReadIdleTimeout time.Duration
}

// DefaultReadIdleTimeout is the default of Config.ReadIdleTimeout.
const DefaultReadIdleTimeout = 700 * time.Millisecond

// Dialer is a caller.Transport that sends calls over sessions. Its methods are safe
// for concurrent use.
type Dialer struct {
	config Config

	// maintenance starts the goroutine that checks the sessions. It ends when done is
	// closed.
	maintenance sync.Once
	done        chan struct{}

	// mu may be held while the lock of a peer is taken.
	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	// sessions holds all open sessions, also those that were replaced but still have
	// calls.
	sessions map[*session]bool
	closed   bool
}

var _ caller.Transport = (*Dialer)(nil)

// New returns a Dialer without sessions.
func New(config Config) *Dialer {
	if config.ReadIdleTimeout == 0 {
		config.ReadIdleTimeout = DefaultReadIdleTimeout
	}
	return &Dialer{
		config:   config,
		done:     make(chan struct{}),
		peers:    make(map[netip.AddrPort]*peer),
		sessions: make(map[*session]bool),
	}
}

// Close closes all sessions. It waits for no answer.
func (d *Dialer) Close() {
	for _, s := range d.stop() {
		s.abort()
	}
}

// stop marks the dialer as closed and returns the open sessions.
func (d *Dialer) stop() []*session {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed {
		d.closed = true
		close(d.done)
	}
	return slices.Collect(maps.Keys(d.sessions))
}

// SessionCount returns the number of open sessions.
func (d *Dialer) SessionCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	open := 0
	for _, p := range d.peers {
		if p.usableSession() != nil {
			open++
		}
	}
	return open
}

// findOrCreatePeer returns the peer at address.
func (d *Dialer) findOrCreatePeer(address netip.AddrPort) (*peer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, errors.New("node is stopping")
	}
	p := d.peers[address]
	if p == nil {
		p = &peer{
			address: address,
			dialer:  d,
		}
		d.peers[address] = p
	}
	return p, nil
}

// OpenStream opens a stream to the node at address.
func (d *Dialer) OpenStream(ctx context.Context, address netip.AddrPort) (*yamux.Stream, error) {
	p, err := d.findOrCreatePeer(address)
	if err != nil {
		return nil, err
	}
	stream, _, err := p.open(ctx, false)
	return stream, err
}

// Call implements caller.Transport.
func (d *Dialer) Call(ctx context.Context, member *encoder.Member, call *caller.Call) (*caller.Answer, error) {
	address, err := netip.ParseAddrPort(member.GetPeerAddress())
	if err != nil {
		return nil, caller.MarkNotSent(errors.Wrapf(err, "address of member %s", member.GetId()))
	}
	p, err := d.findOrCreatePeer(address)
	if err != nil {
		return nil, caller.MarkNotSent(err)
	}
	// A call that only asks for the outcome of an earlier attempt uses a new session,
	// because a fault of the old session may have lost the answer.
	stream, s, err := p.open(ctx, call.ResolveOnly)
	if err != nil {
		return nil, caller.MarkNotSent(err)
	}
	call.Overdue.Handle(func() {
		s.endIfSevered(stream)
	})
	answer, err := exchange(ctx, stream, call, func() {
		sendCancel(p, call)
	})
	if err != nil && d.isClosed() {
		err = errors.Mark(err, caller.ErrStopping)
	}
	return answer, err
}

func (d *Dialer) isClosed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed
}
