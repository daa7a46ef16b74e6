package front

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// refusedPath is the target of the request that stands in for a refused one.
const refusedPath = "/.tealhall/refused"

// placeholderHead is given to the server in place of a refused head. The refusal so
// takes its turn behind the answers to earlier requests on the connection.
const placeholderHead = "GET " + refusedPath + " HTTP/1.1\r\nHost: refused\r\nConnection: close\r\n\r\n"

const (
	// headBufferSize is the first size of the buffer for heads, which most heads fit into, and
	// that of what is read on for a refused request.
	headBufferSize = 1 << 10
	lingerTime     = 500 * time.Millisecond
	lingerBytes    = 256 << 10
)

// guardedConn is a caller's connection. It shows the server each head only after
// checking it whole, since net/http accepts some misleading shapes and removes
// their traces before a handler sees the request: a Content-Length beside a
// Transfer-Encoding, a Transfer-Encoding in HTTP/1.0, folded headers, bare line
// feeds. Bodies are passed on as they come.
type guardedConn struct {
	net.Conn
	tcp *net.TCPConn // Conn, or what it is on top of
	cfg *ServerConfig

	// The fields below belong to the reading goroutine; the server has one at
	// a time.
	head      []byte // bytes read but not yet given out
	scan      int    // where the search for the end of the head goes on
	ready     int    // bytes at the start of head that may be given out
	body      bodyTracker
	malformed bool // the body broke the rules; net/http refuses it too
	// pipeline begins requests before the server comes to them.
	pipeline pipeline

	// refusedFor is set when a head was refused.
	refusedFor atomic.Uint32
	// headStarted is set from the first byte of a head until the server works on the
	// request.
	headStarted atomic.Bool
	// idle is set while the server waits for a request, used once there was one.
	idle, used atomic.Bool
	opened     time.Time

	mu           sync.Mutex
	deadline     time.Time // as the server set it
	headDeadline time.Time // zero while no head is being read
}

// Read gives out checked heads and bodies. One call never crosses the end of a
// request, so that the next head is checked before any of it is seen.
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

// copyReady gives out bytes of a head that is ready.
func (g *guardedConn) copyReady(p []byte) int {
	n := copy(p, g.head[:g.ready])
	g.consume(n)
	return n
}

// deliverHead gives out the first bytes of a head. If they were asked for while a
// request is worked on, which is how the server watches the connection, the request
// is begun ahead of its turn.
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

// readHead reads until a whole head is there, then checks it.
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
		if err := g.fill(); err != nil {
			return err
		}
	}
}

// beginHead notes that the caller has begun to send a head.
func (g *guardedConn) beginHead() {
	g.headStarted.Store(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.headDeadline.IsZero() {
		g.headDeadline = time.Now().Add(g.cfg.limits().HeaderTimeout)
		g.applyDeadline()
	}
}

// fill reads more into the buffer. What it has read so far is kept when the read is
// interrupted, which the server does to every request that ends.
func (g *guardedConn) fill() error {
	if cap(g.head)-len(g.head) < headBufferSize/2 {
		grown := make([]byte, len(g.head), max(headBufferSize, 2*cap(g.head)))
		copy(grown, g.head)
		g.head = grown
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

// headEnd returns the length of the head if it is whole, else 0. Empty lines
// before a request line are allowed by RFC 9112 and dropped.
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
		// A bare line feed may end the head for a lenient reader; it is taken for
		// the end here, and refused by the check.
		if next == 0 || next == 1 && g.head[g.scan] == '\r' {
			g.scan = 0
			return end
		}
		g.scan = end
	}
}

// acceptHead checks the head and makes it, or the stand-in for it, ready.
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

// violation returns the shape that was refused on this connection, if any.
func (g *guardedConn) violation() Violation { return Violation(g.refusedFor.Load()) }

func (g *guardedConn) consume(n int) {
	g.ready -= n
	g.head = g.head[:copy(g.head, g.head[n:])]
}

// readBody gives out bytes of the body only. The lines of the chunked coding go
// through the guard's own buffer, where the next head's first bytes may stay.
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
	g.head = g.head[:copy(g.head, g.head[n:])]
	if n == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	return n, nil
}

// trackBody follows the body through b and returns how much of b belongs to it.
func (g *guardedConn) trackBody(b []byte) int {
	n, ok := g.body.advance(b)
	g.malformed = !ok
	return n
}

// discard reads and drops what follows a refused head, until the server closes
// the connection.
func (g *guardedConn) discard() (int, error) {
	var scrap [headBufferSize]byte
	for {
		if _, err := g.Conn.Read(scrap[:]); err != nil {
			return 0, err
		}
	}
}

// SetReadDeadline sets the server's deadline, later where callers may be idle for longer than
// the server knows. While the server waits for a
// request under a deadline, a head in the making also has its own. Without the
// latter a caller could take the whole idle time-out for each head, byte by
// byte. While a request is worked on, the server reads without a deadline and
// an expired one would cancel that request.
func (g *guardedConn) SetReadDeadline(t time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle.Load() && !t.IsZero() {
		t = t.Add(g.cfg.extraTime())
	}
	g.deadline = t
	return g.applyDeadline()
}

// endHead lifts the head's own deadline.
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

// SetDeadline keeps the two deadlines of this type apart.
func (g *guardedConn) SetDeadline(t time.Time) error {
	if err := g.SetReadDeadline(t); err != nil {
		return err
	}
	return g.Conn.SetWriteDeadline(t)
}

// CloseWrite lets the server close in two steps, so that a caller that is still
// sending reads the answer before it learns that nobody listens.
func (g *guardedConn) CloseWrite() error {
	if half, ok := g.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection; after a refusal it first reads on for a while,
// since a close with unread bytes resets the connection and the caller might
// never see why it was refused.
func (g *guardedConn) Close() error {
	if g.violation() != ViolationNone {
		g.CloseWrite()
		g.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		io.CopyN(io.Discard, g.Conn, lingerBytes)
	}
	return g.Conn.Close()
}
