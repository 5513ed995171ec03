package player

import (
	"github.com/laburnumshelf/laburnumshelf/internal/replay/assembler"
)

// variant is the layer with one mechanism turned off.
type variant struct {
	name      string
	switchOff func(s *assembler.Switches)
}

// variants lists the mechanisms that can be turned off.
var variants = []variant{
	{name: "limiter", switchOff: func(s *assembler.Switches) { s.Admitter.NoLimiter = true }},
	{name: "threshold", switchOff: func(s *assembler.Switches) { s.Admitter.NoThreshold = true }},
	{name: "criticality", switchOff: func(s *assembler.Switches) { s.Admitter.NoCriticality = true }},
	{name: "expiry", switchOff: func(s *assembler.Switches) { s.Admitter.NoExpiry = true }},
	{name: "newestFirst", switchOff: func(s *assembler.Switches) { s.Admitter.NoNewestFirst = true }},
	{name: "bulkhead", switchOff: func(s *assembler.Switches) { s.Admitter.NoBulkhead = true }},
	{name: "earlyRefusal", switchOff: func(s *assembler.Switches) { s.Dispatcher.NoEarlyRefusal = true }},
	{name: "retryAllowance", switchOff: func(s *assembler.Switches) { s.Dispatcher.NoRetryAllowance = true }},
	{name: "retryBudget", switchOff: func(s *assembler.Switches) { s.Dispatcher.NoRetryBudget = true }},
	{name: "retries", switchOff: func(s *assembler.Switches) { s.Dispatcher.NoRetries = true }},
	{name: "zones", switchOff: func(s *assembler.Switches) { s.Router.NoZones = true }},
	{name: "ejection", switchOff: func(s *assembler.Switches) { s.Router.NoEjection = true }},
	{name: "slowStart", switchOff: func(s *assembler.Switches) { s.Router.NoSlowStart = true }},
	{name: "slowness", switchOff: func(s *assembler.Switches) { s.Router.NoSlowDetection = true }},
	{name: "routing", switchOff: func(s *assembler.Switches) { s.Router.Random = true }},
}

// switchesWithout returns switches that turn off the named mechanism. It reports
// whether the mechanism exists.
func switchesWithout(name string) (assembler.Switches, bool) {
	switches := assembler.Switches{}
	for _, v := range variants {
		if v.name == name {
			v.switchOff(&switches)
			return switches, true
		}
	}
	return switches, false
}
