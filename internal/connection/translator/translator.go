// Package translator converts calls and answers to and from their wire
// messages.
//
// # Usage
//
//	head := translator.CallHead(call, time.Now())
//	call := translator.Call(head, time.Now())
package translator

import (
	"math"
	"net/http"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// overloadRatioScale is the resolution of an overload ratio in the integer wire field
// Strain, in steps from 0 to 1.
const overloadRatioScale = 100

// pressureScale is the resolution of a pressure in the integer wire field Pressure, in steps
// per 1.
const pressureScale = 100

// slowdownScale is the resolution of a slowdown in the integer wire field Slowdown, in steps
// per 1.
const slowdownScale = 100

// maxWireTime is the longest time that another node may report.
const maxWireTime = 24 * time.Hour

// CallHead returns the wire message for a call, without its body. The deadline is
// sent as remaining time, so that the clocks of the two nodes need not agree.
func CallHead(call *caller.Call, now time.Time) *encoder.CallHead {
	return &encoder.CallHead{
		RequestId:     call.RequestID,
		CallId:        call.CallID,
		Team:          call.Service.Team,
		Service:       call.Service.Name,
		Route:         call.Route,
		Method:        call.Method,
		Path:          call.Path,
		Headers:       encodeHeaders(call.Header),
		Priority:      uint32(call.Priority),
		TimeoutNanos:  int64(call.Deadline.Sub(now)),
		Allowance:     call.Allowance,
		Hop:           call.Hop,
		Charged:       call.Charged,
		Token:         call.Token,
		ResolveOnly:   call.ResolveOnly,
		Zone:          call.Zone,
		Attempt:       call.Attempt,
		Instance:      call.Instance,
		CallerService: call.CallerService,
		PatienceNanos: int64(call.MaxQueueWait),
		RateLimit:     call.RateLimit,
		Organisation:  call.Organisation,
		Ranked:        call.Ranked,
	}
}

// CancelHead returns the wire message that cancels a call. Nodes that do not know such messages take it
// for a query about a token that no target has.
func CancelHead(call *caller.Call) *encoder.CallHead {
	return &encoder.CallHead{
		CallId:      call.CallID,
		Attempt:     call.Attempt,
		Cancel:      true,
		ResolveOnly: true,
		Token:       &encoder.Token{},
	}
}

// Call returns the call that a wire message describes, without its body. A priority
// above the highest one becomes the highest.
func Call(head *encoder.CallHead, now time.Time) *caller.Call {
	return &caller.Call{
		RequestID: head.GetRequestId(),
		CallID:    head.GetCallId(),
		Service: describer.ServiceName{
			Team: head.GetTeam(),
			Name: head.GetService(),
		},
		Route:         head.GetRoute(),
		Method:        head.GetMethod(),
		Path:          head.GetPath(),
		Header:        decodeHeaders(head.GetHeaders()),
		Priority:      caller.Priority(min(head.GetPriority(), caller.PriorityLevels-1)),
		Idempotent:    head.GetToken() == nil,
		Deadline:      now.Add(time.Duration(head.GetTimeoutNanos())),
		Allowance:     head.GetAllowance(),
		Hop:           head.GetHop(),
		Charged:       head.GetCharged(),
		Attempt:       head.GetAttempt(),
		Token:         head.GetToken(),
		ResolveOnly:   head.GetResolveOnly(),
		Zone:          head.GetZone(),
		Instance:      head.GetInstance(),
		CallerService: head.GetCallerService(),
		MaxQueueWait:  time.Duration(head.GetPatienceNanos()),
		RateLimit:     validRate(head.GetRateLimit()),
		Organisation:  head.GetOrganisation(),
		Ranked:        head.GetRanked(),
	}
}

// AnswerHead returns the wire message for an answer, without its body.
func AnswerHead(answer *caller.Answer) *encoder.AnswerHead {
	return &encoder.AnswerHead{
		Outcome: uint32(answer.Outcome),
		Reason:  uint32(answer.Reason),
		Status:  uint32(answer.Status),
		Headers: encodeHeaders(answer.Header),
		Load: &encoder.Load{
			InFlight:       uint32(answer.Load.InFlight),
			Limit:          uint32(answer.Load.Limit),
			Queued:         uint32(answer.Load.Queued),
			Threshold:      uint32(answer.Load.Threshold),
			Leaving:        answer.Load.Leaving,
			Leaf:           answer.Load.IsLeaf,
			Pressure:       uint32(math.Round(pressureScale * answer.Load.Pressure)),
			Strain:         uint32(math.Round(overloadRatioScale * answer.Load.OverloadRatio)),
			RateLimit:      answer.Load.RateLimit,
			BackendLeaving: answer.Load.BackendLeaving,
			WorkMicros:     uint64(answer.Load.Work.Microseconds()),
			Slowdown:       uint32(math.Round(slowdownScale * answer.Load.Slowdown)),
			SpeedReported:  answer.Load.SpeedReported,
			Bottleneck:     answer.Load.Bottleneck,
			PathWorkMicros: uint64(answer.Load.PathWork.Microseconds()),
			RateLimitKnown: answer.Load.RateLimitKnown,
		},
		PathThreshold:   uint32(answer.PathThreshold),
		Successor:       answer.Successor,
		RetryAfterNanos: int64(answer.RetryAfter),
		Detail:          answer.Detail,
		Arrived:         answer.ReachedBackend,
		Inner:           answer.InternalRoute,
		Proof:           answer.Proof,
		RunMicros:       uint64(answer.RunTime.Microseconds()),
	}
}

// Answer returns the answer that a wire message describes, without its body. It
// limits the reason and the overload ratio to their valid ranges.
func Answer(head *encoder.AnswerHead) *caller.Answer {
	load := head.GetLoad()
	return &caller.Answer{
		Outcome: caller.Outcome(head.GetOutcome()),
		Reason:  caller.Reason(min(head.GetReason(), caller.MaxReason)),
		Status:  int(head.GetStatus()),
		Header:  decodeHeaders(head.GetHeaders()),
		Load: caller.Load{
			InFlight:       int(load.GetInFlight()),
			Limit:          int(load.GetLimit()),
			Queued:         int(load.GetQueued()),
			Threshold:      caller.Priority(load.GetThreshold()),
			Leaving:        load.GetLeaving(),
			IsLeaf:         load.GetLeaf(),
			OverloadRatio:  min(float64(load.GetStrain())/overloadRatioScale, 1),
			Pressure:       float64(load.GetPressure()) / pressureScale,
			RateLimit:      validRate(load.GetRateLimit()),
			BackendLeaving: load.GetBackendLeaving(),
			Work:           validMicros(load.GetWorkMicros()),
			Slowdown:       float64(load.GetSlowdown()) / slowdownScale,
			SpeedReported:  load.GetSpeedReported(),
			Bottleneck:     load.GetBottleneck(),
			PathWork:       validMicros(load.GetPathWorkMicros()),
			RateLimitKnown: load.GetRateLimitKnown(),
		},
		PathThreshold:  caller.Priority(head.GetPathThreshold()),
		Successor:      head.GetSuccessor(),
		RetryAfter:     time.Duration(head.GetRetryAfterNanos()),
		Detail:         head.GetDetail(),
		ReachedBackend: head.GetArrived(),
		InternalRoute:  head.GetInner(),
		Proof:          head.GetProof(),
		RunTime:        validMicros(head.GetRunMicros()),
	}
}

// validMicros returns a time in microseconds that another node sent, or maxWireTime if it is
// longer.
func validMicros(micros uint64) time.Duration {
	return time.Duration(min(micros, uint64(maxWireTime.Microseconds()))) * time.Microsecond
}

// validRate returns a rate that another node sent, or 0 if it is none.
func validRate(rate float64) float64 {
	if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0
	}
	return min(rate, caller.MaxRateLimit)
}

func encodeHeaders(h http.Header) []*encoder.Header {
	list := make([]*encoder.Header, 0, len(h))
	for name, values := range h {
		for _, value := range values {
			list = append(list, &encoder.Header{
				Name:  name,
				Value: value,
			})
		}
	}
	return list
}

func decodeHeaders(list []*encoder.Header) http.Header {
	h := make(http.Header, len(list))
	for _, item := range list {
		h[item.GetName()] = append(h[item.GetName()], item.GetValue())
	}
	return h
}
