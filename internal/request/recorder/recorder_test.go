package recorder

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

func newLogged(out *bytes.Buffer) *Recorder {
	log := logrus.New()
	log.SetOutput(out)
	return New(log, "n", 4096)
}

func served(id string) Decision {
	return Decision{
		RequestID: id,
		Action:    Route,
		Reason:    caller.ReasonNearest,
		Outcome:   caller.Answered,
	}
}

func TestLinesOfServedCallsAreBoundedUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		r := newLogged(&out)
		for i := range 10 * routineLinesPerSecond {
			r.Record(served(fmt.Sprint(i)))
		}
		if got := strings.Count(out.String(), "\n"); got != routineLinesPerSecond {
			t.Errorf("got %d lines, want %d", got, routineLinesPerSecond)
		}
	})
}

func TestLinesLeftOutAreWrittenOnceTheRequestFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		r := newLogged(&out)
		for i := range 2 * routineLinesPerSecond {
			r.Record(served(fmt.Sprint(i)))
		}
		out.Reset()
		late := fmt.Sprint(2*routineLinesPerSecond - 1)
		failed := Decision{
			RequestID: late,
			Action:    Answer,
			Reason:    caller.ReasonConnectionLost,
			Outcome:   caller.Unknown,
		}
		r.Record(failed)
		r.Record(failed)
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		if len(lines) != 3 || !strings.Contains(lines[0], "action=route") || !strings.Contains(lines[1], "reason=connectionLost") {
			t.Errorf("got %q, want the route line and both failures", lines)
		}
	})
}

func TestFailuresAreBoundedToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		r := newLogged(&out)
		for i := range 10 * otherLinesPerSecond {
			r.Record(Decision{
				RequestID: fmt.Sprint(i),
				Action:    Refuse,
				Reason:    caller.ReasonOverload,
				Outcome:   caller.NotRun,
			})
		}
		if got := strings.Count(out.String(), "\n"); got != otherLinesPerSecond {
			t.Errorf("got %d lines, want %d", got, otherLinesPerSecond)
		}
		if got := r.Count(Refuse, caller.ReasonOverload); got != 10*otherLinesPerSecond {
			t.Errorf("got %d counted, want all", got)
		}
	})
}
