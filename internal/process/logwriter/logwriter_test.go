package logwriter

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestLinesAreWrittenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := New(&out)
		w.Write([]byte("a\n"))
		w.Write([]byte("b\n"))
		time.Sleep(2 * flushPeriod)
		synctest.Wait()
		if got := out.String(); got != "a\nb\n" {
			t.Errorf("got %q, want both lines", got)
		}
		w.Write([]byte("c\n"))
		w.Close()
		if got := out.String(); got != "a\nb\nc\n" {
			t.Errorf("after Close: got %q, want all lines", got)
		}
	})
}

// stuck never returns from its first write until released.
type stuck struct {
	bytes.Buffer
	release chan struct{}
}

// Write implements io.Writer.
func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func TestStuckOutputBlocksNobodyAndTellsWhatWasDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{release: make(chan struct{})}
		w := New(out)
		w.Write([]byte("first\n"))
		time.Sleep(2 * flushPeriod)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		started := time.Now()
		for range 2 * maxBytes / len(line) {
			w.Write(line)
		}
		if took := time.Since(started); took != 0 {
			t.Errorf("writing took %s, want no wait", took)
		}
		close(out.release)
		w.Close()
		if got := out.String(); !strings.Contains(got, `msg="log lines dropped" lines=256`) {
			t.Errorf("got %d bytes that do not tell of 256 dropped lines", len(got))
		}
	})
}
