package forwarder

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// bufferBytes is the size of a connection's buffers.
const bufferBytes = 4 << 10

// pool holds the idle connections to the backend server, which are costly for it
// to accept, and bounds all of them.
type pool struct {
	config Config
	// open holds a token for each connection, idle or in use.
	open    chan struct{}
	writers sync.Pool

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

func newPool(config Config) *pool {
	return &pool{
		config: config,
		open:   make(chan struct{}, config.MaxConnections),
		writers: sync.Pool{
			New: func() any {
				return bufio.NewWriterSize(nil, bufferBytes)
			},
		},
	}
}

// take returns an idle connection or a new one.
func (p *pool) take(ctx context.Context) (*conn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			break
		}
		if quiet(c.Conn) {
			return c, nil
		}
		c.discard()
	}
	select {
	case p.open <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for a connection")
	}
	opened, err := p.config.Dial(ctx, "tcp", p.config.Address.String())
	if err != nil {
		p.release()
		return nil, err
	}
	return &conn{
		Conn:   opened,
		pool:   p,
		reader: bufio.NewReaderSize(opened, bufferBytes),
	}, nil
}

// popIdle removes the connection used last and closes those kept too long.
func (p *pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.idle) > 0 && !now.Before(p.idle[0].usable) {
		p.idle[0].discard()
		p.idle = p.idle[1:]
	}
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.discard()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *pool) release() {
	<-p.open
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.discard()
	}
	p.idle = nil
}

// quiet reports whether an idle connection is still open and nothing came on it;
// bytes that nobody asked for belong to no request.
func quiet(c net.Conn) bool {
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
