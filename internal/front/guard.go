package front

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tealhall/tealhall/internal/forward/socket"
	"github.com/tealhall/tealhall/internal/intake"
)

// refusedPath is the target of a placeholder request.
const refusedPath = "/.tealhall/refused"

// placeholderHead is the head of a placeholder request, which the server gets instead of a refused
// request. The refusal is thereby sent after the answers to earlier requests on the connection.
const placeholderHead = "GET " + refusedPath + " HTTP/1.1\r\nHost: refused\r\nConnection: close\r\n\r\n"

const (
	// smallHeadBuffer is the size up to which the buffer is kept between requests and not accounted
	// for.
	smallHeadBuffer = 4 << 10
	// headBufferSize is the initial size of the buffer for heads, which holds most heads, and the
	// size of the buffer for discarding what follows a refused head.
	headBufferSize = 1 << 10
	lingerTime     = 500 * time.Millisecond
	// smallestBuffer is a size that the kernel raises to its minimum.
	smallestBuffer = 1
	lingerBytes    = 256 << 10
)

// guardedConn is a caller's connection. It checks each head as a whole before it passes the head to
// net/http. net/http accepts some ambiguous heads and hides the ambiguity from the handler: a
// Content-Length beside a Transfer-Encoding, a Transfer-Encoding in HTTP/1.0, folded headers, bare
// line feeds. Bodies are passed on as they arrive.
type guardedConn struct {
	net.Conn
	tcp *net.TCPConn // Conn itself, or the connection below its TLS
	cfg *ServerConfig

	// The fields below belong to the reading goroutine; the server has one per connection at a
	// time.
	head  []byte // bytes read but not yet passed to the server
	scan  int    // where the search for the end of the head continues
	ready int    // bytes at the start of head that may be passed to the server
	body  bodyTracker
	// held accounts for head while it is large, else nil.
	held      *intake.Part
	malformed bool // the framing of the body is malformed; net/http refuses it too
	// pipeline starts requests before their turn.
	pipeline pipeline

	// refusedFor is the Violation for which a head was refused.
	refusedFor atomic.Uint32
	// headStarted is set from the first byte of a head until the server begins to handle the
	// request.
	headStarted atomic.Bool
	// idle is set while the server waits for a request, and used once the first request has
	// arrived.
	idle, used atomic.Bool
	// lingers is set once the server has sent the last answer.
	lingers atomic.Bool
	opened  time.Time

	mu           sync.Mutex
	deadline     time.Time // the deadline set by the server
	headDeadline time.Time // zero while no head is being read
}

// Read returns bytes of checked heads and of bodies. One call never returns bytes beyond the end of
// a request, so that the next head is checked before the server gets any of it.
func (g *guardedConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	g.stopReadAhead()
	if g.violation() != ViolationNone && g.ready == 0 {
		return g.discard()
	}
	if g.ready == 0 && g.body.ended() {
		if err := g.readHead(); err != nil {
			return 0, err
		}
		return g.deliverHead(p), nil
	}
	if g.ready > 0 {
		return g.copyReady(p), nil
	}
	return g.readBody(p)
}

// copyReady copies bytes of a checked head to p.
func (g *guardedConn) copyReady(p []byte) int {
	n := copy(p, g.head[:g.ready])
	g.consume(n)
	return n
}

// deliverHead copies the first bytes of a head to p. If the server reads them while another request
// is in progress, which is how it watches the connection, the new request is started before its
// turn.
func (g *guardedConn) deliverHead(p []byte) int {
	number := g.pipeline.countHead()
	if g.idle.Load() || g.violation() != ViolationNone || !g.body.ended() || g.pipeline.server == nil {
		return g.copyReady(p)
	}
	first := bytes.Clone(g.head[:g.ready])
	n := g.copyReady(p)
	g.startReadAhead(first, number)
	return n
}

