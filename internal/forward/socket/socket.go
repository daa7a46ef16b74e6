// Package socket sets the TCP options of tealhall's connections and queries the kernel about the
// state of a connection without reading from it.
package socket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveCount is the number of unanswered keep-alive probes after which a connection ends.
const keepAliveCount = 3

// KeepAlive returns options with which an idle connection ends after at most four periods if the
// other end no longer exists. With a user timeout set (SetUserTimeout), the kernel ignores the number
// of probes: the connection ends at the first probe that is due after the user timeout has passed
// without an answer.
func KeepAlive(period time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: period, Interval: period, Count: keepAliveCount}
}

// SetUserTimeout limits how long sent bytes may stay unacknowledged, and how long the other end may
// keep its receive window closed. Without it the kernel retransmits for about 15 minutes, during
// which a connection whose state a network device has lost cannot be distinguished from a slow one.
func SetUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// SetReceiveBuffer bounds the bytes that a connection, or each connection that a listening socket
// accepts, receives before they are read.
func SetReceiveBuffer(raw syscall.RawConn, bytes int) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	})
	return errors.Join(err, optErr)
}

// Discard reads and drops up to limit bytes that a connection has received, without waiting for more.
func Discard(raw syscall.RawConn, limit int) {
	var buffer [4 << 10]byte
	_ = raw.Control(func(fd uintptr) {
		for limit > 0 {
			n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_DONTWAIT)
			if n <= 0 || err != nil {
				return
			}
			limit -= n
		}
	})
}

// Listen listens on an IP:port with plain TCP. Go's default for listeners is Multipath TCP, whose
// sockets support neither filters nor all TCP options.
func Listen(address string) (*net.TCPListener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// The offset of the flags in a TCP header, the SYN flag, and the return value of a filter that
// keeps a segment of any length whole.
const (
	tcpFlagsOffset   = 13
	tcpFlagSYN       = 0x02
	keepWholeSegment = 1 << 16
)

// dropSYN is a socket filter that drops the segments that open connections.
var dropSYN = [...]unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jf: 1, K: tcpFlagSYN},
	{Code: unix.BPF_RET | unix.BPF_K},
	{Code: unix.BPF_RET | unix.BPF_K, K: keepWholeSegment},
}

// DropNewConnections makes a listening socket ignore new connection attempts, while handshakes
// already under way still complete. Without it the kernel could accept a connection just before the
// listener closes and then reset it, although its client may already have sent a request. An
// ignored client retransmits its SYN after a second and is refused then.
func DropNewConnections(raw syscall.RawConn) error {
	program := unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]}
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	return errors.Join(err, optErr)
}

// ConnectionWaits reports whether a listening socket has a connection to accept.
func ConnectionWaits(raw syscall.RawConn) bool {
	var ready int
	_ = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return ready > 0
}

// ReadState is what a read from a connection would return.
type ReadState uint8

// The read states.
const (
	// WouldBlock: a read would block.
	WouldBlock ReadState = iota
	// HasBytes: there are bytes to read.
	HasBytes
	// Ended: the connection was closed or reset by the other end, or closed locally.
	Ended
)

// Inspector queries the kernel about one connection. It may be used by one goroutine at a time,
// except Silent, which is safe for concurrent use.
type Inspector struct {
	raw syscall.RawConn
	// peek is the method value i.peekFD, created once so that ReadState does not allocate.
	peek  func(fd uintptr)
	state ReadState
}

// NewInspector returns an Inspector of the connection raw.
func NewInspector(raw syscall.RawConn) *Inspector {
	i := &Inspector{raw: raw}
	i.peek = i.peekFD
	return i
}

// ReadState returns what a read would return, without consuming it.
func (i *Inspector) ReadState() ReadState {
	i.state = Ended
	if err := i.raw.Control(i.peek); err != nil {
		return Ended
	}
	return i.state
}

func (i *Inspector) peekFD(fd uintptr) {
	var buffer [1]byte
	n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN:
		i.state = WouldBlock
	case err == nil && n > 0:
		i.state = HasBytes
	}
}

// End is how the other end ended a connection.
type End uint8

// The ends.
const (
	// EndUnknown: the connection has not ended, or the kernel does not say how.
	EndUnknown End = iota
	// EndClosed: the other end has closed the connection, or its half of it.
	EndClosed
	// EndReset: the connection was reset, or has failed.
	EndReset
)

// The states of a TCP connection in tcp_info.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// End returns how the other end ended the connection. It is safe for concurrent use.
func (i *Inspector) End() End {
	var info *unix.TCPInfo
	var infoErr error
	err := i.raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	switch {
	case err != nil || infoErr != nil:
		return EndUnknown
	case info.State == tcpCloseWait:
		return EndClosed
	case info.State == tcpClose:
		return EndReset
	}
	return EndUnknown
}

// Silent reports whether the kernel is retransmitting bytes and has received no acknowledgement for
// at least the given time. A slow endpoint does not count as silent: its kernel acknowledges bytes
// that its process has not read yet, and answers zero-window probes, which leave no segment
// unacknowledged.
func (i *Inspector) Silent(atLeast time.Duration) bool {
	var info *unix.TCPInfo
	var infoErr error
	err := i.raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return false
	}
	sinceLastACK := time.Duration(info.Last_ack_recv) * time.Millisecond
	return info.Unacked > 0 && info.Retransmits > 0 && sinceLastACK >= atLeast
}
