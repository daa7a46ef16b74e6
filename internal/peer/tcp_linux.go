package peer

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout limits how long sent bytes may stay unacknowledged before the kernel closes conn.
func setUserTimeout(conn *net.TCPConn, timeout time.Duration) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}
