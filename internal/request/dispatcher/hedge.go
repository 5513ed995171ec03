package dispatcher

import (
	"bytes"
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/router"
)

// Hedging parameters.
const (
	// An attempt is overdue, and a second one is made beside it, after hedgeDelayFactor times
	// the typical latency of its route, but at least after minHedgeDelay.
	hedgeDelayFactor = 5
	minHedgeDelay    = 80 * time.Millisecond
	// maxKeptFailureBytes is how much of the body of a failure is read before the other attempt
	// ends.
	maxKeptFailureBytes = 64 << 10
)

// errSuperseded is the cancellation cause of an attempt whose call was served by another one.
var errSuperseded = errors.New("the call was served by another attempt")

// hedge is an attempt that another one may be made beside. Neither is canceled before the other one
// is served, because an attempt without an answer may still get one until the deadline.
type hedge struct {
	// first is the call. It does not change before the first attempt ends.
	first  *outboundCall
	target *router.Target
	delay  time.Duration
	// ctx is the context of the call. cancelFirst cancels the first attempt.
	ctx         context.Context
	cancelFirst context.CancelCauseFunc
	// notice tells the transport when the first attempt is overdue.
	notice caller.Overdue

	// mu guards the fields below. No other lock is taken while it is held.
	mu    sync.Mutex
	timer *time.Timer
	// overdue reports whether the delay has passed.
	overdue bool
	// denied says why there is no second attempt yet.
	denied recorder.NoAttempt
	// firstEnded reports whether the first attempt has ended, and firstServed whether it was served
	// before second. At most one of firstServed and secondServed is set.
	firstEnded  bool
	firstServed bool
	// second makes the attempts beside the first one, or is nil. answer receives its answer, unless
	// the first attempt was served. secondServed reports whether second was served before that.
	second       *outboundCall
	cancelSecond context.CancelCauseFunc
	answer       chan *caller.Answer
	secondServed bool
}

// hedgeDelay returns the time after which another attempt is made beside one at target, or 0 for
// none. There is none
//   - if the call may not be repeated, or its body has not arrived,
//   - if the route is not known to be internal, or has no typical latency yet,
//   - if the target's backend server may make calls, because a repeat would repeat
//     those too,
//   - if the target is full, because the attempt may only be waiting for a slot.
//
// The caller must hold o.d.mu.
func (o *outboundCall) hedgeDelay(now time.Time, target *router.Target) time.Duration {
	if !o.repeatable() || !o.call.Idempotent || o.call.Token != nil || o.call.Body.Size() < 0 || !o.d.internalRoutes[o.call.Route] {
		return 0
	}
	load := target.RecentLoad(now)
	if !load.IsLeaf || load.Utilization() >= 1 {
		return 0
	}
	typicalLatency := o.d.router.TypicalLatency(o.call.Service, o.call.Route)
	if typicalLatency == 0 {
		return 0
	}
	return max(hedgeDelayFactor*typicalLatency, minHedgeDelay)
}

// attemptHedged makes an attempt, and others beside it if it takes longer than the delay and the
// budget of repeats permits it. It returns the answer of the one that is served, or else of the
// first one, after all have ended.
func (o *outboundCall) attemptHedged(ctx context.Context, target *router.Target, call *caller.Call, delay time.Duration) *caller.Answer {
	firstCtx, cancelFirst := context.WithCancelCause(ctx)
	h := &hedge{
		first:       o,
		target:      target,
		delay:       delay,
		ctx:         ctx,
		cancelFirst: cancelFirst,
	}
	call.Overdue = &h.notice
	h.start()
	started := time.Now()
	answer, err := o.d.send(firstCtx, target, o.member, call, h)
	second, served := h.endFirst(err == nil && isServed(answer))
	first := o.finishAttempt(firstCtx, call, started, answer, err)
	if second == nil {
		return first
	}
	// The permit for a repeat is spent.
	o.repeated = true
	if served {
		return first
	}
	keepBody(first)
	secondAnswer := <-h.answer
	o.adopt(second, secondAnswer.Outcome)
	if isServed(secondAnswer) || first.Outcome != caller.Answered && secondAnswer.Outcome == caller.Answered {
		first.Close()
		o.member, o.end.Cause, o.end.Detail = second.member, second.end.Cause, second.end.Detail
		return secondAnswer
	}
	secondAnswer.Close()
	return first
}

// isServed reports whether the answer is that of a backend server that served the call.
func isServed(answer *caller.Answer) bool {
	return answer.Outcome == caller.Answered && answer.Status < 500
}

// keepBody reads the beginning of the body of a failure that waits for the other attempt. Otherwise
// the body could not be read any more if both attempts last until the deadline.
func keepBody(answer *caller.Answer) {
	if answer.Body == nil {
		return
	}
	kept, err := io.ReadAll(io.LimitReader(answer.Body, maxKeptFailureBytes))
	var reader io.Reader = bytes.NewReader(kept)
	if err != nil || len(kept) == maxKeptFailureBytes {
		reader = io.MultiReader(reader, answer.Body)
	}
	answer.Body = &keptBody{
		Reader: reader,
		Closer: answer.Body,
	}
}

