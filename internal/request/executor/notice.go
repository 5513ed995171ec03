package executor

import (
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

const (
	// rateLimitHold is how long a rate limit stays after the last answer that named it,
	// when answers without one arrive. Answers may overtake each other.
	rateLimitHold = 500 * time.Millisecond
	// minRateLimit stands for limits that leave no calls at all, in calls per second. The
	// admitter starts a few calls nevertheless.
	minRateLimit = 0.01
)

// NoticeChange is a change in what the backend server says of itself.
type NoticeChange struct {
	// RequestID is that of the answer, or of the call that told of the rate limit.
	RequestID string
	Instance  string
	// RateLimit is the number of calls per second that the backend server takes, or 0 if
	// there is no limit any more.
	RateLimit float64
	// Leaving reports that the backend server takes no new calls any more.
	Leaving bool
	// Source is "answer", or "caller" if the node of a caller knew the limit.
	Source string
}

// rateLimit is the rate limit of the backend server.
type rateLimit struct {
	// perSecond is the number of calls per second, or 0 without a limit. named is the
	// time at which the backend server last named it.
	perSecond float64
	named     time.Time
	// answered reports whether the backend server has answered this node. Until then, the
	// nodes of the callers know more than this node.
	answered bool
}

// observeNotice applies what a start of the backend server says of itself in an answer to the
// call.
func (e *Executor) observeNotice(call *caller.Call, start int, notice caller.Notice) {
	now := time.Now()
	if notice.Leaving {
		e.observeLeaving(call, start)
	}
	e.mu.Lock()
	if start != e.starts || call.Instance != e.instance {
		e.mu.Unlock()
		return
	}
	before := e.rate.perSecond
	e.rate.answered = true
	switch {
	case notice.HasRateLimit:
		e.setRateLimit(now, max(notice.RateLimit, minRateLimit))
	case notice.RateLimitInvalid || before == 0 || now.Sub(e.rate.named) <= rateLimitHold:
	default:
		e.setRateLimit(now, 0)
	}
	after := e.rate.perSecond
	e.mu.Unlock()
	e.reportRateLimit(call, before, after, "answer")
}

// observeLeaving applies an answer to the call that says that the backend server leaves. The
// callers' nodes learn it with the load report, also if the backend server is not in force
// any more because it has deregistered. An answer may arrive after the next start has
// registered, which it says nothing about.
func (e *Executor) observeLeaving(call *caller.Call, start int) {
	e.mu.Lock()
	if start != e.starts || e.backendLeaving {
		e.mu.Unlock()
		return
	}
	e.setInstance("")
	e.backendLeaving = true
	perSecond := e.rate.perSecond
	e.mu.Unlock()
	if e.config.OnNotice != nil {
		e.config.OnNotice(NoticeChange{
			RequestID: call.RequestID,
			Instance:  call.Instance,
			RateLimit: perSecond,
			Leaving:   true,
			Source:    "answer",
		})
	}
}

// adoptRateLimit applies the rate limit that the caller's node knows of, until the backend
// server has answered this node. After a restart, the backend server may still name a limit.
func (e *Executor) adoptRateLimit(call *caller.Call) {
	e.mu.Lock()
	adopt := call.RateLimit > 0 && call.Instance != "" && call.Instance == e.instance && !e.rate.answered && e.rate.perSecond == 0
	if adopt {
		e.setRateLimit(time.Now(), call.RateLimit)
	}
	e.mu.Unlock()
	if adopt {
		e.reportRateLimit(call, 0, call.RateLimit, "caller")
	}
}

// setRateLimit stores the rate limit and passes a change to the admitter. The caller holds
// e.mu.
func (e *Executor) setRateLimit(now time.Time, perSecond float64) {
	changed := perSecond != e.rate.perSecond
	e.rate.perSecond = perSecond
	e.rate.named = now
	if changed {
		e.admitter.SetRateLimit(now, perSecond)
	}
}

// rateLimitAge returns the rate limit and the time since the backend server last named it.
func (e *Executor) rateLimitAge() (perSecond float64, age time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rate.perSecond == 0 {
		return 0, 0
	}
	return e.rate.perSecond, time.Since(e.rate.named)
}

func (e *Executor) reportRateLimit(call *caller.Call, before, after float64, source string) {
	if before == after || e.config.OnNotice == nil {
		return
	}
	e.config.OnNotice(NoticeChange{
		RequestID: call.RequestID,
		Instance:  call.Instance,
		RateLimit: after,
		Source:    source,
	})
}
