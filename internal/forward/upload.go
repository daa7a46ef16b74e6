package forward

import (
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxInlineBody is the size of the largest body in memory that is written before the answer is
	// read. It fits into any socket buffer. A larger write could deadlock with an endpoint that
	// itself waits for its answer to be read.
	maxInlineBody = 8 << 10
	// copyBufferSize is the size of the buffer through which a body is copied.
	copyBufferSize = 32 << 10
	// finalWriteTimeout limits the wait, after a complete answer, for an upload that has read its
	// whole body and has only its last write left.
	finalWriteTimeout = 50 * time.Millisecond
)

var (
	errShortBody     = errors.New("the body ended before its announced length")
	errUploadStopped = errors.New("the answer ended before the upload")
)

// Interrupter is a body whose blocked Read can be interrupted by another goroutine. If the answer
// or the connection ends before the upload, Send interrupts the body and waits until it is no
// longer read. A body without this method may be read once more after the exchange has ended.
type Interrupter interface{ Interrupt() }

// copyBuffers is a pool of buffers of copyBufferSize bytes.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// memoryBody is a body in memory, such as a bytes.Reader, bytes.Buffer or strings.Reader.
type memoryBody interface {
	io.WriterTo
	Len() int
}

// inline returns the body and true if it may be written before the answer is read.
func (o *Outgoing) inline(body framing) (memoryBody, bool) {
	if body.chunked || body.length > maxInlineBody {
		return nil, false
	}
	memory, ok := o.Body.(memoryBody)
	return memory, ok && int64(memory.Len()) == body.length
}

// upload copies a body to a connection while the answer is read.
type upload struct {
	conn    *conn
	body    io.Reader
	framing framing
	trailer http.Header
	ended   time.Duration // when the upload ended
	clock   func() time.Duration

	stopped atomic.Bool
	// bodyRead is set when the body has been read to its end.
	bodyRead atomic.Bool
	// done is closed when the upload ends; err and ended are valid after that.
	done chan struct{}
	err  error
}

func (u *upload) run() {
	defer close(u.done)
	u.err = u.copy()
	u.ended = u.clock()
	var bodyErr *bodyError
	if errors.As(u.err, &bodyErr) {
		// Closing the connection keeps the endpoint from taking a partial body for a whole one.
		u.conn.abort(BadBody)
	}
}

// bodyError is an error of the body, as opposed to one of the connection.
type bodyError struct{ error }

func (e *bodyError) Unwrap() error { return e.error }

func (u *upload) copy() error {
	if err := u.copyBody(); err != nil {
		return err
	}
	return u.conn.writer.Flush()
}

func (u *upload) copyBody() error {
	if !u.framing.chunked {
		n, err := u.copyTo(u.conn.writer, io.LimitReader(u.body, u.framing.length))
		if err == nil && n < u.framing.length {
			return &bodyError{errShortBody}
		}
		return err
	}
	chunks := httputil.NewChunkedWriter(u.conn.writer)
	if _, err := u.copyTo(chunks, u.body); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	for name, values := range u.trailer {
		if err := writeHeader(u.conn.writer, name, values); err != nil {
			return &bodyError{err}
		}
	}
	_, err := u.conn.writer.WriteString("\r\n")
	return err
}

// copyTo copies r to w and flushes after each read, so that a slowly produced body is passed on as
// it arrives. It checks stopped between reading and writing, because the connection must not be
// written to after the exchange has ended.
func (u *upload) copyTo(w io.Writer, r io.Reader) (int64, error) {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	var total int64
	for {
		n, readErr := r.Read(buffer[:])
		if u.stopped.Load() {
			return total, errUploadStopped
		}
		if n > 0 {
			total += int64(n)
			if err := u.write(w, buffer[:n]); err != nil {
				return total, err
			}
		}
		if readErr == io.EOF {
			u.bodyRead.Store(true)
			return total, nil
		}
		if readErr != nil {
			return total, &bodyError{readErr}
		}
	}
}

func (u *upload) write(w io.Writer, p []byte) error {
	if _, err := w.Write(p); err != nil {
		return err
	}
	return u.conn.writer.Flush()
}

// finished reports whether the whole body has been written. If the body has been read to its end,
// it waits up to finalWriteTimeout for the last write.
func (u *upload) finished() bool {
	if !u.bodyRead.Load() {
		select {
		case <-u.done:
			return u.err == nil
		default:
			return false
		}
	}
	timer := time.NewTimer(finalWriteTimeout)
	defer timer.Stop()
	select {
	case <-u.done:
		return u.err == nil
	case <-timer.C:
		return false
	}
}

// end stops the upload. The connection is already closed, so a blocked write returns; a blocked
// read returns if the body is an Interrupter.
func (u *upload) end() {
	u.stopped.Store(true)
	select {
	case <-u.done:
		return
	default:
	}
	if body, ok := u.body.(Interrupter); ok {
		body.Interrupt()
		<-u.done
	}
}
