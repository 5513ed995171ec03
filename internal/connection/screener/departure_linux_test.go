package screener

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/weigher"
)

// TestClientThatLeavesDuringItsUploadIsNoticed guards against requests that run on after their client
// has left, because nobody reads the rest of the body, and against clients that are taken for gone
// since they close their side after the whole request.
func TestClientThatLeavesDuringItsUploadIsNoticed(t *testing.T) {
	const whole, part = 200 << 10, 150 << 10
	for name, test := range map[string]struct {
		sent int
		end  func(*net.TCPConn)
		left bool
	}{
		"reset": {part, func(c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		}, true},
		"closed in the middle":      {part, func(c *net.TCPConn) { c.Close() }, true},
		"closed its side, all sent": {whole, func(c *net.TCPConn) { c.CloseWrite() }, false},
		"stays":                     {part, func(*net.TCPConn) {}, false},
	} {
		t.Run(name, func(t *testing.T) {
			result, began := make(chan bool, 1), make(chan struct{})
			l := newServer(t, Config{
				Budget:         weigher.NewBudget(weigher.DefaultBudget),
				MaxConnections: 10,
			}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				io.ReadFull(r.Body, make([]byte, caller.PrefetchBytes))
				close(began)
				wait := 5 * time.Second
				if !test.left {
					wait = 5 * departureInterval
				}
				select {
				case <-r.Context().Done():
					result <- true
				case <-time.After(wait):
					result <- false
				}
			}))
			conn, _ := dial(t, l)
			io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 204800\r\n\r\n"+strings.Repeat("b", test.sent))
			<-began
			test.end(conn.(*net.TCPConn))
			if got := <-result; got != test.left {
				t.Errorf("got canceled %t, want %t", got, test.left)
			}
		})
	}
}
