package dialer

import (
	"context"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Executor runs calls at the local backend server.
type Executor interface {
	Execute(ctx context.Context, call *caller.Call) *caller.Answer
}

// Local is a caller.Transport. It runs calls to its own node directly, and sends all
// others over sessions.
type Local struct {
	// ID is the member ID of this node.
	ID       string
	Executor func() Executor
	Remote   *Dialer
}

var _ caller.Transport = (*Local)(nil)

// Call implements caller.Transport.
func (l *Local) Call(ctx context.Context, member *encoder.Member, call *caller.Call) (*caller.Answer, error) {
	if member.GetId() != l.ID {
		return l.Remote.Call(ctx, member, call)
	}
	answer := l.Executor().Execute(ctx, call)
	if answer.Body == nil && ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return answer, nil
}
