package forward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/tealhall/tealhall/internal/forward/socket"
	"github.com/tealhall/tealhall/internal/headcheck"
)

var (
	errSwitchedProtocols = errors.New("the endpoint switched protocols without a request to do so")
	errUnframed          = errors.New("the answer has neither a Content-Length nor the chunked coding")
	errUnacknowledged    = errors.New("the endpoint has stopped acknowledging sent bytes")
	errBrokenEnd         = errors.New("the connection was reset, or its end cannot be told from a reset")
	errStrayAnswer       = errors.New("the answer belongs to another request")
	errHeadTimeout       = errors.New("the connection is alive but no answer arrived")
)

// readHead reads the informational answers and the head of the final answer.
func (x *exchange) readHead(delivery *Delivery) (*http.Response, error) {
	x.conn.limitHead(x.connections.cfg.MaxResponseHeaderBytes)
	defer x.conn.unlimitHead()
	for {
		if err := x.awaitFirstByte(); err != nil {
			return nil, err
		}
		if delivery.FirstByte == 0 {
			delivery.FirstByte = x.connections.cfg.Clock()
		}
		resp, err := x.parseHead()
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, &Error{Failure: BadAnswer, Address: x.out.Address, Cause: errSwitchedProtocols}
		case resp.StatusCode == http.StatusContinue:
			if x.bodyPending {
				x.startUpload()
			}
		case resp.StatusCode < http.StatusOK:
			if x.out.Informational != nil {
				x.out.Informational(resp.StatusCode, resp.Header)
			}
		case x.out.IsStray != nil && x.out.IsStray(resp.Header):
			if err := x.discardStray(resp); err != nil {
				return nil, err
			}
		default:
			return resp, nil
		}
	}
}

// Bounds of the answers to other requests that one exchange discards: their number, and the size of
// the body of each.
const (
	maxStrayAnswers = 2
	maxStrayBytes   = 1 << 20
)

// discardStray reads and discards an answer that belongs to another request.
func (x *exchange) discardStray(resp *http.Response) error {
	x.strayAnswers++
	if x.strayAnswers > maxStrayAnswers || unframed(resp, false) {
		return &Error{Failure: BadAnswer, Address: x.out.Address, Cause: errStrayAnswer}
	}
	x.conn.unlimitHead()
	read, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes+1))
	if err != nil {
		return err
	}
	if read > maxStrayBytes {
		return &Error{Failure: BadAnswer, Address: x.out.Address, Cause: errStrayAnswer}
	}
	x.conn.limitHead(x.connections.cfg.MaxResponseHeaderBytes)
	return nil
}

// parseHead reads the head of an answer whose first byte has arrived.
func (x *exchange) parseHead() (*http.Response, error) {
	if timeout := x.connections.cfg.HeaderTimeout; timeout > 0 {
		x.conn.SetReadDeadline(time.Now().Add(timeout))
		defer x.conn.SetReadDeadline(time.Time{})
	}
	x.conn.record()
	resp, err := http.ReadResponse(x.conn.reader, x.out.Request)
	var malformed error
	x.conn.endRecord(func(head []byte) {
		if err == nil {
			malformed = headcheck.Check(head)
		}
	})
	if err == nil && malformed == nil {
		return resp, nil
	}
	failure := ConnectionLost
	switch {
	case malformed != nil:
		failure, err = BadAnswer, malformed
	case errors.Is(x.conn.readErr, os.ErrDeadlineExceeded):
		failure = AnswerTimeout
	case x.conn.readErr == nil, x.conn.readErr == errHeadTooLarge:
		// The connection works; only the data on it is malformed.
		failure = BadAnswer
	}
	return nil, &Error{Failure: failure, Address: x.out.Address, Cause: err}
}

// awaitFirstByte waits for the first byte of the next answer. It wakes up periodically to
// distinguish a dead connection from a slow endpoint.
func (x *exchange) awaitFirstByte() error {
	if x.conn.reader.Buffered() > 0 {
		return nil
	}
	defer x.conn.SetReadDeadline(time.Time{})
	cfg := &x.connections.cfg
	waitStart := cfg.Clock()
	for {
		x.conn.SetReadDeadline(time.Now().Add(x.waitStep(cfg.Clock() - waitStart)))
		_, err := x.conn.reader.Peek(1)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if x.conn.inspector.Silent(cfg.SilentAfter) {
			return &Error{Failure: Silent, Address: x.out.Address, Cause: errUnacknowledged}
		}
		if err := x.checkTimeouts(waitStart); err != nil {
			return err
		}
	}
}

// checksPerSilentAfter is how many times per Config.SilentAfter a connection is checked after the
// first check. It is more than one because the kernel's first retransmission may come just after
// the first check.
const checksPerSilentAfter = 4

// waitStep returns how long to wait before the connection is checked again.
func (x *exchange) waitStep(waited time.Duration) time.Duration {
	cfg := &x.connections.cfg
	step := cfg.SilentAfter
	if waited >= step {
		step /= checksPerSilentAfter
	}
	if x.bodyPending {
		step = min(step, cfg.ContinueTimeout-waited)
	}
	if cfg.HeaderTimeout > 0 && waited < cfg.HeaderTimeout {
		step = min(step, cfg.HeaderTimeout-waited)
	}
	return max(step, time.Millisecond)
}