// keptBody is a body whose beginning was already read.
type keptBody struct {
	io.Reader
	io.Closer
}

// adopt takes over what the attempts of second showed. outcome is that of its last one.
func (o *outboundCall) adopt(second *outboundCall, outcome caller.Outcome) {
	o.tried = second.tried
	o.attemptCount = max(o.attemptCount, second.attemptCount)
	o.mayHaveRun = o.mayHaveRun || second.mayHaveRun || outcome != caller.NotRun
	o.reachedBackend = o.reachedBackend || second.reachedBackend
	o.pathThreshold = max(o.pathThreshold, second.pathThreshold)
	o.end.Unanswered += second.end.Unanswered
}

// start starts the delay.
func (h *hedge) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(h.delay, h.onDelay)
}

// isOverdue reports whether the delay has passed. It is false for a nil hedge.
func (h *hedge) isOverdue() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.overdue
}

// limitLatency returns the latency of the first attempt as the router should see it: at most the
// delay, so that one late answer does not make its target look slow, but many do. For a nil hedge it
// returns latency.
func (h *hedge) limitLatency(latency time.Duration) time.Duration {
	if h == nil {
		return latency
	}
	return min(latency, h.delay)
}

// endFirst records the end of the first attempt, and whether a backend server served it. It returns
// the second call if there is one, and whether the first attempt was served before that. If so, it
// cancels the second call, whose answer is then dropped.
func (h *hedge) endFirst(served bool) (*outboundCall, bool) {
	h.mu.Lock()
	h.timer.Stop()
	h.firstEnded, h.firstServed = true, served && !h.secondServed
	h.first.end.NoHedge = h.denied
	second, cancelSecond, servedFirst := h.second, h.cancelSecond, h.firstServed
	h.mu.Unlock()
	if second != nil && servedFirst {
		cancelSecond(errSuperseded)
	}
	return second, servedFirst
}

// endSecond hands over the answer of the second call, or drops it if the first attempt was served
// before. If second was served, it cancels the first attempt.
func (h *hedge) endSecond(answer *caller.Answer) {
	if !isServed(answer) {
		keepBody(answer)
	}
	h.mu.Lock()
	dropped := h.firstServed
	served := !dropped && isServed(answer)
	h.secondServed = served
	h.mu.Unlock()
	if dropped {
		answer.Close()
		return
	}
	if served {
		h.cancelFirst(errSuperseded)
	}
	h.answer <- answer
}

// onDelay makes the second attempt, or tries again after the delay if it is not permitted now.
func (h *hedge) onDelay() {
	second, newlyOverdue := h.copyFirst()
	if second == nil {
		return
	}
	d := second.d
	if newlyOverdue {
		h.notice.Notify()
		d.mu.Lock()
		d.router.RecordOverdue(time.Now(), h.target)
		d.mu.Unlock()
	}
	if !second.permitHedge() {
		h.deny(second.end.NoAttempt)
		return
	}
	ctx, cancel := context.WithCancelCause(h.ctx)
	if !h.launch(second, cancel) {
		cancel(nil)
		second.pool.Return(1)
		return
	}
	d.record(second.call, recorder.Retry, caller.ReasonOverdue, caller.Answered, "", 0)
	h.endSecond(second.repeatUntilDone(ctx))
}

// copyFirst returns the call for the attempts beside the first one, or nil if that has ended. It
// reports whether the delay has passed for the first time.
func (h *hedge) copyFirst() (second *outboundCall, newlyOverdue bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstEnded {
		return nil, false
	}
	newlyOverdue = !h.overdue
	h.overdue = true
	copied := *h.first
	copied.tried = slices.Clone(copied.tried)
	copied.attemptCount++
	copied.end = recorder.End{}
	return &copied, newlyOverdue
}

// permitHedge reports whether another attempt may be made while one is open, and spends what it
// costs. The repeat comes last, because the budget takes none back. That the target's backend server
// makes no calls was known when the attempt started; a silent target's load report expires.
func (o *outboundCall) permitHedge() bool {
	if o.lacksTime() {
		o.noAttempt(recorder.NoTimeLeft)
		return false
	}
	if !o.pool.Spend() {
		o.noAttempt(recorder.NoAllowanceLeft)
		return false
	}
	if o.withdrawRepeat() {
		return true
	}
	o.pool.Return(1)
	return false
}

// deny notes why there is no second attempt, and starts the delay again.
func (h *hedge) deny(why recorder.NoAttempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.denied = why
	if !h.firstEnded {
		h.timer.Reset(h.delay)
	}
}

// launch makes second known to the first attempt. It reports false if that has ended.
func (h *hedge) launch(second *outboundCall, cancel context.CancelCauseFunc) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstEnded {
		return false
	}
	h.second, h.cancelSecond = second, cancel
	h.denied = ""
	h.answer = make(chan *caller.Answer, 1)
	return true
}
