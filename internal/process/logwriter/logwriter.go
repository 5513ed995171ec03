// Package logwriter passes log lines on without ever blocking the code that
// logs: lines that the output cannot take in time are dropped and counted.
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
	// flushPeriod bounds the time that a line waits for others, so that a write
	// to the output carries several.
	flushPeriod = 100 * time.Millisecond
	// maxBytes bounds the lines that wait, whose memory counts as the node's.
	maxBytes = 256 << 10
)

// droppedLines counts lines that were not written.
var droppedLines = expvar.NewInt("logLinesDropped")

// Writer is an io.Writer whose writes never block. Its methods are safe for
// concurrent use.
type Writer struct {
	out io.Writer
	// wake has a value once lines wait.
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	waiting bytes.Buffer
	dropped int
	closed  bool
}

// New returns a Writer to out.
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

// Write implements io.Writer. It never fails: a line that finds no room is
// dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.waiting.Len()+len(line) > maxBytes {
		w.dropped++
		droppedLines.Add(1)
		return len(line), nil
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return w.waiting.Write(line)
}

// Close writes what waits and ends the Writer.
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
		case <-time.After(flushPeriod):
		case <-w.closing:
		}
		buffer = w.flush(buffer)
	}
}

// flush writes what waits, and returns the buffer for the next time.
func (w *Writer) flush(buffer []byte) []byte {
	w.mu.Lock()
	buffer = append(buffer[:0], w.waiting.Bytes()...)
	w.waiting.Reset()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		buffer = fmt.Appendf(buffer, "time=%q level=warning msg=\"log lines dropped\" lines=%d\n",
			time.Now().UTC().Format(time.RFC3339Nano), dropped)
	}
	if len(buffer) > 0 {
		// There is nowhere to report a failed write of the log itself.
		w.out.Write(buffer)
	}
	return buffer
}
