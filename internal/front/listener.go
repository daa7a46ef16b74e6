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

// drainTime is how long a listener that is closing still accepts connections that the kernel has
// established or is about to establish. Closing at once would reset them, possibly after the caller
// has sent a request. The time is several times the round trip to a caller.
const drainTime = 30 * time.Millisecond

// firstRequestWait is how long a stopping server waits for the first request on a new connection
// before it treats the connection as idle. Closing it at once would cut off a caller that has just
// connected and whose request is on its way.
const firstRequestWait = time.Second

// receiveBuffer bounds the bytes that the kernel receives on a caller's connection ahead of the server. By
// default the kernel lets it grow to several megabytes for each connection.
const receiveBuffer = 32 << 10

// boundReceiveBuffers sets receiveBuffer for the connections that l accepts.
func boundReceiveBuffers(l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	return socket.SetReceiveBuffer(raw, receiveBuffer)
}

// listener accepts TCP connections and wraps them as guarded connections.
type listener struct {
	*net.TCPListener
	server  *Server
	leaving atomic.Bool
}

// Accept waits for a connection and sets its TCP options. After leave it first returns the
// connections that the kernel has established.
func (l *listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.TCPListener.AcceptTCP()
		if err != nil {
			if !l.leaving.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
				return nil, err
			}
			if l.connectionWaits() {
				l.TCPListener.SetDeadline(time.Now().Add(drainTime))
				continue
			}
			l.TCPListener.Close()
			return nil, net.ErrClosed
		}
		if err := l.server.setOptions(tcp); err != nil {
			tcp.Close()
			continue
		}
		return l.server.newGuardedConn(tcp), nil
	}
}

// leave makes Accept end once it has accepted the waiting connections.
func (l *listener) leave() {
	l.leaving.Store(true)
	if raw, err := l.TCPListener.SyscallConn(); err == nil {
		// Without DropNewConnections, a connection that is opened just before the close is reset.
		_ = socket.DropNewConnections(raw)
	}
	l.TCPListener.SetDeadline(time.Now().Add(drainTime))
}

// connectionWaits reports whether the kernel has a connection to accept. The deadline of the
// listener may have passed before this goroutine got processor time to accept all of them.
func (l *listener) connectionWaits() bool {
	raw, err := l.TCPListener.SyscallConn()
	return err == nil && socket.ConnectionWaits(raw)
}

// setOptions makes the kernel detect a caller that disappears without closing its connection.
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

// newGuardedConn wraps a new connection, and adds TLS if that is configured.
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

// isIdle reports whether no request is in progress, has begun to arrive or is expected as the first
// request of a new connection.
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
	return socket.NewInspector(raw).ReadState() != socket.HasBytes
}
