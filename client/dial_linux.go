package client

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets the TCP user time-out. Without it the kernel sends the
// bytes again for about 15 minutes.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A failure leaves the deadlines of the requests in charge.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}
