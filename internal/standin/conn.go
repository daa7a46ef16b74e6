package standin

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// connections tracks the open connections of one server, so that a fault can be injected into all
// of them at once.
type connections struct {
	clock Clock
	// delay postpones the first read of each new connection. It simulates the cost of setting up a
	// connection.
	delay time.Duration

	accepted atomic.Int64

	mu   sync.Mutex
	open map[*conn]struct{}
}

func newConnections(clock Clock, delay time.Duration) *connections {
	return &connections{clock: clock, delay: delay, open: make(map[*conn]struct{})}
}

// blackHole silences every open connection permanently and returns their number. New connections
// work.
func (c *connections) blackHole() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		conn.silent.Store(true)
	}
	return len(c.open)
}

// reset closes every open connection with a TCP reset.
func (c *connections) reset() {
	c.mu.Lock()
	open := make([]*conn, 0, len(c.open))
	for conn := range c.open {
		open = append(open, conn)
	}
	c.mu.Unlock()
	for _, conn := range open {
		if tcp, ok := conn.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// count returns how many connections are open.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// listener wraps each accepted connection in a conn.
type listener struct {
	net.Listener
	conns *connections
}

func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &conn{Conn: accepted, conns: l.conns, closed: make(chan struct{}), readDeadlineSet: make(chan struct{}, 1)}
	l.conns.accepted.Add(1)
	l.conns.mu.Lock()
	l.conns.open[wrapped] = struct{}{}
	l.conns.mu.Unlock()
	return wrapped, nil
}

// conn is a connection that can be silenced: it then drops incoming and outgoing data and hides
// that the peer closed it. It simulates a device on the path, such as a NAT gateway, that has lost
// the state of the connection.
type conn struct {
	net.Conn
	conns     *connections
	silent    atomic.Bool
	setUpDone atomic.Bool // the set-up delay is over

	closeOnce       sync.Once
	closed          chan struct{}
	readDeadlineSet chan struct{} // signals that a read deadline was set while silent
}

// Read drops incoming data while the connection is silent. It still returns after Close and at a
// read deadline, because the HTTP server uses both to interrupt its own pending reads.
func (c *conn) Read(p []byte) (int, error) {
	c.setUp()
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		if err == nil {
			continue
		}
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return 0, err
		}
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-c.readDeadlineSet:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// SetReadDeadline also interrupts a Read that keeps waiting after the peer closed the connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && c.silent.Load() {
		select {
		case c.readDeadlineSet <- struct{}{}:
		default:
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.conns.mu.Lock()
		delete(c.conns.open, c)
		c.conns.mu.Unlock()
	})
	return c.Conn.Close()
}

// setUp waits for the set-up delay before the first read.
func (c *conn) setUp() {
	if c.conns.delay <= 0 || c.setUpDone.Swap(true) {
		return
	}
	fired, stop := c.conns.clock.After(c.conns.delay)
	defer stop()
	select {
	case <-fired:
	case <-c.closed:
	}
}
