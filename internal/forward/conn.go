package forward

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tealhall/tealhall/internal/forward/socket"
)

// The sizes of each connection's buffers. An entry holds some to each endpoint, most
// of them idle; what is larger than a buffer passes in several pieces.
const (
	readBufferSize  = 2 << 10
	writeBufferSize = 1 << 10
)

// errHeadTooLarge ends the reading of an answer whose head is too large.
var errHeadTooLarge = errors.New("the head of the answer is too large")

// conn is one TCP connection to an endpoint. It belongs to one exchange at a
// time, or to its pool; only abort and silent may be called by others.
type conn struct {
	net.Conn
	// tcp is Conn, or what it is on top of; encrypted tells the two apart.
	tcp       *net.TCPConn
	encrypted bool
	probe     *socket.Probe
	reader    *bufio.Reader
	writer    *bufio.Writer

	// written counts the bytes that the kernel took over, for "no byte of this
	// request was written"; the uploading goroutine writes too.
	written atomic.Int64
	// headLeft is how many bytes the head of the answer may still take.
	headLeft int64
	// readErr is the last error of Read, for what the parsers hide: they call a
	// line that was cut off malformed.
	readErr error

	// index is the index in pool.all; guarded by the pool.
	index int
	// aliveAt is when the connection was set up or last brought a whole answer.
	aliveAt time.Duration

	abortOnce sync.Once
	// aborted is why abort closed the connection.
	aborted atomic.Uint32
}

func newConn(tcp *net.TCPConn, now time.Duration) (*conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: tcp, tcp: tcp, probe: socket.NewProbe(raw), headLeft: math.MaxInt64, aliveAt: now}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	c.writer = bufio.NewWriterSize(c, writeBufferSize)
	return c, nil
}

// encrypt puts the connection inside TLS.
func (c *conn) encrypt(ctx context.Context, config *tls.Config) error {
	secure := tls.Client(c.tcp, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		return err
	}
	c.Conn, c.encrypted = secure, true
	return nil
}

// Read reads from the connection within the bound on the answer's head.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft <= 0 {
		c.readErr = errHeadTooLarge
		return 0, errHeadTooLarge
	}
	if int64(len(p)) > c.headLeft {
		p = p[:c.headLeft]
	}
	n, err := c.Conn.Read(p)
	c.readErr = err
	if c.headLeft != math.MaxInt64 {
		c.headLeft -= int64(n)
	}
	return n, err
}

// Write writes to the connection and counts.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// limitHead bounds the bytes that may be read until unlimit.
func (c *conn) limitHead(limit int64) { c.headLeft = limit }

// unlimitHead lifts the bound for the body of the answer.
func (c *conn) unlimitHead() { c.headLeft = math.MaxInt64 }

// reusable reports whether the idle connection can carry another request. Bytes
// that came unasked would be taken for the answer to the next request, which
// may be another caller's. Inside TLS that can't be seen: it sends bytes of its
// own, and keeps some that it has read.
func (c *conn) reusable() bool {
	return !c.encrypted && c.reader.Buffered() == 0 && c.probe.Arrival() == socket.Nothing
}

// abort closes the connection for the given reason; the first reason counts.
// For the endpoint this is the cancellation of the request.
func (c *conn) abort(reason Failure) {
	c.abortOnce.Do(func() {
		c.aborted.Store(uint32(reason))
		c.tcp.Close() // TLS would wait to say goodbye
	})
}

// abortedFor returns why abort was called, or None.
func (c *conn) abortedFor() Failure { return Failure(c.aborted.Load()) }
