// Package logwriter writes log lines to an output without ever blocking the code
// that logs. It buffers lines, and drops and counts those that do not fit into the
// buffer because the output is too slow.
//
// # Usage
//
//	w := logwriter.New(os.Stdout)
//	defer w.Close()
//	log.SetOutput(w)
package logwriter

import (
	"bytes"
	"expvar"
	"fmt"
	"io"
	"sync"
	"time"
)

// Writer parameters.
const (
	// flushDelay is how long a line waits for further ones, so that one write to the
	// output carries several lines.
	flushDelay = 100 * time.Millisecond
	// maxPendingBytes limits the size of the buffered lines, because their memory
	// counts toward the memory of the node.
	maxPendingBytes = 256 << 10
)

// droppedLines is the number of lines dropped by all Writers.
var droppedLines = expvar.NewInt("logLinesDropped")

// Writer is an io.Writer whose writes never block. Its methods are safe for
// concurrent use.
type Writer struct {
	out io.Writer
	// wake signals to run that lines are pending.
	wake chan struct{}
	// closing is closed by Close, and done once the last line is written.
	closing chan struct{}
	done    chan struct{}

	mu sync.Mutex
	// pending holds the lines to write. dropped is the number of lines dropped since
	// the last flush.
	pending bytes.Buffer
	dropped int
	closed  bool
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{
		out:     out,
		wake:    make(chan struct{}, 1),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails. It drops a line that does not fit into
// the buffer or that comes after Close.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.pending.Len()+len(line) > maxPendingBytes {
		w.dropped++
		droppedLines.Add(1)
		return len(line), nil
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return w.pending.Write(line)
}

// Close writes the pending lines and stops the Writer. It waits until the output has
// taken them.
func (w *Writer) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.closed = true
	w.mu.Unlock()
	close(w.closing)
	<-w.done
	return nil
}

// run writes pending lines in batches until Close.
func (w *Writer) run() {
	defer close(w.done)
	var buffer []byte
	for {
		select {
		case <-w.wake:
		case <-w.closing:
			w.flush(buffer)
			return
		}
		select {
		case <-time.After(flushDelay):
		case <-w.closing:
		}
		buffer = w.flush(buffer)
	}
}

// flush writes the pending lines and the number of dropped ones. It reuses buffer and
// returns it for the next flush.
func (w *Writer) flush(buffer []byte) []byte {
	w.mu.Lock()
	buffer = append(buffer[:0], w.pending.Bytes()...)
	w.pending.Reset()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		buffer = fmt.Appendf(buffer, "time=%q level=warning msg=\"log lines dropped\" lines=%d\n",
			time.Now().UTC().Format(time.RFC3339Nano), dropped)
	}
	if len(buffer) > 0 {
		// The error is ignored, because there is no other place to report it.
		w.out.Write(buffer)
	}
	return buffer
}
