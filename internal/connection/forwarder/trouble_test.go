package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// writeUntilClosed writes text again and again until the connection is closed, and
// returns the number of bytes written.
func writeUntilClosed(c net.Conn, text string) int64 {
	chunk := []byte(strings.Repeat(text, 1+(16<<10)/len(text)))
	written := int64(0)
	for {
		n, err := c.Write(chunk)
		written += int64(n)
		if err != nil {
			return written
		}
	}
}

// TestEndlessBytesAreCutOff calls backend servers that send bytes without end in place of an
// answer. The forwarder must close the connection after a bounded number of bytes, long
// before the deadline of the call.
func TestEndlessBytesAreCutOff(t *testing.T) {
	const maxBytes = 16 << 20
	for name, test := range map[string]struct{ start, repeat string }{
		"status line":              {"HTTP/1.1 200 ", "x"},
		"header line":              {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"headers":                  {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"interim answers":          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"answers to others":        {"", answer("other", "")},
		"body of another's answer": {"HTTP/1.1 200 OK\r\nId: other\r\nProof: p\r\n\r\n", "x"},
		"body of a refusal":        {"HTTP/1.1 503 Full\r\nId: 1\r\nNot-Run: 1\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			written := make(chan int64, 1)
			b := serve(t, func(c net.Conn, r *bufio.Reader) {
				http.ReadRequest(r)
				io.WriteString(c, test.start)
				written <- writeUntilClosed(c, test.repeat)
			})
			started := time.Now()
			got, err := do(t, b.forwarder(t), call("1"))
			if err == nil && got != caller.ReasonRefusedByBackend.String() {
				t.Errorf("got answer %q, want an error or the refusal", got)
			}
			if sent := <-written; sent > maxBytes {
				t.Errorf("the connection was closed after %d bytes, want at most %d", sent, maxBytes)
			}
			if took := time.Since(started); took > 5*time.Second {
				t.Errorf("took %v, want less than the deadline of the call", took)
			}
		})
	}
}

// TestEndlessBodyEndsWithTheCall reads an answer whose body never ends. The memory that it
// takes must stay bounded, and the connection must close when the caller closes the body.
func TestEndlessBodyEndsWithTheCall(t *testing.T) {
	written := make(chan int64, 1)
	b := serve(t, func(c net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\n\r\n")
		written <- writeUntilClosed(c, "x")
	})
	got, err := b.forwarder(t).Do(t.Context(), call("1"))
	if err != nil {
		t.Fatal(err)
	}
	io.CopyN(io.Discard, got.Body, 1<<20)
	got.Close()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Error("the connection stayed open after the body was closed")
	}
}

// TestLateSecondAnswerIsNotGivenToTheNextCaller sends a second copy of an answer late, when
// the connection is in use again. The next caller must get its own answer, also from
// backend servers that are not known to repeat request IDs.
func TestLateSecondAnswerIsNotGivenToTheNextCaller(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"repeats request IDs":    func(*Config) {},
		"may repeat request IDs": func(c *Config) { c.Dialect.Proof = "" },
	} {
		t.Run(name, func(t *testing.T) {
			b := serve(t, func(c net.Conn, r *bufio.Reader) {
				first, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				io.WriteString(c, answer(first.Header.Get("Id"), "first"))
				second, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				io.WriteString(c, answer(first.Header.Get("Id"), "first"))
				time.Sleep(20 * time.Millisecond)
				io.WriteString(c, answer(second.Header.Get("Id"), "second"))
				http.ReadRequest(r)
			})
			config := b.forwarder(t).config
			change(&config)
			f := New(config)
			defer f.Close()
			if got, err := do(t, f, call("1")); err != nil || got != "first" {
				t.Fatalf("first call: got %q, error %v", got, err)
			}
			if got, err := do(t, f, call("2")); err != nil || got != "second" {
				t.Errorf("next call: got %q, error %v, want its own answer", got, err)
			}
		})
	}
}

// maxCallBytes is what a node may keep for one call while its backend server answers: 256 MB for
// 280 slots.
const maxCallBytes = 256 << 20 / 280

// TestHeadOfSmallLinesFillsTheMemory guards against a node that runs out of memory, and the
// requests of others with it, because its backend server sends heads of many small lines and
// then no more. A parsed line takes many times the memory of its bytes.
func TestHeadOfSmallLinesFillsTheMemory(t *testing.T) {
	const calls = 40
	for name, start := range map[string]string{
		"answer":       "HTTP/1.1 500 Failed\r\n",
		"interim":      "HTTP/1.1 100 Continue\r\n",
		"after others": answer("other", "") + "HTTP/1.1 200 OK\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var sent sync.WaitGroup
			sent.Add(calls)
			done := make(chan struct{})
			b := serve(t, func(c net.Conn, r *bufio.Reader) {
				http.ReadRequest(r)
				io.WriteString(c, start)
				for i := 0; i*len("A0000:\r\n") < maxHeadBytes-1024; i++ {
					fmt.Fprintf(c, "A%04d:\r\n", i)
				}
				sent.Done()
				<-done
			})
			config := b.forwarder(t).config
			config.MaxConnections = calls
			f := New(config)
			defer f.Close()
			before := heapBytes()
			var ended sync.WaitGroup
			for i := range calls {
				ended.Go(func() {
					do(t, f, call(fmt.Sprint(i)))
				})
			}
			sent.Wait()
			time.Sleep(100 * time.Millisecond)
			if got := (heapBytes() - before) / calls; got > maxCallBytes {
				t.Errorf("got %d bytes for a call, want at most %d", got, maxCallBytes)
			}
			close(done)
			ended.Wait()
		})
	}
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
