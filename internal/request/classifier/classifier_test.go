package classifier

import (
	"fmt"
	"testing"
)

func TestRoutesAreToldApartByWhereCallsBegin(t *testing.T) {
	services := []string{"allot", "desk", "cartographer", "waterpoint"}
	table := NewTable()
	for i := range 1000 {
		table.Observe("client", services[i%len(services)])
		table.Observe("called", "desk")
		if i%25 == 0 {
			table.Observe("called", services[i%len(services)])
		}
	}
	if table.Inner("client") {
		t.Error("client: got inner")
	}
	if !table.Inner("called") {
		t.Error("called: got not inner")
	}
	if table.Inner("unknown") {
		t.Error("unknown: got inner")
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
