package forward

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Outgoing is one attempt at a request.
type Outgoing struct {
	// Address is the endpoint's IP and port.
	Address string
	// Request supplies the method, URL path and query, host and headers. It is not modified.
	// Hop-by-hop headers are left out; its Body is not used.
	Request *http.Request
	// Body is the body to send, nil for none. Send reads it in another goroutine unless it is small
	// and in memory; see Interrupter. The caller of Send decides whether the body can be read again
	// for another attempt.
	Body io.Reader
	// ContentLength is the length of Body, negative if unknown.
	ContentLength int64
	// Trailer names the trailers. Its values are read after the end of Body. A body with trailers
	// is sent in chunks.
	Trailer http.Header
	// Extra contains the entry's own headers, which replace those of Request. Names are in
	// canonical form. If it contains "Expect: 100-continue", the endpoint is asked before the body
	// is sent. The same header in Request has this effect unless the body is small and in memory.
	Extra http.Header
	// Name identifies the request in all its attempts, "" if it has no name. A connection carries each
	// name once: a late second answer to one attempt would otherwise pass for the answer to another.
	Name string
	// Once is set when the request must run at most once. It is then sent only on a new connection
	// or on one that was alive within Config.FreshWithin.
	Once bool
	// OpenOnly is set when the request may be sent only on a connection that is already open. Without
	// one, Send fails with NoConnection at once. NewConn is set when it needs a new connection.
	OpenOnly, NewConn bool
	// MaySend, if not nil, is called when the connection is ready, right before the first byte is
	// written. If it returns false, nothing is written and Send fails with Withdrawn. Setting up a
	// connection may take long, and the process may be suspended meanwhile, so the caller may
	// already have been told that its request was not run.
	MaySend func() bool
	// IsStray, if not nil, reports from an answer's headers whether the answer belongs to another
	// request. An endpoint may answer a request twice, and the second answer then arrives in place
	// of the answer to the next request. A stray answer is discarded, the next one is read, and the
	// connection is closed afterwards.
	IsStray func(answer http.Header) bool
	// Informational, if not nil, is called with each 1xx answer of the endpoint except 100 and 101,
	// before Send returns.
	Informational func(status int, header http.Header)
}

// Delivery describes how far a request got. Times are those of Config.Clock.
type Delivery struct {
	// Wrote is set when at least one byte of the request was handed to the kernel. If it is not
	// set, the endpoint cannot have seen the request.
	Wrote bool
	// NewConn is set when a new connection was dialled for the request, even if the dial failed.
	NewConn bool
	// Dial is how long setting up the connection took.
	Dial time.Duration
	// Conn is the number of the connection in this process, 0 without one, and Carried how many
	// requests and probes it had carried before. StrayAnswers counts the answers that were discarded
	// because they belonged to other requests.
	Conn         uint64
	Carried      int
	StrayAnswers int
	// Started is when writing the request began, and FirstByte when the first byte of an answer
	// arrived. Each is zero if that did not happen.
	Started, FirstByte time.Duration
}

// Send sends a request on one connection and returns the head of its answer. The body of the answer
// is streamed; the caller of Send must close it. When ctx ends, even while the body is being read,
// the connection is closed, which cancels the endpoint's work. Errors of Send and of the body's
// Read are of type *Error; reading a truncated body never returns io.EOF. Send never sends a
// request twice.
func (c *Connections) Send(ctx context.Context, out Outgoing) (*http.Response, Delivery, error) {
	var delivery Delivery
	if ctx.Err() != nil {
		return nil, delivery, &Error{Failure: contextFailure(ctx), Address: out.Address, Cause: ctx.Err()}
	}
	got, err := c.acquire(ctx, &out)
	delivery.Dial, delivery.NewConn = got.dial, got.fresh
	if err != nil {
		return nil, delivery, err
	}
	used := got.conn
	delivery.Conn, delivery.Carried = used.number, used.uses
	used.carry(out.Name)
	if out.MaySend != nil && !out.MaySend() {
		got.pool.discard(used) // putIdle would count the connection as having delivered an answer
		return nil, delivery, &Error{Failure: Withdrawn, Address: out.Address}
	}
	x := &exchange{connections: c, pool: got.pool, conn: used, ctx: ctx, out: out, writtenBefore: used.written.Load()}
	x.watchContext()
	resp, err := x.run(&delivery)
	delivery.Wrote = used.written.Load() > x.writtenBefore
	delivery.StrayAnswers = x.strayAnswers
	if err != nil {
		return nil, delivery, x.fail(err)
	}
	return resp, delivery, nil
}

