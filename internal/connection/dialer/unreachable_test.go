package dialer_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/dialer"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Calls to a node whose machine does not answer must learn it when the connection attempt fails
// that they wait for, and end with their own time. If each made an attempt of its own, in turn, the
// last ones would wait for their whole time instead of going to another target.
func TestCallsToUnreachableNodeDoNotWaitInTurn(t *testing.T) {
	const (
		dialTime  = time.Second
		shortTime = 100 * time.Millisecond
		longTime  = 5 * time.Second
		tolerance = 800 * time.Millisecond
	)
	d := dialer.New(dialer.Config{
		Dial: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
			select {
			case <-time.After(dialTime):
				return nil, errors.New("no route to host")
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	})
	defer d.Close()
	member := &encoder.Member{
		PeerAddress: "127.0.0.1:1",
	}
	var group sync.WaitGroup
	for i := range 20 {
		callTime := []time.Duration{longTime, shortTime}[i%2]
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), callTime)
			defer cancel()
			started := time.Now()
			_, err := d.Call(ctx, member, &caller.Call{})
			if !errors.Is(err, caller.ErrNotSent) {
				t.Errorf("got %v, want an error marked ErrNotSent", err)
			}
			if got, want := time.Since(started), min(dialTime, callTime); got > want+tolerance {
				t.Errorf("call with %s: got its error after %s, want %s", callTime, got, want)
			}
		})
	}
	group.Wait()
}
