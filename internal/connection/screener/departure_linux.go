package screener

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasLeft reports whether the client of a connection has reset it, or has closed it although bytes of
// its request are missing: missing bytes are not read yet, or it is -1 if that is not known. A client
// that closes its side after a whole request may still wait for the answer.
func hasLeft(conn net.Conn, missing int64) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	err = control.Control(func(fd uintptr) {
		events := []unix.PollFd{{
			Fd:     int32(fd),
			Events: unix.POLLRDHUP,
		}}
		if n, err := unix.Poll(events, 0); err != nil || n == 0 {
			return
		}
		if events[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0 {
			left = true
			return
		}
		unread, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		left = err == nil && missing >= 0 && int64(unread)+serverBufferBytes < missing
	})
	return err == nil && left
}
