package classifier

import (
	"fmt"
	"testing"
)

// services is those at whose nodes clients' calls begin.
var services = []string{"allot", "desk", "cartographer", "waterpoint"}

func TestRoutesAreToldApartByWhereCallsBegin(t *testing.T) {
	table := NewTable()
	for i := range 1000 {
		table.Observe("client", services[i%len(services)])
		table.Observe("called", "desk")
		if i%25 == 0 {
			table.Observe("called", services[i%len(services)])
		}
	}
	if table.IsInternal("client") {
		t.Error("client: got inner")
	}
	if !table.IsInternal("called") {
		t.Error("called: got not inner")
	}
	if table.IsInternal("unknown") {
		t.Error("unknown: got inner")
	}
}

func TestRoutesCalledByTwoServicesAreInner(t *testing.T) {
	// An operator's weights send a part of the parents to another service, whose
	// backend servers then make the same calls.
	table := NewTable()
	for i := range 1000 {
		table.Observe("client", services[i%len(services)])
		table.Observe("called", []string{"desk", "allot", "desk"}[i%3])
	}
	if !table.IsInternal("called") {
		t.Error("called by two of four services: got not inner")
	}
	if table.IsInternal("client") {
		t.Error("client: got inner")
	}
}

func TestClientsOfTwoServicesAreNotInner(t *testing.T) {
	table := NewTable()
	for i := range 1000 {
		table.Observe("client", []string{"allot", "desk"}[i%2])
	}
	if table.IsInternal("client") {
		t.Error("client at both services that there are: got inner")
	}
}

func TestClientsAmongManyServicesAreNotInner(t *testing.T) {
	table := NewTable()
	for i := range 60 {
		if table.Observe("client", fmt.Sprint("s", i*7%220)) {
			t.Fatalf("after %d calls from as many services: got inner", i+1)
		}
	}
}

func TestFewCallsJudgeNothing(t *testing.T) {
	table := NewTable()
	for range minCalls - 1 {
		if table.Observe("r", "desk") {
			t.Fatal("got a judgment too early")
		}
	}
	if !table.Observe("r", "desk") {
		t.Error("got no judgment")
	}
}

func TestRoutesRememberedAreBounded(t *testing.T) {
	table := NewTable()
	for i := range 2 * maxRoutes {
		table.Observe(fmt.Sprint(i), "desk")
	}
	if got := len(table.routes); got > maxRoutes {
		t.Errorf("got %d routes, want at most %d", got, maxRoutes)
	}
}
