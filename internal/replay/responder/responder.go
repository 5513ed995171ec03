// Package responder simulates backend servers. A simulated server has a limited
// number of slots, a queue, service times and cold starts, and makes the
// downstream calls that the trace's routes list. The command line calls it a
// stand-in.
//
// # Usage
//
//	server := responder.New(service, runCounter, seed)
//	response := server.Serve(ctx, responder.Request{...}, downstream)
package responder

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/tracer"
)

// After a cold start, the factor on service times falls linearly from coldFactor
// to 1 over coldTime.
const (
	coldFactor = 4
	coldTime   = 5 * time.Second
)

// workJitter is the largest relative deviation of a service time from its mean.
const workJitter = 0.2

// Request is one request to a simulated server.
type Request struct {
	RequestID string
	Method    string
	Path      string
}

// Response is the answer to a Request.
type Response struct {
	Status int
	Body   []byte
}

// CallFunc makes one downstream call and returns the status of the answer.
type CallFunc func(ctx context.Context, call tracer.Call) int

// Server is one simulated backend server. Its methods are safe for concurrent
// use.
type Server struct {
	service    tracer.Service
	runCounter *RunCounter

	mu  sync.Mutex
	rng *rand.Rand
	// factor is set by faults and applies to all service times.
	factor    float64
	coldSince time.Time
	// cold is false until the first simulated cold start.
	cold bool
	// busy is the number of occupied slots.
	busy int
	// queue holds one channel for each waiting request, the oldest first. Closing
	// a channel hands a slot to its request.
	queue []chan struct{}
}

// New returns a server that is not in a cold start. seed determines the jitter of
// its service times.
func New(service tracer.Service, runCounter *RunCounter, seed uint64) *Server {
	return &Server{
		service:    service,
		runCounter: runCounter,
		rng:        rand.New(rand.NewPCG(seed, seed+1)),
		factor:     1,
	}
}

// SetWorkFactor sets the factor on the service times of all requests that start
// to run from now on.
func (s *Server) SetWorkFactor(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.factor = factor
}

// SimulateColdStart makes the server slow, as after a start at the given time.
// Requests that run already are not affected.
func (s *Server) SimulateColdStart(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = true
	s.coldSince = now
}

// Serve runs one request: it waits for a slot, spends the service time, and makes
// the downstream calls while it holds the slot.
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
	s.runCounter.RecordRun(s.service.Name, route.Name, request.RequestID, !route.Idempotent)
	if !Sleep(ctx, s.workTime(route)) {
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

// acquire waits for a slot. It returns 0 when it holds one, 503 when all
// connections are in use, or 504 when ctx ends first.
func (s *Server) acquire(ctx context.Context) int {
	s.mu.Lock()
	if s.busy < s.service.Slots {
		s.busy++
		s.mu.Unlock()
		return 0
	}
	if s.busy+len(s.queue) >= s.service.Connections {
		s.mu.Unlock()
		return 503
	}
	granted := make(chan struct{})
	s.queue = append(s.queue, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return 0
	case <-ctx.Done():
		s.abandonWait(granted)
		return 504
	}
}

// abandonWait removes a request from the queue. If the request was given a slot
// in the meantime, abandonWait releases the slot.
func (s *Server) abandonWait(granted chan struct{}) {
	s.mu.Lock()
	for i := range s.queue {
		if s.queue[i] == granted {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	s.release()
}

// release hands the slot to the oldest waiting request, or frees it.
func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		s.busy--
		return
	}
	close(s.queue[0])
	s.queue = s.queue[1:]
}

// workTime returns the service time of a request, without its downstream calls.
func (s *Server) workTime(route *tracer.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := s.factor * (1 + workJitter*(2*s.rng.Float64()-1))
	if age := time.Since(s.coldSince); s.cold && age < coldTime {
		factor *= 1 + (coldFactor-1)*float64(coldTime-age)/float64(coldTime)
	}
	return time.Duration(float64(route.Work) * factor)
}

// callAll makes the downstream calls of a route. It returns 200 if all succeeded,
// and otherwise the status with which the server answers.
func callAll(ctx context.Context, route *tracer.Route, downstream CallFunc) int {
	if route.Parallel {
		return callParallel(ctx, route, downstream)
	}
	for _, call := range route.Calls {
		if status := downstream(ctx, call); status != 200 {
			return failedCallStatus(status)
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
			return failedCallStatus(status)
		}
	}
	return 200
}

// failedCallStatus returns the status with which a server answers when one of its
// downstream calls failed with the given status.
func failedCallStatus(status int) int {
	if status == 503 {
		return 503
	}
	return 502
}

// Body returns an answer body that starts with the request ID. A client can
// therefore detect truncated answers and answers to other requests.
func Body(requestID string, size int) []byte {
	body := make([]byte, max(size, len(requestID)+1))
	n := copy(body, requestID)
	body[n] = '\n'
	for i := n + 1; i < len(body); i++ {
		body[i] = byte('a' + i%26)
	}
	return body
}

// Sleep waits for d and reports whether it elapsed before ctx ended.
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
