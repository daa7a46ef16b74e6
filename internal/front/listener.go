package front

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/tealhall/tealhall/internal/forward/socket"
)

// drainTime is how long connections that the kernel has accepted, or is about
// to, are still taken over before a listener closes. Closing it at once would
// reset them, perhaps with a request sent already. It is several times the way to
// a caller and back.
const drainTime = 30 * time.Millisecond

// firstRequestWait is how long a new connection may wait for its first request until
// a stop takes it for idle. Closing it at once would cut off a caller that has
// just connected and whose request is on its way.
const firstRequestWait = time.Second

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
		return l.server.newGuardedConn(tcp), nil
	}
}

// leave makes Accept end once it has taken over the waiting connections.
func (l *listener) leave() {
	l.leaving.Store(true)
	if raw, err := l.TCPListener.SyscallConn(); err == nil {
		// Without it a connection that is opened in the last instant is reset.
		_ = socket.StopOpening(raw)
	}
	l.TCPListener.SetDeadline(time.Now().Add(drainTime))
}

// setOptions makes the kernel notice a caller that went away without a word.
func (s *Server) setOptions(tcp *net.TCPConn) error {
	if err := tcp.SetKeepAliveConfig(socket.KeepAlive(s.cfg.KeepAlive)); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return socket.SetUserTimeout(raw, s.cfg.UserTimeout)
}

// guard wraps a new connection, inside TLS if that is set.
func (s *Server) newGuardedConn(tcp *net.TCPConn) *guardedConn {
	g := &guardedConn{Conn: tcp, tcp: tcp, cfg: &s.cfg, opened: time.Now()}
	if s.cfg.MayPipeline != nil {
		g.pipeline.server = s
	}
	if s.cfg.TLS != nil {
		g.Conn = tls.Server(tcp, s.cfg.TLS)
	}
	return g
}

// isIdle reports whether nothing of a request has arrived or is to be expected.
func (g *guardedConn) isIdle() bool {
	if !g.idle.Load() || g.headStarted.Load() {
		return false
	}
	if !g.used.Load() && time.Since(g.opened) < firstRequestWait {
		return false
	}
	raw, err := g.tcp.SyscallConn()
	if err != nil {
		return true
	}
	return socket.NewProbe(raw).Arrival() != socket.Bytes
}
