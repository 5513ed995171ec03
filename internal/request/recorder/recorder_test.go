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

func newLoggingRecorder(out *bytes.Buffer) *Recorder {
	log := logrus.New()
	log.SetOutput(out)
	return New(log, "n", 4096)
}

func routineDecision(id string) Decision {
	return Decision{
		RequestID: id,
		Action:    Route,
		Reason:    caller.ReasonNearest,
		Outcome:   caller.Answered,
	}
}

func TestRoutineLinesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		r := newLoggingRecorder(&out)
		for i := range 10 * routineLinesPerSecond {
			r.Record(routineDecision(fmt.Sprint(i)))
		}
		if got := strings.Count(out.String(), "\n"); got != routineLinesPerSecond {
			t.Errorf("got %d routine lines, want %d", got, routineLinesPerSecond)
		}
	})
}

func TestOmittedLinesAreWrittenOnceWhenRequestFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		r := newLoggingRecorder(&out)
		for i := range 2 * routineLinesPerSecond {
			r.Record(routineDecision(fmt.Sprint(i)))
		}
		out.Reset()
		omittedID := fmt.Sprint(2*routineLinesPerSecond - 1)
		failed := Decision{
			RequestID: omittedID,
			Action:    Answer,
			Reason:    caller.ReasonConnectionLost,
			Outcome:   caller.Unknown,
		}
		r.Record(failed)
		r.Record(failed)
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		if len(lines) != 3 || !strings.Contains(lines[0], "action=route") || !strings.Contains(lines[1], "reason=connectionLost") {
			t.Errorf("got lines %q, want the omitted route line once, then both failures", lines)
		}
	})
}

func TestRefusalLinesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		r := newLoggingRecorder(&out)
		for i := range 10 * otherLinesPerSecond {
			r.Record(Decision{
				RequestID: fmt.Sprint(i),
				Action:    Refuse,
				Reason:    caller.ReasonOverload,
				Outcome:   caller.NotRun,
			})
		}
		if got := strings.Count(out.String(), "\n"); got != otherLinesPerSecond {
			t.Errorf("got %d refusal lines, want %d", got, otherLinesPerSecond)
		}
		if got := r.Count(Refuse, caller.ReasonOverload); got != 10*otherLinesPerSecond {
			t.Errorf("got %d refusals counted, want all", got)
		}
	})
}
