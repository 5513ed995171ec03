package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// arrival is a request as the backend server sees it.
type arrival struct {
	at      time.Time
	timeout time.Duration
}

// serveInTurn answers the requests on a connection, each after work, and sends their arrivals.
func serveInTurn(t *testing.T, c net.Conn, work time.Duration, arrivals chan<- arrival) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		timeout, err := time.ParseDuration(req.Header.Get("Timeout"))
		if err != nil {
			t.Error(err)
		}
		arrivals <- arrival{
			at:      time.Now(),
			timeout: timeout,
		}
		time.Sleep(work)
		io.WriteString(c, answer(req.Header.Get("Id"), "x"))
	}
}

// A backend server must be told the time that is left when the request is sent to it. A call
// that waited for a connection would otherwise get more time than its caller has, and its answer
// would come after the node's own.
func TestWaitForAConnectionIsNotHandedOutAgain(t *testing.T) {
	for name, test := range map[string]struct {
		work time.Duration
		dial time.Duration
	}{
		"no free connection": {work: 2 * time.Second},
		"slow connection":    {dial: 900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				arrivals := make(chan arrival, 2)
				f := New(Config{
					MaxConnections:   1,
					Dialect:          dialect(),
					MaxBufferedBytes: 1 << 10,
					Dial: func(context.Context, string, string) (net.Conn, error) {
						time.Sleep(test.dial)
						near, far := net.Pipe()
						go serveInTurn(t, far, test.work, arrivals)
						return near, nil
					},
				})
				defer f.Close()
				deadline := time.Now().Add(3 * time.Second)
				var calls sync.WaitGroup
				for _, id := range []string{"first", "second"} {
					calls.Go(func() {
						c := call(id)
						c.Deadline = deadline
						if _, err := do(t, f, c); err != nil {
							t.Error(err)
						}
					})
				}
				for range 2 {
					got := <-arrivals
					if want := deadline.Sub(got.at); got.timeout > want {
						t.Errorf("request arrives with %s left by its header, want at most %s", got.timeout, want)
					}
				}
				calls.Wait()
			})
		})
	}
}
