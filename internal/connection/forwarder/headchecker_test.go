package forwarder

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

// FuzzHeadChecker guards against a verdict on a head that depends on how its bytes arrive.
func FuzzHeadChecker(f *testing.F) {
	f.Add([]byte(answer("1", "x")), uint(20))
	f.Add([]byte("HTTP/1.0 200 OK\nTransfer-Encoding : chunked\n a\n\n"), uint(1))
	f.Fuzz(func(t *testing.T, data []byte, size uint) {
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
		if err != nil {
			return
		}
		var whole, parts headChecker
		whole.write(data)
		for rest := data; len(rest) > 0; {
			n := min(len(rest), 1+int(size%64))
			parts.write(rest[:n])
			rest = rest[n:]
		}
		got, want := parts.check(resp), whole.check(resp)
		if (got == nil) != (want == nil) {
			t.Errorf("in parts: got %v, want %v as at once", got, want)
		}
	})
}
