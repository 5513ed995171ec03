package dialer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/acceptor"
	"github.com/laburnumshelf/laburnumshelf/internal/connection/dialer"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/version/follower"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

const (
	// frozenCallerEnv holds the address that the process of a frozen caller calls.
	frozenCallerEnv = "SHELF_TEST_FROZEN_CALLER"

	frozenCalls     = 10
	readIdleTimeout = 100 * time.Millisecond
	freezeTime      = 3 * readIdleTimeout
	callTime        = 6 * readIdleTimeout
)

// executorFunc is an executor that runs calls with a function.
type executorFunc func(ctx context.Context, call *caller.Call) *caller.Answer

func (f executorFunc) Execute(ctx context.Context, call *caller.Call) *caller.Answer {
	return f(ctx, call)
}

// freezingConn stops the own process after the first ping of a session, as if the operating system
// gave it no processor.
type freezingConn struct {
	net.Conn
	froze bool
}

func (f *freezingConn) Write(p []byte) (int, error) {
	const pingBytes, typeOffset, pingType = 12, 1, 2
	n, err := f.Conn.Write(p)
	if !f.froze && len(p) == pingBytes && p[typeOffset] == pingType {
		f.froze = true
		syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	}
	return n, err
}

// A process that stood still must not take its own silence for that of the peer. The session that
// it closes has the answers of other nodes on their way.
func TestFrozenCallerKeepsItsSessions(t *testing.T) {
	if address := os.Getenv(frozenCallerEnv); address != "" {
		makeFrozenCalls(netip.MustParseAddrPort(address))
		return
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	a := acceptor.New(acceptor.Config{
		Executor: executorFunc(func(context.Context, *caller.Call) *caller.Answer {
			time.Sleep(callTime)
			return &caller.Answer{
				Status: 200,
				Body:   io.NopCloser(strings.NewReader("x")),
			}
		}),
		Settings: follower.NewState,
	})
	defer a.Shutdown(t.Context())
	go a.Serve(listener)
	if got, want := runFrozenCaller(t, listener.Addr().String()), frozenCalls; strings.Count(got, "answered\n") != want {
		t.Errorf("got:\n%swant %d calls answered", got, want)
	}
}

// makeFrozenCalls makes calls on a new session each and prints their results.
func makeFrozenCalls(address netip.AddrPort) {
	for range frozenCalls {
		d := dialer.New(dialer.Config{
			ReadIdleTimeout: readIdleTimeout,
			Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
				conn, err := dialer.NewTCPDialFunc(time.Second)(ctx, address)
				return &freezingConn{Conn: conn}, err
			},
		})
		_, err := d.Call(context.Background(), &encoder.Member{PeerAddress: address.String()}, &caller.Call{
			Deadline: time.Now().Add(10 * time.Second),
		})
		if err != nil {
			fmt.Println(err)
		} else {
			fmt.Println("answered")
		}
		d.Close()
	}
}

// runFrozenCaller runs makeFrozenCalls in a process of its own, which it lets stand still for
// freezeTime each time it stops. It returns the output of the process.
func runFrozenCaller(t *testing.T, address string) string {
	t.Helper()
	output, err := os.Create(filepath.Join(t.TempDir(), "output"))
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	process := exec.Command(os.Args[0], "-test.run=^TestFrozenCallerKeepsItsSessions$")
	process.Env = append(os.Environ(), frozenCallerEnv+"="+address)
	process.Stdout = output
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	for {
		var status syscall.WaitStatus
		if _, err := syscall.Wait4(process.Process.Pid, &status, syscall.WUNTRACED, nil); err != nil {
			t.Fatal(err)
		}
		if !status.Stopped() {
			break
		}
		time.Sleep(freezeTime)
		process.Process.Signal(syscall.SIGCONT)
	}
	content, err := os.ReadFile(output.Name())
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}
