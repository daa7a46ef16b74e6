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
	// Request gives method, URL path and query, host and headers. It is not
	// modified. Hop-by-hop headers are left out; its Body is not used.
	Request *http.Request
	// Body is what to send; nil for none. Send reads it in another goroutine
	// unless it is small and in memory, see Interrupter. The caller decides
	// whether it can be read again for another attempt.
	Body io.Reader
	// ContentLength is the length of Body, negative if it is not known.
	ContentLength int64
	// Trailer names the trailers; its values are read after Body's end. A body
	// with trailers is sent in chunks.
	Trailer http.Header
	// Extra holds the entry's own headers; they replace those of Request. Names
	// are in canonical form. With "Expect: 100-continue" in it, or in Request
	// unless the body is small and in memory, the endpoint is asked before the
	// body is sent.
	Extra http.Header
	// Once is set when the request must run at most once: it goes only on a new
	// connection or one that brought an answer within Config.FreshWithin.
	Once bool
	// MaySend, if not nil, is asked once the connection is there, right before the
	// first byte is written. If it is false, nothing is, and Send fails with
	// Withdrawn. To set up a connection may take long, and the process may sleep
	// meanwhile; whoever waited may have been told that nothing was sent.
	MaySend func() bool
	// Stray, if not nil, reports by its headers whether an answer belongs to another
	// request: an endpoint may answer a request twice, and the second answer arrives
	// where the next one is due. A stray answer is dropped, the next one is read, and
	// the connection is closed after that.
	Stray func(answer http.Header) bool
	// Informational, if not nil, gets the endpoint's 1xx answers but 100. It is
	// called before Send returns.
	Informational func(status int, header http.Header)
}

// Delivery tells how far a request got. Times are those of Config.Clock.
type Delivery struct {
	// Wrote is set when at least one byte of the request was handed to the
	// kernel. If it is not set, the endpoint can't have seen the request.
	Wrote bool
	// NewConn is set when a new connection was set up, or tried, for it.
	NewConn bool
	// Dial is how long the set-up of the connection took.
	Dial time.Duration
	// Started is when writing began, FirstByte when the answer began; zero if
	// they did not.
	Started, FirstByte time.Duration
}

// Send sends a request on one connection and returns the head of its answer.
// The body of the answer is streamed; the caller closes it. An error of its
// Read is an *Error; a cut-off answer never ends in io.EOF. Ending ctx closes
// the connection, which cancels the endpoint's work, also while the body of the
// answer is read. Errors are *Error. Nothing is ever sent twice.
func (c *Connections) Send(ctx context.Context, out Outgoing) (*http.Response, Delivery, error) {
	var delivery Delivery
	if ctx.Err() != nil {
		return nil, delivery, &Error{Failure: contextFailure(ctx), Address: out.Address, Cause: ctx.Err()}
	}
	got, err := c.acquire(ctx, out.Address, out.Once)
	delivery.Dial, delivery.NewConn = got.dial, got.fresh
	if err != nil {
		return nil, delivery, err
	}
	used := got.conn
	if out.MaySend != nil && !out.MaySend() {
		got.pool.discard(used) // put would take it for one that brought an answer
		return nil, delivery, &Error{Failure: Withdrawn, Address: out.Address}
	}
	x := &exchange{connections: c, pool: got.pool, conn: used, ctx: ctx, out: out, writtenBefore: used.written.Load()}
	x.watchContext()
	resp, err := x.run(&delivery)
	delivery.Wrote = used.written.Load() > x.writtenBefore
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
	// writtenBefore is conn.written at the start.
	writtenBefore int64
	// upload is nil while no goroutine sends a body.
	upload *upload
	// bodyPending is set while the endpoint was not yet asked for, or sent, the body.
	bodyPending bool
	// strayAnswers counts answers that belonged to other requests.
	strayAnswers int
	// unwatch ends the watch of ctx; it returns false if ctx ended before.
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

// writeRequest writes the head and a small body, or starts the upload.
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

// startUpload sends the body in another goroutine, so that an answer that comes
// before the upload's end is seen.
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

// release ends the exchange after a whole answer: the connection is reused if
// the answer allows it and both sides are done with their messages.
func (x *exchange) release(reusable bool) {
	reusable = reusable && x.strayAnswers == 0 && !x.conn.encrypted && !x.bodyPending && (x.upload == nil || x.upload.finished())
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
