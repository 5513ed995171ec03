package player

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/labeler"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/responder"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/tracer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

var backendCommand = command{
	name:  "backend",
	short: "Run a stand-in backend server of a trace's service",
	options: func(env *environment) flags.Commander {
		return &backendRun{
			env: env,
		}
	},
}

type backendRun struct {
	env     *environment
	Listen  string `long:"listen" value-name:"IP:PORT" required:"true" description:"Address to serve"`
	Trace   string `long:"trace" value-name:"FILE" required:"true" description:"Trace that describes the service"`
	Service string `long:"service" value-name:"TEAM/NAME" required:"true" description:"Service to stand in for"`
	Node    string `long:"node" value-name:"IP:PORT" required:"true" description:"Call address of the node beside it"`
}

// Execute implements flags.Commander.
func (b *backendRun) Execute([]string) error {
	trace, err := tracer.ReadFile(b.Trace)
	if err != nil {
		return err
	}
	name, err := describer.ParseServiceName(b.Service)
	if err != nil {
		return err
	}
	service := trace.Service(name)
	if service == nil {
		return errors.Newf("trace %s has no service %s", b.Trace, name)
	}
	fmt.Fprintf(b.env.stderr, "stand-in for %s serves %s\n", name, b.Listen)
	return http.ListenAndServe(b.Listen, NewBackend(*service, responder.NewLedger(), b.Node))
}

// NewBackend returns the HTTP handler of a stand-in backend server whose
// downstream calls go through the node at nodeAddress.
func NewBackend(service tracer.Service, ledger *responder.Ledger, nodeAddress string) http.Handler {
	server := responder.New(service, ledger, 1)
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: service.Slots,
		},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		parent := r.Header.Get(labeler.Parent)
		response := server.Serve(r.Context(), responder.Request{
			RequestID: r.Header.Get(labeler.RequestID),
			Method:    r.Method,
			Path:      r.URL.Path,
		}, func(ctx context.Context, call tracer.Call) int {
			return callDownstream(ctx, client, nodeAddress, parent, call)
		})
		w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
		w.WriteHeader(response.Status)
		w.Write(response.Body)
	})
}

// callDownstream makes a call through the local node and returns its status.
func callDownstream(ctx context.Context, client *http.Client, node, parent string, call tracer.Call) int {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+node+call.Path, nil)
	if err != nil {
		return http.StatusBadRequest
	}
	req.Header.Set(labeler.Service, call.Service.String())
	req.Header.Set(labeler.Parent, parent)
	resp, err := client.Do(req)
	if err != nil {
		return http.StatusBadGateway
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return http.StatusBadGateway
	}
	return resp.StatusCode
}
