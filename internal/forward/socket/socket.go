// Package socket sets the TCP options of tealhall's connections and asks the
// kernel about a connection without reading from it.
package socket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveCount is how many keep-alive probes may stay unanswered.
const keepAliveCount = 3

// KeepAlive returns the options by which an idle connection whose other end is
// gone ends after four periods at most.
func KeepAlive(period time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: period, Interval: period, Count: keepAliveCount}
}

// SetUserTimeout bounds how long sent bytes may stay unacknowledged, and how
// long the other end may keep its window closed. Without it the kernel tries
// for about 15 minutes, during which a connection that something between the
// two ends has forgotten looks merely slow.
func SetUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// Listen listens on an IP:port by plain TCP. Go's default for listeners is
// Multipath TCP, whose sockets take neither filters nor all TCP options.
func Listen(address string) (*net.TCPListener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// The byte of the flags in a TCP header, and the flag of a first segment.
const (
	tcpFlagsOffset   = 13
	tcpFlagSYN       = 0x02
	keepWholeSegment = 1 << 16
)

// dropSYN is a filter that drops the segments that open connections.
var dropSYN = [...]unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jf: 1, K: tcpFlagSYN},
	{Code: unix.BPF_RET | unix.BPF_K},
	{Code: unix.BPF_RET | unix.BPF_K, K: keepWholeSegment},
}

// DropNewConnections makes a listening socket ignore those who want to open a
// connection, while connections that are being opened are still completed.
// Guards against the reset of a connection that the kernel opened just before a
// listener closes: its caller may have sent a request already. Whoever is
// ignored tries again after a second and is refused then.
func DropNewConnections(raw syscall.RawConn) error {
	program := unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]}
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	return errors.Join(err, optErr)
}

// Arrival is what a connection would give to a read.
type Arrival uint8

// The arrivals.
const (
	// Nothing: a read would wait.
	Nothing Arrival = iota
	// Bytes: there is something to read.
	Bytes
	// Ended: the other end closed or reset the connection, or it is closed here.
	Ended
)

// Probe asks the kernel about one connection. It is for one goroutine at a time,
// but for Silent.
type Probe struct {
	raw syscall.RawConn
	// peek is made once so that a look allocates nothing.
	peek    func(fd uintptr)
	arrival Arrival
}

// NewProbe returns a probe of the connection.
func NewProbe(raw syscall.RawConn) *Probe {
	p := &Probe{raw: raw}
	p.peek = p.peekFD
	return p
}

// Arrival tells what came in and was not read.
func (p *Probe) Arrival() Arrival {
	p.arrival = Ended
	if err := p.raw.Control(p.peek); err != nil {
		return Ended
	}
	return p.arrival
}

func (p *Probe) peekFD(fd uintptr) {
	var buffer [1]byte
	n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN:
		p.arrival = Nothing
	case err == nil && n > 0:
		p.arrival = Bytes
	}
}

// Silent reports whether the kernel has sent bytes again and for at least the
// given time nothing at all came back. A slow endpoint differs: its kernel
// acknowledges what its program does not read yet, and answers the probes of a
// closed window, which leave no segment unacknowledged.
func (p *Probe) Silent(atLeast time.Duration) bool {
	var info *unix.TCPInfo
	var infoErr error
	err := p.raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return false
	}
	sinceLastACK := time.Duration(info.Last_ack_recv) * time.Millisecond
	return info.Unacked > 0 && info.Retransmits > 0 && sinceLastACK >= atLeast
}
