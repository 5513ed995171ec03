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

	"github.com/laburnumshelf/laburnumshelf/internal/process/administrator"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/logclient"
	"github.com/laburnumshelf/laburnumshelf/platform"
)

// requestTimeout bounds each request that a command sends to a node.
const requestTimeout = 10 * time.Second

// errUnreachable marks the error of a request that got no response from a node.
// Commands that fail with it exit with ExitUnavailable.
var errUnreachable = errors.New("node is not reachable; check its admin address")

// logOptions holds the flags of commands that use the platform's log.
type logOptions struct {
	Log string `long:"log" value-name:"URL" required:"true" env:"SHELF_LOG" description:"Base URL of the platform's log"`
}

func (o logOptions) client() logclient.Log {
	return platform.NewStore(o.Log)
}

// nodeOptions holds the flags of commands that query a node.
type nodeOptions struct {
	Node string `long:"node" value-name:"IP:PORT" required:"true" env:"SHELF_NODE" description:"Admin address of any node"`
}

// signalContext returns a context that is canceled on SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// getJSON sends a GET request to a node and decodes the JSON response.
func getJSON(ctx context.Context, address, path string, into any) error {
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
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), "decode the node's answer")
}

// maxParallel is the maximum number of nodes queried at the same time.
const maxParallel = 32

// queryMembers queries path on every member that the node at address knows. It
// returns the responses, and the members whose query failed. It returns an error
// only if the node at address cannot list its members.
func queryMembers[T any](ctx context.Context, address, path string) ([]T, []administrator.Member, error) {
	var members []administrator.Member
	if err := getJSON(ctx, address, "/members", &members); err != nil {
		return nil, nil, err
	}
	answers := make([]T, len(members))
	failed := make([]bool, len(members))
	semaphore := make(chan struct{}, maxParallel)
	var group sync.WaitGroup
	for i, member := range members {
		semaphore <- struct{}{}
		group.Go(func() {
			failed[i] = getJSON(ctx, member.AdminAddress, path, &answers[i]) != nil
			<-semaphore
		})
	}
	group.Wait()
	var reached []T
	var unreachable []administrator.Member
	for i := range members {
		if failed[i] {
			unreachable = append(unreachable, members[i])
		} else {
			reached = append(reached, answers[i])
		}
	}
	return reached, unreachable, nil
}
