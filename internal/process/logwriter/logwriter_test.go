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
		time.Sleep(2 * flushDelay)
		synctest.Wait()
		if got := out.String(); got != "a\nb\n" {
			t.Errorf("after the flush delay: got %q, want both lines", got)
		}
		w.Write([]byte("c\n"))
		w.Close()
		if got := out.String(); got != "a\nb\nc\n" {
			t.Errorf("after Close: got %q, want all lines", got)
		}
	})
}

// blockedOutput blocks all writes until release is closed.
type blockedOutput struct {
	bytes.Buffer
	release chan struct{}
}

// Write implements io.Writer.
func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	return o.Buffer.Write(p)
}

// A write to an output that hangs must not block the code that logs. Lines that do
// not fit into the buffer are dropped, and their number is logged later.
func TestBlockedOutputDropsLinesWithoutBlocking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedOutput{release: make(chan struct{})}
		w := New(out)
		w.Write([]byte("first\n"))
		time.Sleep(2 * flushDelay)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		started := time.Now()
		for range 2 * maxPendingBytes / len(line) {
			w.Write(line)
		}
		if took := time.Since(started); took != 0 {
			t.Errorf("writing blocked for %s, want no wait", took)
		}
		close(out.release)
		w.Close()
		if got := out.String(); !strings.Contains(got, `msg="log lines dropped" lines=256`) {
			t.Errorf("got %d bytes of output without the report of 256 dropped lines", len(got))
		}
	})
}