// readHead reads until the head is complete, then checks it.
func (g *guardedConn) readHead() error {
	for {
		if end := g.headEnd(); end > 0 {
			g.headStarted.Store(true)
			g.endHead()
			g.acceptHead(end)
			return nil
		}
		if len(g.head) > g.cfg.limits().HeaderBytes {
			g.refuseHead(ViolationTooLarge)
			return nil
		}
		if len(g.head) > 0 {
			g.beginHead()
		}
		err := g.fill()
		if err == errNoHeadMemory {
			g.refuseHead(ViolationNoMemory)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// beginHead records that the caller has begun to send a head, and starts the deadline of the head.
func (g *guardedConn) beginHead() {
	g.headStarted.Store(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.headDeadline.IsZero() {
		g.headDeadline = time.Now().Add(g.cfg.limits().HeaderTimeout)
		g.applyDeadline()
	}
}

// fill reads more bytes into the buffer. The buffered bytes survive an interrupted read; the server
// interrupts the pending read at the end of every request.
func (g *guardedConn) fill() error {
	if cap(g.head)-len(g.head) < headBufferSize/2 && !g.growHead() {
		return errNoHeadMemory
	}
	n, err := g.Conn.Read(g.head[len(g.head):cap(g.head)])
	g.head = g.head[:len(g.head)+n]
	if n > 0 {
		return nil
	}
	if err == io.EOF && len(g.head) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// errNoHeadMemory is the error of fill when the account has no room for a larger buffer.
var errNoHeadMemory = errors.New("no memory is left for a larger head")

// growHead enlarges the buffer.
func (g *guardedConn) growHead() bool {
	size := max(headBufferSize, 2*cap(g.head))
	if size > smallHeadBuffer && !g.holdHead(int64(size)) {
		return false
	}
	grown := make([]byte, len(g.head), size)
	copy(grown, g.head)
	g.head = grown
	return true
}

// holdHead accounts for a buffer of the given size, in place of the present one.
func (g *guardedConn) holdHead(size int64) bool {
	held := g.cfg.Memory.Hold()
	if !held.Take(size) {
		return false
	}
	g.releaseHead()
	g.held = held
	return true
}

// releaseHead gives back the memory that holdHead took.
func (g *guardedConn) releaseHead() {
	if g.held != nil {
		g.held.Release()
		g.held = nil
	}
}

// shrinkHead drops an empty buffer that is large.
func (g *guardedConn) shrinkHead() {
	if len(g.head) == 0 && cap(g.head) > smallHeadBuffer {
		g.head = nil
		g.releaseHead()
	}
}

// headEnd returns the length of the head, or 0 if the head is incomplete. It drops empty lines
// before the request line, which RFC 9112 allows.
func (g *guardedConn) headEnd() int {
	for bytes.HasPrefix(g.head, []byte("\r\n")) {
		g.head = g.head[:copy(g.head, g.head[2:])]
		g.scan = 0
	}
	for {
		next := bytes.IndexByte(g.head[g.scan:], '\n')
		if next < 0 {
			return 0
		}
		end := g.scan + next + 1
		// A bare line feed may end the head for a lenient reader. It counts as the end here, and
		// checkHead refuses the head.
		if next == 0 || next == 1 && g.head[g.scan] == '\r' {
			g.scan = 0
			return end
		}
		g.scan = end
	}
}

// acceptHead checks the head and makes it ready for the server, or refuses it.
func (g *guardedConn) acceptHead(end int) {
	if end > g.cfg.limits().HeaderBytes {
		g.refuseHead(ViolationTooLarge)
		return
	}
	info, violation := checkHead(g.head[:end])
	if violation != ViolationNone {
		g.refuseHead(violation)
		return
	}
	g.ready = end
	g.body.start(info)
}

func (g *guardedConn) refuseHead(violation Violation) {
	g.endHead()
	g.refusedFor.Store(uint32(violation))
	g.head = append(g.head[:0], placeholderHead...)
	g.ready = len(g.head)
}

// violation returns the violation for which a head on this connection was refused, or
// ViolationNone.
func (g *guardedConn) violation() Violation { return Violation(g.refusedFor.Load()) }

func (g *guardedConn) consume(n int) {
	g.ready -= n
	g.dropHead(n)
}

// dropHead removes the first n bytes of the buffer.
func (g *guardedConn) dropHead(n int) {
	g.head = g.head[:copy(g.head, g.head[n:])]
	g.shrinkHead()
}

// readBody returns bytes of the body only. The lines of the chunked coding are read through the
// buffer of the connection, where the first bytes of the next head may stay.
func (g *guardedConn) readBody(p []byte) (int, error) {
	if g.malformed {
		return 0, io.ErrUnexpectedEOF
	}
	if len(g.head) == 0 {
		if data := g.body.data(); data > 0 {
			n, err := g.Conn.Read(p[:min(int64(len(p)), data)])
			g.trackBody(p[:n])
			return n, err
		}
		if err := g.fill(); err != nil {
			return 0, err
		}
	}
	n := g.trackBody(p[:copy(p, g.head)])
	g.dropHead(n)
	if n == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	return n, nil
}

// trackBody follows the body through b and returns how many bytes of b belong to it.
func (g *guardedConn) trackBody(b []byte) int {
	n, ok := g.body.advance(b)
	g.malformed = !ok
	return n
}

// discard reads and drops the bytes that follow a refused head, until the server closes the
// connection.
func (g *guardedConn) discard() (int, error) {
	var buffer [headBufferSize]byte
	for {
		if _, err := g.Conn.Read(buffer[:]); err != nil {
			return 0, err
		}
	}
}

// SetReadDeadline sets the server's deadline. While the server waits for a request, SetReadDeadline
// adds the time by which the limits in force now exceed those known to the server, and an
// incomplete head also has a deadline of its own. Without the head's deadline, a caller that sends
// byte by byte could use the whole idle timeout for each head. While a request is in progress, the
// server reads without a deadline, and an expired deadline would cancel that request.
func (g *guardedConn) SetReadDeadline(t time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle.Load() && !t.IsZero() {
		t = t.Add(g.cfg.extraTime())
	}
	g.deadline = t
	return g.applyDeadline()
}

// endHead removes the deadline of the head.
func (g *guardedConn) endHead() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.headDeadline.IsZero() {
		return
	}
	g.headDeadline = time.Time{}
	g.applyDeadline()
}

func (g *guardedConn) applyDeadline() error {
	effective := g.deadline
	if !effective.IsZero() && !g.headDeadline.IsZero() && g.headDeadline.Before(effective) {
		effective = g.headDeadline
	}
	return g.Conn.SetReadDeadline(effective)
}

// SetDeadline sets the server's read deadline and the write deadline.
func (g *guardedConn) SetDeadline(t time.Time) error {
	if err := g.SetReadDeadline(t); err != nil {
		return err
	}
	return g.Conn.SetWriteDeadline(t)
}

// CloseWrite lets the server close the connection in two steps, so that a caller that is still
// sending can read the answer before the connection is closed.
func (g *guardedConn) CloseWrite() error {
	g.lingers.Store(true)
	if raw, err := g.tcp.SyscallConn(); err == nil {
		// What the caller still sends is not wanted, and stays with the caller while the server waits.
		_ = socket.SetReceiveBuffer(raw, smallestBuffer)
		socket.Discard(raw, lingerBytes)
	}
	if half, ok := g.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection. After a refusal, or an answer to a request whose body was not read, it
// first discards input, up to lingerTime and lingerBytes, because closing a connection with unread bytes
// resets it, and the caller might then never read the answer.
func (g *guardedConn) Close() error {
	if g.violation() != ViolationNone || g.lingers.Load() {
		g.CloseWrite()
		g.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		io.CopyN(io.Discard, g.Conn, lingerBytes)
	}
	return g.Conn.Close()
}