// checkTimeouts acts on the timeouts that have expired. After Config.ContinueTimeout it sends the
// body to an endpoint that has not answered "Expect: 100-continue"; after Config.HeaderTimeout it
// gives up on a slow endpoint. The header timeout starts when the body has been sent.
func (x *exchange) checkTimeouts(waitStart time.Duration) error {
	cfg := &x.connections.cfg
	if x.bodyPending {
		if cfg.Clock()-waitStart >= cfg.ContinueTimeout {
			x.startUpload()
		}
		return nil
	}
	if x.upload != nil {
		select {
		case <-x.upload.done:
			waitStart = max(waitStart, x.upload.ended)
		default:
			return nil
		}
	}
	if cfg.HeaderTimeout > 0 && cfg.Clock()-waitStart >= cfg.HeaderTimeout {
		return &Error{Failure: AnswerTimeout, Address: x.out.Address, Cause: errHeadTimeout}
	}
	return nil
}

// prepareAnswer prepares the final answer for the caller of Send.
func (x *exchange) prepareAnswer(resp *http.Response) (*http.Response, error) {
	head := x.out.Request.Method == http.MethodHead
	if unframed(resp, head) && !x.connections.cfg.AllowUnframed {
		return nil, &Error{Failure: BadAnswer, Address: x.out.Address, Cause: errUnframed}
	}
	if resp.Body == http.NoBody || head {
		// If the endpoint sends a body here against the protocol, a reused connection would parse
		// it as the head of the next answer, which may be another caller's.
		noBody := !head && resp.ContentLength <= 0
		x.release(!resp.Close && noBody)
		resp.Body = http.NoBody
		return resp, nil
	}
	resp.Body = &answerBody{exchange: x, source: resp.Body, reusable: !resp.Close, resp: resp}
	return resp, nil
}

// unframed reports whether the body is delimited only by the end of the connection.
func unframed(resp *http.Response, head bool) bool {
	return !head && resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// answerBody streams the body of an answer. Like any http.Response.Body, it may be used by one
// goroutine at a time.
type answerBody struct {
	exchange *exchange
	source   io.Reader
	reusable bool
	// resp has the trailers once the source has ended.
	resp *http.Response
	// err is the error that Read returns once the exchange has ended.
	err error
}

// Read returns io.EOF only after the whole body has been read; the trailers are set by then.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		err = b.checkEnd()
	}
	if err != nil {
		b.err = b.exchange.failBody(err)
		return n, b.err
	}
	b.err = io.EOF
	b.exchange.release(b.reusable)
	return n, io.EOF
}

// checkEnd returns an error if the end of the body does not show that the answer is whole.
func (b *answerBody) checkEnd() error {
	if err := headcheck.CheckFields(b.resp.Trailer); err != nil {
		return &Error{Failure: BadAnswer, Address: b.exchange.out.Address, Cause: err}
	}
	if unframed(b.resp, false) && !b.exchange.endedByEndpoint() {
		return &Error{Failure: Truncated, Address: b.exchange.out.Address, Cause: errBrokenEnd}
	}
	return nil
}

// endedByEndpoint reports, after the last byte was read, whether the endpoint closed the connection. The
// kernel reports a reset once, and if the upload gets the error, a read returns the end of the stream.
func (x *exchange) endedByEndpoint() bool {
	if x.conn.encrypted {
		return true // TLS reports an end that the endpoint did not announce as an error
	}
	switch x.conn.inspector.End() {
	case socket.EndClosed:
		return true
	case socket.EndReset:
		return false
	}
	return x.upload == nil || x.upload.finished()
}

// Close ends the exchange. If the body has not been read to its end, Close closes the connection,
// which tells the endpoint to stop sending.
func (b *answerBody) Close() error {
	if b.err == nil {
		b.err = http.ErrBodyReadAfterClose
		b.exchange.drop()
	}
	return nil
}

// fail ends an exchange that failed before the body of the answer and classifies err.
func (x *exchange) fail(err error) error { return x.classify(err, ConnectionLost) }

// failBody ends an exchange that failed in the body of the answer and classifies err.
func (x *exchange) failBody(err error) error { return x.classify(err, Truncated) }

// classify ends the exchange and returns an *Error with the most specific class known: the reason
// for which this process closed the connection, else that of the context if it has ended, else the
// class of err, else fallback.
func (x *exchange) classify(err error, fallback Failure) error {
	aborted := x.conn.abortedFor()
	x.drop()
	typed := &Error{Failure: fallback, Address: x.out.Address, Cause: err}
	switch {
	case aborted != None && aborted != Closed:
		typed.Failure = aborted
		if aborted == BadBody {
			typed.Cause = x.upload.err
		}
	case x.ctx.Err() != nil:
		typed.Failure = contextFailure(x.ctx)
	default:
		errors.As(err, &typed)
	}
	if typed.Failure == Silent {
		x.pool.count(func(s *ConnStats) { s.Silent++ })
		x.connections.Suspect(x.out.Address)
	}
	return typed
}
