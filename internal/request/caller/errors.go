package caller

import "github.com/cockroachdb/errors"

// ErrNotSent marks a failure before any byte of the call was sent.
var ErrNotSent = errors.New("call was not sent")

// MarkNotSent marks err as a failure before any byte of the call was sent.
func MarkNotSent(err error) error {
	return errors.Mark(err, ErrNotSent)
}

// ErrRequestBody marks a failure to read the caller's request body.
var ErrRequestBody = errors.New("could not read the request body")

// ErrStopping marks a failure because this node closed its sessions to stop.
var ErrStopping = errors.New("node is stopping")

// ErrLeaving is the error of a call that was not sent because the backend server takes no new calls.
var ErrLeaving = errors.New("the backend server takes no new calls")
