package wire

import (
	"bytes"
	"encoding"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/fault"
)

// maxHeaderBytes bounds a header, and each type definition that precedes it.
const maxHeaderBytes = 1 << 10

// Limits bounds what one connection may carry.
type Limits struct {
	// Hello bounds the bytes of a Hello or Ping, Regular those of an Update or Fetch, Handover
	// those of a Handover, and Document those of a reply.
	Hello, Regular, Handover, Document int
	// Write bounds the time to write one message.
	Write time.Duration
	// Read bounds the time to read the rest of a message that has begun.
	Read time.Duration
	// InFlight bounds the requests of one connection that a server processes concurrently.
	InFlight int
}

// requestBytes returns the bound on the body of a request.
func (l Limits) requestBytes(m Method) int {
	switch m {
	case MethodUpdate, MethodFetch:
		return l.Regular
	case MethodHandover:
		return l.Handover
	default:
		return l.Hello
	}
}

// stream is the common part of both codecs: one gob stream in each direction.
type stream struct {
	conn   net.Conn
	limits Limits
	frames *FrameReader
	dec    *gob.Decoder

	out bytes.Buffer
	enc *gob.Encoder

	closeOnce sync.Once
	closeErr  error
}

func (s *stream) init(conn net.Conn, limits Limits) {
	s.conn, s.limits = conn, limits
	s.frames = NewFrameReader(conn, maxHeaderBytes)
	s.dec = gob.NewDecoder(s.frames)
	s.enc = gob.NewEncoder(&s.out)
}

// write sends a header and a body in one call, so that a small message takes one packet. It closes
// the connection after an error, because the gob streams of the two ends may then disagree about
// the types that were defined.
func (s *stream) write(header, body any, limit int) error {
	s.out.Reset()
	err := s.encode(header)
	if err == nil {
		err = s.encode(body)
	}
	if err == nil && s.out.Len() > limit+maxHeaderBytes {
		err = fault.New(fault.BadMessage, "send it in smaller parts",
			"a message of %d bytes exceeds the limit of %d", s.out.Len(), limit)
	}
	if err == nil {
		err = s.flush()
	}
	if err != nil {
		s.Close()
	}
	return err
}

// encode appends a value to the buffer. Gob sends the description of a struct and of all its
// fields before the first value, even if the struct implements BinaryMarshaler. encode therefore
// gives gob the encoded bytes of such a value, which need no description.
func (s *stream) encode(value any) error {
	marshaler, ok := value.(encoding.BinaryMarshaler)
	if !ok {
		return s.enc.Encode(value)
	}
	data, err := marshaler.MarshalBinary()
	if err != nil {
		return err
	}
	return s.enc.Encode(data)
}

// flush writes the buffer. The deadline guards against a connection that died silently with a full
// send buffer, on which a write would block forever.
func (s *stream) flush() error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.limits.Write)); err != nil {
		return err
	}
	_, err := s.conn.Write(s.out.Bytes())
	if s.out.Cap() > maxKeptBufferBytes {
		s.out = bytes.Buffer{}
	}
	return err
}

// maxKeptBufferBytes is the largest buffer that a connection keeps between messages.
const maxKeptBufferBytes = 64 << 10

// read decodes one value. The limit applies to the value and to each of its type definitions.
func (s *stream) read(value any, limit int) error {
	s.frames.SetLimit(limit)
	unmarshaler, ok := value.(encoding.BinaryUnmarshaler)
	if !ok {
		return s.dec.Decode(value)
	}
	var data []byte
	if err := s.dec.Decode(&data); err != nil {
		return err
	}
	return unmarshaler.UnmarshalBinary(data)
}

// Close closes the connection; it may be called more than once.
func (s *stream) Close() error {
	s.closeOnce.Do(func() { s.closeErr = s.conn.Close() })
	return s.closeErr
}

// ClientCodec is the client end of a connection.
type ClientCodec struct{ stream }

