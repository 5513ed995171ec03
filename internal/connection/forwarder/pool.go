package forwarder

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// bufferBytes is the size of the read and write buffers of a connection.
const bufferBytes = 4 << 10

// pool keeps idle connections to the backend server for reuse, because accepting a
// connection is expensive for it. It also limits the number of open connections.
type pool struct {
	config Config
	// slots holds an element for each open connection, idle or in use.
	slots   chan struct{}
	writers sync.Pool

	mu   sync.Mutex
	idle []*conn
	// waiters are the calls that wait for a connection, oldest first. Each channel takes one.
	waiters []chan *conn
	closed  bool
}

func newPool(config Config) *pool {
	return &pool{
		config: config,
		slots:  make(chan struct{}, config.MaxConnections),
		writers: sync.Pool{
			New: func() any {
				return bufio.NewWriterSize(nil, bufferBytes)
			},
		},
	}
}

// get returns an idle connection that may carry a request, or opens one. If the limit is
// reached, it waits for a connection, for a slot or for the end of ctx.
func (p *pool) get(ctx context.Context, requestID string) (*conn, error) {
	for {
		c, err := p.takeIdle(ctx)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.open(ctx)
		}
		if c.mayCarry(requestID) && isOpenAndEmpty(c.Conn) {
			return c, nil
		}
		c.discard()
	}
}

// takeIdle returns an idle connection, or takes a slot and returns nil.
func (p *pool) takeIdle(ctx context.Context) (*conn, error) {
	c, waiter := p.popIdle()
	if c != nil {
		return c, nil
	}
	select {
	case c := <-waiter:
		return c, nil
	case p.slots <- struct{}{}:
		p.stopWaiting(waiter)
		return nil, nil
	case <-ctx.Done():
		p.stopWaiting(waiter)
		return nil, errors.Wrap(ctx.Err(), "wait for a connection")
	}
}

// stopWaiting removes a waiter. A connection that it got meanwhile goes to another one.
func (p *pool) stopWaiting(waiter chan *conn) {
	p.mu.Lock()
	p.waiters = slices.DeleteFunc(p.waiters, func(other chan *conn) bool {
		return other == waiter
	})
	p.mu.Unlock()
	select {
	case c := <-waiter:
		p.put(c)
	default:
	}
}

// open opens a connection for a slot that was taken.
func (p *pool) open(ctx context.Context) (*conn, error) {
	opened, err := p.config.Dial(ctx, "tcp", p.config.Address.String())
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	head := &headReader{
		source: opened,
	}
	return &conn{
		Conn:   opened,
		pool:   p,
		reader: bufio.NewReaderSize(head, bufferBytes),
		head:   head,
	}, nil
}

// popIdle closes the expired idle connections at the head of the list. It then removes
// and returns the connection that was used last, or a waiter for the next one.
func (p *pool) popIdle() (*conn, chan *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.idle) > 0 && !now.Before(p.idle[0].usableUntil) {
		p.idle[0].discard()
		p.idle = p.idle[1:]
	}
	if len(p.idle) == 0 {
		waiter := make(chan *conn, 1)
		p.waiters = append(p.waiters, waiter)
		return nil, waiter
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c, nil
}

// put passes a connection to the call that has waited longest, or else keeps it. It closes the
// connection if the pool is closed.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.discard()
		return
	}
	if len(p.waiters) > 0 {
		p.waiters[0] <- c
		p.waiters = p.waiters[1:]
		return
	}
	p.idle = append(p.idle, c)
}

func (p *pool) releaseSlot() {
	<-p.slots
}

// close closes the idle connections. Connections in use are closed by put.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.discard()
	}
	p.idle = nil
}

// isOpenAndEmpty reports whether an idle connection is still open and has no unread
// data. Such data would belong to no request.
func isOpenAndEmpty(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}
