package client

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets the TCP user timeout. Without it the kernel retransmits unacknowledged bytes
// for about 15 minutes.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// An error is ignored: without the option, the deadlines of the requests still apply.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}
