// Package responder is a stand-in for backend servers: limited slots, a queue,
// service times, cold starts, and downstream calls as the trace's routes say.
//
// # Usage
//
//	server := responder.New(service, ledger, time.Now())
//	response := server.Serve(ctx, responder.Request{...}, downstream)
package responder

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/tracer"
)

// Cold start: the work of a fresh server falls from coldFactor to 1 over
// coldTime.
const (
	coldFactor = 4
	coldTime   = 5 * time.Second
)

// workJitter is the largest deviation of one service time from its mean.
const workJitter = 0.2

// Request is one request to a stand-in.
type Request struct {
	RequestID string
	Method    string
	Path      string
}

// Response is its answer.
type Response struct {
	Status int
	Body   []byte
}

// CallFunc makes the calls that a route needs and reports the status.
type CallFunc func(ctx context.Context, call tracer.Call) int

// Server is one stand-in backend server.
type Server struct {
	service tracer.Service
	ledger  *RunCounter

	mu      sync.Mutex
	rng     *rand.Rand
	factor  float64
	started time.Time
	cold    bool
	busy    int
	waiting []chan struct{}
}

// New returns a warm server.
func New(service tracer.Service, ledger *RunCounter, seed uint64) *Server {
	return &Server{
		service: service,
		ledger:  ledger,
		rng:     rand.New(rand.NewPCG(seed, seed+1)),
		factor:  1,
	}
}

// SetWorkFactor multiplies the work of all requests from now on.
func (s *Server) SetWorkFactor(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.factor = factor
}

// SimulateColdStart makes the server cold.
func (s *Server) SimulateColdStart(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = true
	s.started = now
}

// Serve runs one request.
func (s *Server) Serve(ctx context.Context, request Request, downstream CallFunc) Response {
	route := s.route(request)
	if route == nil {
		return Response{
			Status: 404,
		}
	}
	if status := s.acquire(ctx); status != 0 {
		return Response{
			Status: status,
		}
	}
	defer s.release()
	s.ledger.RecordRun(s.service.Name, route.Name, request.RequestID, !route.Idempotent)
	if !Sleep(ctx, s.work(route)) {
		return Response{
			Status: 504,
		}
	}
	if status := callAll(ctx, route, downstream); status != 200 {
		return Response{
			Status: status,
		}
	}
	return Response{
		Status: 200,
		Body:   Body(request.RequestID, route.AnswerBytes),
	}
}

func (s *Server) route(request Request) *tracer.Route {
	for i := range s.service.Routes {
		route := &s.service.Routes[i]
		if route.Matches(request.Method, request.Path) {
			return route
		}
	}
	return nil
}

// acquire waits for a slot; a full server refuses.
func (s *Server) acquire(ctx context.Context) int {
	s.mu.Lock()
	if s.busy < s.service.Slots {
		s.busy++
		s.mu.Unlock()
		return 0
	}
	if s.busy+len(s.waiting) >= s.service.Connections {
		s.mu.Unlock()
		return 503
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	select {
	case <-turn:
		return 0
	case <-ctx.Done():
		s.leave(turn)
		return 504
	}
}

// leave gives up a place in the queue, or the slot it turned into.
func (s *Server) leave(turn chan struct{}) {
	s.mu.Lock()
	for i := range s.waiting {
		if s.waiting[i] == turn {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	s.release()
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.busy--
		return
	}
	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}

// work returns the time that the server itself spends on a request.
func (s *Server) work(route *tracer.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := s.factor * (1 + workJitter*(2*s.rng.Float64()-1))
	if age := time.Since(s.started); s.cold && age < coldTime {
		factor *= 1 + (coldFactor-1)*float64(coldTime-age)/float64(coldTime)
	}
	return time.Duration(float64(route.Work) * factor)
}

// callAll makes the route's calls and returns 200, or the status to answer.
func callAll(ctx context.Context, route *tracer.Route, downstream CallFunc) int {
	if route.Parallel {
		return callParallel(ctx, route, downstream)
	}
	for _, call := range route.Calls {
		if status := downstream(ctx, call); status != 200 {
			return upstreamStatus(status)
		}
	}
	return 200
}

func callParallel(ctx context.Context, route *tracer.Route, downstream CallFunc) int {
	statuses := make([]int, len(route.Calls))
	var group sync.WaitGroup
	for i, call := range route.Calls {
		group.Go(func() {
			statuses[i] = downstream(ctx, call)
		})
	}
	group.Wait()
	for _, status := range statuses {
		if status != 200 {
			return upstreamStatus(status)
		}
	}
	return 200
}

// upstreamStatus is what a server answers when a call it needs failed.
func upstreamStatus(status int) int {
	if status == 503 {
		return 503
	}
	return 502
}

// Body returns an answer body that names its request, so that a client can tell
// whole answers to its own request from others.
func Body(requestID string, size int) []byte {
	body := make([]byte, max(size, len(requestID)+1))
	n := copy(body, requestID)
	body[n] = '\n'
	for i := n + 1; i < len(body); i++ {
		body[i] = byte('a' + i%26)
	}
	return body
}

// Sleep waits and reports whether the time passed before ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
