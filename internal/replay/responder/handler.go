package responder

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/labeler"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/tracer"
)

// NewHandler returns an HTTP handler for a simulated backend server. The server
// makes its downstream calls through the node at nodeAddress.
func NewHandler(server *Server, slots int, nodeAddress string) http.Handler {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: slots,
		},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		parent := r.Header.Get(labeler.Parent)
		response := server.Serve(r.Context(), Request{
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

// callDownstream makes a call through the local node and returns the status of
// the answer.
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
