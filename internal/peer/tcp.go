package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// dialTCP returns the default dialer. The kernel closes its connections when sent bytes stay
// unacknowledged for the timeout.
func dialTCP(timeout time.Duration) func(context.Context, string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive(timeout)}
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		configureTCP(conn, timeout)
		return conn, nil
	}
}

const (
	// keepAliveProbes is the number of unanswered probes that ends an idle connection.
	keepAliveProbes = 3
	// keepAliveIdle is the silence before the first probe. Pings and the server's idle timeout
	// detect a dead connection much earlier, so the kernel's probes are only a fallback. With a
	// probe after each second of silence, probes were two thirds of all packets between 60
	// entries.
	keepAliveIdle = time.Minute
)

func keepAlive(timeout time.Duration) net.KeepAliveConfig {
	interval := max(timeout/(keepAliveProbes+1), time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: interval, Count: keepAliveProbes}
}

// configureTCP makes the kernel close a TCP connection on which sent bytes stay unacknowledged. It
// backs up the heartbeats: when a network device has lost the connection's state, TCP would
// otherwise retransmit for many minutes.
func configureTCP(conn net.Conn, timeout time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	// Errors are ignored because the heartbeats detect a dead connection without the kernel.
	_ = tcp.SetKeepAliveConfig(keepAlive(timeout))
	setUserTimeout(tcp, timeout)
}

// meter counts the bytes of a connection.
type meter struct {
	in, out atomic.Uint64
}

// meteredConn adds the bytes that pass through a connection to a meter.
type meteredConn struct {
	net.Conn
	meter *meter
}

func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.in.Add(uint64(n))
	return n, err
}

func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.out.Add(uint64(n))
	return n, err
}
