package forward

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"hash/maphash"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tealhall/tealhall/internal/forward/socket"
)

// The sizes of each connection's buffers. They are small because an entry keeps several
// connections to each endpoint, most of them idle. Larger data passes through in several pieces.
const (
	readBufferSize  = 2 << 10
	writeBufferSize = 1 << 10
)

// errHeadTooLarge is the error of a read when the head of an answer exceeds its limit.
var errHeadTooLarge = errors.New("the head of the answer is too large")

// conn is one TCP connection to an endpoint. It belongs to one exchange at a time, or to its pool.
// Other goroutines may only call abort and inspector.Silent.
type conn struct {
	net.Conn
	// tcp is Conn itself, or the connection below it if Conn is TLS. encrypted is set for TLS.
	tcp       *net.TCPConn
	encrypted bool
	inspector *socket.Inspector
	reader    *bufio.Reader
	writer    *bufio.Writer

	// written counts the bytes handed to the kernel. It shows whether any byte of a request was
	// written. It is atomic because the uploading goroutine writes too.
	written atomic.Int64
	// headLeft is how many bytes the head of the answer may still take.
	headLeft int64
	// received records the bytes that are read, nil while none are recorded.
	received *[]byte
	// readErr is the last error of Read. The parsers hide it: they report a truncated line as
	// malformed.
	readErr error

	// number identifies the connection in this process. uses counts the requests and probes that it
	// has carried.
	number uint64
	uses   int
	// carried has the hashes of the names of the requests that the connection has carried.
	carried []uint64

	// index is the position in pool.all; guarded by the lock of the pool.
	index int
	// aliveAt is when the connection was set up or last delivered a whole answer.
	aliveAt time.Duration

	abortOnce sync.Once
	// aborted is the Failure for which abort closed the connection.
	aborted atomic.Uint32
}

func newConn(tcp *net.TCPConn, now time.Duration) (*conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: tcp, tcp: tcp, inspector: socket.NewInspector(raw), headLeft: math.MaxInt64, aliveAt: now}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	c.writer = bufio.NewWriterSize(c, writeBufferSize)
	return c, nil
}

// encrypt performs the TLS handshake and encrypts the connection from then on.
func (c *conn) encrypt(ctx context.Context, config *tls.Config) error {
	secure := tls.Client(c.tcp, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		return err
	}
	c.Conn, c.encrypted = secure, true
	return nil
}

// Read reads from the connection, within the limit on the answer's head.
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
	if c.received != nil {
		*c.received = append(*c.received, p[:n]...)
	}
	if c.headLeft != math.MaxInt64 {
		c.headLeft -= int64(n)
	}
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// limitHead limits the bytes that may be read until unlimitHead is called.
func (c *conn) limitHead(limit int64) { c.headLeft = limit }

// recordings is a pool of buffers for the bytes of heads.
var recordings = sync.Pool{New: func() any { return new([]byte) }}

// record records what is read from the connection from the next byte of the reader on.
func (c *conn) record() {
	c.received = recordings.Get().(*[]byte)
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	*c.received = append((*c.received)[:0], buffered...)
}

// endRecord ends the recording after use has been called with the bytes, which it must not keep.
func (c *conn) endRecord(use func(received []byte)) {
	received := c.received
	c.received = nil
	use(*received)
	recordings.Put(received)
}

// unlimitHead lifts the limit, so that the body of the answer can be read.
func (c *conn) unlimitHead() { c.headLeft = math.MaxInt64 }

// reusable reports whether the idle connection can carry another request. Unsolicited bytes would
// be taken for the answer to the next request, which may be another caller's. With TLS they cannot
// be detected, because TLS sends records of its own and buffers bytes that it has read.
func (c *conn) reusable() bool {
	return !c.encrypted && c.reader.Buffered() == 0 && c.inspector.ReadState() == socket.WouldBlock
}

// maxNamesPerConn is how many named requests one connection carries. It bounds the memory for their
// names.
const maxNamesPerConn = 256

// nameSeed is the seed of the hashes of names. Callers choose the names.
var nameSeed = maphash.MakeSeed()

// carry records that the connection is used for a request of the given name, "" for none.
func (c *conn) carry(name string) {
	c.uses++
	if name != "" {
		c.carried = append(c.carried, maphash.String(nameSeed, name))
	}
}

// hasCarried reports whether the connection was used for a request of the given name. Two names with
// the same hash cost no more than a new connection.
func (c *conn) hasCarried(name string) bool {
	return name != "" && slices.Contains(c.carried, maphash.String(nameSeed, name))
}

// isSpent reports whether the connection has carried as many named requests as it may.
func (c *conn) isSpent() bool { return len(c.carried) >= maxNamesPerConn }

// abort closes the connection for the given reason; only the first call has an effect. The endpoint
// sees this as the cancellation of the request.
func (c *conn) abort(reason Failure) {
	c.abortOnce.Do(func() {
		c.aborted.Store(uint32(reason))
		c.tcp.Close() // closing the TLS connection would wait to send its close_notify alert
	})
}

// abortedFor returns the reason given to abort, or None if abort was not called.
func (c *conn) abortedFor() Failure { return Failure(c.aborted.Load()) }
