package classifier

import (
	"fmt"
	"testing"
)

// services are the services at whose nodes the calls of clients begin.
var services = []string{"allot", "desk", "cartographer", "waterpoint"}

func TestRouteIsClassifiedByServicesWhereItsCallsBegin(t *testing.T) {
	table := NewTable()
	for i := range 1000 {
		table.Observe("client", services[i%len(services)])
		table.Observe("called", "desk")
		if i%25 == 0 {
			table.Observe("called", services[i%len(services)])
		}
	}
	if table.IsInternal("client") {
		t.Error("the route of clients: got internal, want not internal")
	}
	if !table.IsInternal("called") {
		t.Error("a route called mostly by one service: got not internal, want internal")
	}
	if table.IsInternal("unknown") {
		t.Error("a route without calls: got internal, want not internal")
	}
}

func TestRouteCalledByTwoOfFourServicesIsInternal(t *testing.T) {
	// An operator's routing weights may send some of the parent calls to another service.
	// The backend servers of that service then make the same calls.
	table := NewTable()
	for i := range 1000 {
		table.Observe("client", services[i%len(services)])
		table.Observe("called", []string{"desk", "allot", "desk"}[i%3])
	}
	if !table.IsInternal("called") {
		t.Error("a route called by two of four services: got not internal, want internal")
	}
	if table.IsInternal("client") {
		t.Error("the route of clients: got internal, want not internal")
	}
}

func TestRouteOfClientsAtTwoServicesIsNotInternal(t *testing.T) {
	table := NewTable()
	for i := range 1000 {
		table.Observe("client", []string{"allot", "desk"}[i%2])
	}
	if table.IsInternal("client") {
		t.Error("clients at both of two services: got internal, want not internal")
	}
}

func TestRouteOfClientsAtManyServicesIsNotInternal(t *testing.T) {
	table := NewTable()
	for i := range 60 {
		if table.Observe("client", fmt.Sprint("s", i*7%220)) {
			t.Fatalf("after %d calls from as many services: got internal, want not internal", i+1)
		}
	}
}

func TestRouteWithFewCallsIsNotClassified(t *testing.T) {
	table := NewTable()
	for range minCalls - 1 {
		if table.Observe("r", "desk") {
			t.Fatal("the route was classified before minCalls calls")
		}
	}
	if !table.Observe("r", "desk") {
		t.Error("the route was not classified after minCalls calls")
	}
}

func TestNumberOfStoredRoutesIsBounded(t *testing.T) {
	table := NewTable()
	for i := range 2 * maxRoutes {
		table.Observe(fmt.Sprint(i), "desk")
	}
	if got := len(table.routes); got > maxRoutes {
		t.Errorf("got %d routes, want at most %d", got, maxRoutes)
	}
}