var _ rpc.ClientCodec = (*ClientCodec)(nil)

// NewClientCodec returns a codec that owns conn.
func NewClientCodec(conn net.Conn, limits Limits) *ClientCodec {
	c := &ClientCodec{}
	c.init(conn, limits)
	return c
}

// WriteRequest implements rpc.ClientCodec.
func (c *ClientCodec) WriteRequest(r *rpc.Request, body any) error {
	method := MethodOf(r.ServiceMethod)
	return c.write(RequestHeader{Method: method, Seq: r.Seq}, body, c.limits.requestBytes(method))
}

// ReadResponseHeader implements rpc.ClientCodec. It waits without a deadline, because each call
// has its own timeout, after which the link closes the connection.
func (c *ClientCodec) ReadResponseHeader(r *rpc.Response) error {
	var header ResponseHeader
	if err := c.read(&header, maxHeaderBytes); err != nil {
		return err
	}
	r.Seq, r.Error = header.Seq, truncate(header.Fault)
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *ClientCodec) ReadResponseBody(body any) error {
	return c.read(body, c.limits.Document)
}

// Remote tells a ServerCodec about the other end of the connection.
type Remote interface {
	// HelloAccepted reports whether the Hello of the other end was accepted. Before that, the
	// codec accepts no request that is larger than a Hello.
	HelloAccepted() bool
	// IdleTimeout returns how long the codec waits for the next request.
	IdleTimeout() time.Duration
}

// ServerCodec is the server end of a connection.
type ServerCodec struct {
	stream
	remote Remote
	method Method        // of the latest request
	slots  chan struct{} // has an element for each request in progress
}

var _ rpc.ServerCodec = (*ServerCodec)(nil)

// NewServerCodec returns a codec that owns conn.
func NewServerCodec(conn net.Conn, limits Limits, remote Remote) *ServerCodec {
	c := &ServerCodec{remote: remote, slots: make(chan struct{}, limits.InFlight)}
	c.init(conn, limits)
	return c
}

// ReadRequestHeader implements rpc.ServerCodec. It blocks while the server processes the allowed
// number of requests of this connection. Net/rpc starts a goroutine for each request, so the
// memory of the server would otherwise grow without bound if a peer sent requests without waiting
// for the answers.
func (c *ServerCodec) ReadRequestHeader(r *rpc.Request) error {
	if c.method == MethodHello {
		c.awaitAnswers()
	}
	c.slots <- struct{}{}
	if err := c.readHeader(r); err != nil {
		<-c.slots
		return err
	}
	return nil
}

// awaitAnswers waits until no request is in progress. After a Hello, this keeps the codec from
// applying the short timeout of unknown peers to a peer whose Hello is still being processed, which
// would end its link after a few seconds.
func (c *ServerCodec) awaitAnswers() {
	for range cap(c.slots) {
		c.slots <- struct{}{}
	}
	for range cap(c.slots) {
		<-c.slots
	}
}

func (c *ServerCodec) readHeader(r *rpc.Request) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(c.remote.IdleTimeout())); err != nil {
		return err
	}
	var header RequestHeader
	if err := c.read(&header, maxHeaderBytes); err != nil {
		return err
	}
	c.method = header.Method
	r.ServiceMethod, r.Seq = header.Method.String(), header.Seq
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *ServerCodec) ReadRequestBody(body any) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(c.limits.Read)); err != nil {
		return err
	}
	limit := c.limits.Hello
	if c.remote.HelloAccepted() {
		limit = c.limits.requestBytes(c.method)
	}
	err := c.read(body, limit)
	if err != nil {
		// The gob stream cannot be decoded past a message that failed to decode.
		c.Close()
	}
	return err
}

// WriteResponse implements rpc.ServerCodec. Net/rpc calls it once for each request header that was
// read, and never concurrently.
func (c *ServerCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.slots }()
	return c.write(ResponseHeader{Seq: r.Seq, Fault: truncate(r.Error)}, body, c.limits.Document)
}
