package front

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveCount is how many keep-alive probes may stay unanswered.
const keepAliveCount = 3

// drainTime is how long connections that the kernel has accepted are still
// taken over before a listener closes. Closing it at once would reset them,
// perhaps with a request sent already.
const drainTime = 20 * time.Millisecond

// listener gives the server guarded connections.
type listener struct {
	*net.TCPListener
	server  *Server
	leaving atomic.Bool
}

// Accept waits for a connection and sets its TCP options. After close it first
// returns the connections that the kernel holds.
func (l *listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.TCPListener.AcceptTCP()
		if err != nil {
			if l.leaving.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
				l.TCPListener.Close()
				return nil, net.ErrClosed
			}
			return nil, err
		}
		if err := l.server.setOptions(tcp); err != nil {
			tcp.Close()
			continue
		}
		return l.server.guard(tcp), nil
	}
}

// leave makes Accept end once it has taken over the waiting connections.
func (l *listener) leave() {
	l.leaving.Store(true)
	l.TCPListener.SetDeadline(time.Now().Add(drainTime))
}

// setOptions makes the kernel notice a caller that went away without a word.
func (s *Server) setOptions(tcp *net.TCPConn) error {
	err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     s.cfg.KeepAlive,
		Interval: s.cfg.KeepAlive,
		Count:    keepAliveCount,
	})
	raw, rawErr := tcp.SyscallConn()
	if err != nil || rawErr != nil {
		return errors.Join(err, rawErr)
	}
	return setUserTimeout(raw, s.cfg.UserTimeout)
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// guard wraps a new connection, inside TLS if that is set.
func (s *Server) guard(tcp *net.TCPConn) *guard {
	g := &guard{Conn: tcp, socket: tcp, maxHead: s.cfg.MaxHeaderBytes, slow: s.cfg.ReadHeaderTimeout}
	if s.cfg.TLS != nil {
		g.Conn = tls.Server(tcp, s.cfg.TLS)
	}
	return g
}

// quiet reports whether nothing of a request has arrived.
func (g *guard) quiet() bool {
	if !g.idle.Load() || g.partial.Load() {
		return false
	}
	raw, err := g.socket.SyscallConn()
	if err != nil {
		return true
	}
	empty := true
	raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err != nil || n == 0
	})
	return empty
}
