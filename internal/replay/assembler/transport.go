package assembler

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/dialer"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/responder"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/tracer"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/initiator"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// transport makes calls from one node to others as function calls.
type transport struct {
	from *node
}

var _ caller.Transport = transport{}

// Call implements caller.Transport.
func (t transport) Call(ctx context.Context, member *encoder.Member, call *caller.Call) (*caller.Answer, error) {
	f := t.from.fleet
	f.mu.Lock()
	to := f.byID[member.GetId()]
	var thawed chan struct{}
	if to != nil {
		thawed = to.thawed
	}
	f.mu.Unlock()
	latency := f.latency(t.from, to)
	if !responder.Sleep(ctx, latency) {
		return nil, ctx.Err()
	}
	if to == nil || to.alive.Err() != nil {
		return nil, caller.MarkNotSent(errors.New("connection refused"))
	}
	if thawed != nil {
		// A real node probes a session on which calls wait and nothing arrives, and
		// closes it if the probe is not answered.
		if err := waitForThaw(ctx, thawed); err != nil {
			return nil, err
		}
	}
	answer, err := to.execute(ctx, *call)
	if err != nil {
		return nil, err
	}
	if !responder.Sleep(ctx, latency) {
		answer.Close()
		return nil, ctx.Err()
	}
	return answer, nil
}

// waitForThaw waits until a frozen node is unfrozen. It returns an error after the
// time in which a real session would have been closed, or when ctx ends.
func waitForThaw(ctx context.Context, thawed chan struct{}) error {
	timer := time.NewTimer(2 * dialer.DefaultReadIdleTimeout)
	defer timer.Stop()
	select {
	case <-thawed:
		return nil
	case <-timer.C:
		return errors.New("session closed after an unanswered probe")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// execute runs a call at the node. It returns an error if the node dies, as a
// broken connection would.
func (n *node) execute(ctx context.Context, call caller.Call) (*caller.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(n.alive, cancel)
	answer := n.executor.Execute(ctx, &call)
	stop()
	if n.alive.Err() != nil {
		answer.Close()
		cancel()
		return nil, errors.New("connection reset")
	}
	if answer.Body == nil {
		cancel()
		return answer, nil
	}
	answer.Body = &cancelingBody{
		ReadCloser: answer.Body,
		cancel:     cancel,
	}
	return answer, nil
}

// cancelingBody is a body that cancels the context of its call when it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancelingBody) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}

// latency returns the one-way delay between two nodes. An unknown node, nil, is
// treated as one in another region.
func (f *Fleet) latency(from, to *node) time.Duration {
	switch {
	case to == nil || from.placement.region != to.placement.region:
		return f.trace.Latency.CrossRegion
	case from.placement.zone != to.placement.zone:
		return f.trace.Latency.CrossZone
	default:
		return 0
	}
}

// backend runs calls at the simulated backend server of a node.
type backend struct {
	node *node
}

var _ caller.Backend = backend{}

// Do implements caller.Backend.
func (b backend) Do(ctx context.Context, call *caller.Call) (*caller.Answer, error) {
	n := b.node
	if n.alive.Err() != nil {
		return nil, caller.MarkNotSent(errors.New("connection refused"))
	}
	// The run ends when its instance is killed, even if the caller still waits.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(n.alive, cancel)
	defer stop()
	response := n.server.Serve(ctx, responder.Request{
		RequestID: call.RequestID,
		Method:    call.Method,
		Path:      call.Path,
	}, func(ctx context.Context, downstream tracer.Call) int {
		return n.downstream(ctx, call.CallID, downstream)
	})
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return &caller.Answer{
		Status: response.Status,
		Body:   io.NopCloser(bytes.NewReader(response.Body)),
	}, nil
}

// downstream makes a call for the local backend server.
func (n *node) downstream(ctx context.Context, parentID string, downstream tracer.Call) int {
	call, err := initiator.New(n.fleet.settings, n.inbound, initiator.Params{
		Service:  downstream.Service,
		Method:   downstream.Method,
		Path:     downstream.Path,
		URI:      downstream.Path,
		ParentID: parentID,
	}, time.Now())
	if err != nil {
		return 400
	}
	return n.dispatch(ctx, call).Status
}
