package forward

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveCount is how many keep-alive probes may stay unanswered.
const keepAliveCount = 3

// dialer returns the dialer for new connections.
func (c Config) dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: c.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     c.KeepAlive,
			Interval: c.KeepAlive,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, c.UserTimeout)
		},
	}
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged. Without
// it the kernel tries for about 15 minutes, during which a connection that
// something between the two ends has forgotten looks merely slow.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// socket asks the kernel about a connection without reading from it.
type socket struct {
	raw syscall.RawConn
	// peek and quiet are made once so that a check allocates nothing.
	peek  func(fd uintptr)
	quiet bool
}

func newSocket(raw syscall.RawConn) *socket {
	s := &socket{raw: raw}
	s.peek = s.peekFD
	return s
}

// idle reports whether the connection is open with nothing to read. An idle
// connection on which the endpoint closed, reset or sent bytes is useless: the
// bytes would be taken for the answer to the next request, which may be another
// caller's. The caller must own the connection.
func (s *socket) idle() bool {
	s.quiet = false
	err := s.raw.Control(s.peek)
	return err == nil && s.quiet
}

func (s *socket) peekFD(fd uintptr) {
	var one [1]byte
	_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	s.quiet = err == unix.EAGAIN
}

// silent reports whether the kernel has sent bytes again and for at least the
// given time nothing at all came back. A slow endpoint differs: its kernel
// acknowledges what its program does not read yet, and answers the probes of a
// closed window, which leave no segment unacknowledged.
func (s *socket) silent(atLeast time.Duration) bool {
	var info *unix.TCPInfo
	var infoErr error
	err := s.raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return false
	}
	quietFor := time.Duration(info.Last_ack_recv) * time.Millisecond
	return info.Unacked > 0 && info.Retransmits > 0 && quietFor >= atLeast
}