// exchange is one request and its answer on one connection.
type exchange struct {
	connections *Connections
	pool        *pool
	conn        *conn
	ctx         context.Context
	out         Outgoing
	// writtenBefore is the value of conn.written when the exchange began.
	writtenBefore int64
	// upload is nil while no goroutine sends a body.
	upload *upload
	// bodyPending is set while the body waits for the answer to "Expect: 100-continue".
	bodyPending bool
	// strayAnswers counts answers that belonged to other requests.
	strayAnswers int
	// unwatch stops watching ctx. It returns false if ctx has already ended.
	unwatch func() bool
}

// watchContext closes the connection when the context ends.
func (x *exchange) watchContext() {
	if x.ctx.Done() == nil {
		x.unwatch = func() bool { return true }
		return
	}
	x.unwatch = context.AfterFunc(x.ctx, func() { x.conn.abort(contextFailure(x.ctx)) })
}

// run writes the request and reads the head of the answer.
func (x *exchange) run(delivery *Delivery) (*http.Response, error) {
	clock := x.connections.cfg.Clock
	delivery.Started = clock()
	if err := x.writeRequest(); err != nil {
		return nil, err
	}
	resp, err := x.readHead(delivery)
	if err != nil {
		return nil, err
	}
	return x.prepareAnswer(resp)
}

// writeRequest writes the head. It also writes a small body or starts the upload of a large one,
// unless the body waits for the answer to "Expect: 100-continue".
func (x *exchange) writeRequest() error {
	body := x.out.framing()
	small, isSmall := x.out.inline(body)
	x.bodyPending = x.out.awaitsContinue(body, isSmall)
	w := x.conn.writer
	if err := x.out.writeHead(w, body, x.bodyPending); err != nil {
		return &Error{Failure: BadRequest, Address: x.out.Address, Cause: err}
	}
	if isSmall && !x.bodyPending {
		if _, err := small.WriteTo(w); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if body.hasBody() && !isSmall && !x.bodyPending {
		x.startUpload()
	}
	return nil
}

// startUpload sends the body in another goroutine, so that an answer that arrives before the end of
// the upload can be read.
func (x *exchange) startUpload() {
	x.bodyPending = false
	x.upload = &upload{
		conn:    x.conn,
		body:    x.out.Body,
		framing: x.out.framing(),
		trailer: x.out.Trailer,
		clock:   x.connections.cfg.Clock,
		done:    make(chan struct{}),
	}
	go x.upload.run()
}

// release ends the exchange after a whole answer. It keeps the connection for reuse if the answer
// allows that and both the request and the answer are complete.
func (x *exchange) release(reusable bool) {
	reusable = reusable && x.strayAnswers == 0 && !x.conn.encrypted && !x.conn.isSpent() && !x.bodyPending && (x.upload == nil || x.upload.finished())
	watched := x.unwatch()
	if reusable && watched && x.conn.reader.Buffered() == 0 {
		x.pool.putIdle(x.conn, x.connections.cfg.Clock())
		return
	}
	x.drop()
}

// drop ends the exchange and closes the connection.
func (x *exchange) drop() {
	x.unwatch()
	x.pool.discard(x.conn)
	if x.upload != nil {
		x.upload.end()
	}
}
