package recorder

import "time"

// ExportedDecision is the JSON form of a Decision.
type ExportedDecision struct {
	Time      time.Time `json:"time"`
	Node      string    `json:"node"`
	RequestID string    `json:"requestId"`
	CallID    string    `json:"callId"`
	Hop       uint32    `json:"hop"`
	Attempt   uint32    `json:"attempt"`
	Action    string    `json:"action"`
	Reason    string    `json:"reason"`
	Outcome   string    `json:"outcome"`
	Service   string    `json:"service"`
	Route     string    `json:"route"`
	Target    string    `json:"target,omitempty"`
	Priority  uint16    `json:"priority"`
	Threshold uint16    `json:"threshold"`
	Allowance uint32    `json:"allowance"`
	Wait      string    `json:"wait,omitempty"`
	Settings  int64     `json:"settings"`
	LoadAge   string    `json:"loadAge,omitempty"`
	RateLimit float64   `json:"rateLimit,omitempty"`
	LimitAge  string    `json:"rateLimitAge,omitempty"`
	// Organisation and KeyPrefix are empty for requests without an organisation or a key.
	Organisation string `json:"organisation,omitempty"`
	KeyPrefix    string `json:"keyDigest,omitempty"`
	// The expected wait, run time, round-trip time and slowdown of the target.
	ExpectedWait     string  `json:"expectedWait,omitempty"`
	ExpectedRun      string  `json:"expectedRun,omitempty"`
	ExpectedDistance string  `json:"expectedDistance,omitempty"`
	ExpectedSlowdown float64 `json:"expectedSlowdown,omitempty"`

	Bottleneck string  `json:"bottleneck,omitempty"`
	Pressure   float64 `json:"pressure,omitempty"`
	Admitted   float64 `json:"admitted,omitempty"`

	// The end of a call, see End.
	EndedBy     string `json:"endedBy,omitempty"`
	AttemptTime string `json:"attemptTime,omitempty"`
	TimeLeft    string `json:"timeLeft,omitempty"`
	Unanswered  int    `json:"unanswered,omitempty"`
	NoAttempt   string `json:"noAttempt,omitempty"`
	NoHedge     string `json:"noHedge,omitempty"`
	Detail      string `json:"detail,omitempty"`
}

// Export returns the JSON form of the decision, made at node.
func (d Decision) Export(node string) ExportedDecision {
	exported := ExportedDecision{
		Time:      d.Time,
		Node:      node,
		RequestID: d.RequestID,
		CallID:    d.CallID,
		Hop:       d.Hop,
		Attempt:   d.Attempt,
		Action:    d.Action.String(),
		Reason:    d.Reason.String(),
		Outcome:   d.Outcome.String(),
		Service:   d.Service.String(),
		Route:     d.Route,
		Target:    d.Target,
		Priority:  uint16(d.Priority),
		Threshold: uint16(d.Threshold),
		Allowance: d.Allowance,
		Settings:  d.SettingsVersion,

		Organisation: d.Organisation,
		KeyPrefix:    d.KeyPrefix,
		Bottleneck:   d.Bottleneck,
		Pressure:     d.Pressure,
		Admitted:     d.Admitted,
	}
	if d.LoadAge > 0 {
		exported.LoadAge = d.LoadAge.String()
	}
	if d.RateLimit > 0 {
		exported.RateLimit = d.RateLimit
		exported.LimitAge = d.RateLimitAge.String()
	}
	if d.Expected.Run > 0 {
		exported.ExpectedWait = d.Expected.Wait.String()
		exported.ExpectedRun = d.Expected.Run.String()
		exported.ExpectedDistance = d.Expected.Distance.String()
		exported.ExpectedSlowdown = d.Expected.Slowdown
	}
	if d.Wait > 0 {
		exported.Wait = d.Wait.String()
	}
	if d.End != nil {
		exported.EndedBy = d.End.Cause.String()
		exported.AttemptTime = d.End.AttemptTime.String()
		exported.TimeLeft = d.End.TimeLeft.String()
		exported.Unanswered = d.End.Unanswered
		exported.NoAttempt = string(d.End.NoAttempt)
		exported.NoHedge = string(d.End.NoHedge)
		exported.Detail = d.End.Detail
	}
	return exported
}
