package commander

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/platform/logclient"
	"github.com/laburnumshelf/laburnumshelf/internal/process/administrator"
	"github.com/laburnumshelf/laburnumshelf/platform"
)

// requestTimeout bounds one request of an operator's command.
const requestTimeout = 10 * time.Second

// errUnreachable marks a node that did not answer.
var errUnreachable = errors.New("node is not reachable; check its admin address")

// logOptions are the flags of commands that use the platform's log.
type logOptions struct {
	Log string `long:"log" value-name:"URL" required:"true" env:"SHELF_LOG" description:"Base URL of the platform's log"`
}

func (o logOptions) client() logclient.Log {
	return platform.NewStore(o.Log)
}

// nodeOptions are the flags of commands that ask a node.
type nodeOptions struct {
	Node string `long:"node" value-name:"IP:PORT" required:"true" env:"SHELF_NODE" description:"Admin address of any node"`
}

// interruptible returns a context that ends on an interrupt.
func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// get reads one JSON answer of a node.
func get(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrapf(err, "address %q", address)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Mark(err, errUnreachable)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("node %s answered %s", address, resp.Status)
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), "decode node's answer")
}

// maxParallel bounds the nodes asked at once.
const maxParallel = 32

// askAll asks every member known to the node at address, and reports those that
// did not answer.
func askAll[T any](ctx context.Context, address, path string) ([]T, []administrator.Member, error) {
	var members []administrator.Member
	if err := get(ctx, address, "/members", &members); err != nil {
		return nil, nil, err
	}
	answers := make([]T, len(members))
	failed := make([]bool, len(members))
	slots := make(chan struct{}, maxParallel)
	var group sync.WaitGroup
	for i, member := range members {
		slots <- struct{}{}
		group.Go(func() {
			failed[i] = get(ctx, member.AdminAddress, path, &answers[i]) != nil
			<-slots
		})
	}
	group.Wait()
	var reached []T
	var silent []administrator.Member
	for i := range members {
		if failed[i] {
			silent = append(silent, members[i])
		} else {
			reached = append(reached, answers[i])
		}
	}
	return reached, silent, nil
}
