package player

import (
	"github.com/laburnumshelf/laburnumshelf/internal/replay/assembler"
)

// variant is the layer with one mechanism off.
type variant struct {
	name  string
	apply func(s *assembler.Switches)
}

// variants lists the mechanisms that can be switched off.
var variants = []variant{
	{name: "limiter", apply: func(s *assembler.Switches) { s.Admitter.NoLimiter = true }},
	{name: "threshold", apply: func(s *assembler.Switches) { s.Admitter.NoThreshold = true }},
	{name: "criticality", apply: func(s *assembler.Switches) { s.Admitter.NoCriticality = true }},
	{name: "expiry", apply: func(s *assembler.Switches) { s.Admitter.NoExpiry = true }},
	{name: "newestFirst", apply: func(s *assembler.Switches) { s.Admitter.NoNewestFirst = true }},
	{name: "bulkhead", apply: func(s *assembler.Switches) { s.Admitter.NoBulkhead = true }},
	{name: "earlyRefusal", apply: func(s *assembler.Switches) { s.Dispatcher.NoEarlyRefusal = true }},
	{name: "retryAllowance", apply: func(s *assembler.Switches) { s.Dispatcher.NoRetryAllowance = true }},
	{name: "retryBudget", apply: func(s *assembler.Switches) { s.Dispatcher.NoRetryBudget = true }},
	{name: "retries", apply: func(s *assembler.Switches) { s.Dispatcher.NoRetries = true }},
	{name: "zones", apply: func(s *assembler.Switches) { s.Router.NoZones = true }},
	{name: "ejection", apply: func(s *assembler.Switches) { s.Router.NoEjection = true }},
	{name: "slowStart", apply: func(s *assembler.Switches) { s.Router.NoSlowStart = true }},
	{name: "slowness", apply: func(s *assembler.Switches) { s.Router.NoSlowDetection = true }},
	{name: "routing", apply: func(s *assembler.Switches) { s.Router.Random = true }},
}

// findVariant returns the switches of the named mechanism being off.
func findVariant(name string) (assembler.Switches, bool) {
	switches := assembler.Switches{}
	for _, v := range variants {
		if v.name == name {
			v.apply(&switches)
			return switches, true
		}
	}
	return switches, false
}
