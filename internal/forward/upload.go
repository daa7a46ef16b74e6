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
	// maxInlineBody is the largest body in memory that is written before the
	// answer is read. It fits any socket buffer, so that the write can't wait
	// for an endpoint that itself waits for its answer to be read.
	maxInlineBody = 8 << 10
	// copyBufferSize is the size of the pieces in which a body is copied.
	copyBufferSize = 32 << 10
	// finalWriteTimeout bounds the wait for the end of a body that is read whole
	// when the answer is complete; only the upload's last step is missing then.
	finalWriteTimeout = 50 * time.Millisecond
)

var (
	errShortBody     = errors.New("the body ended before its announced length")
	errUploadStopped = errors.New("the answer ended before the upload")
)

// Interrupter is a body whose blocked Read can be ended by another goroutine.
// Send interrupts the body when the answer or the connection ended first, and
// then waits until the body is no longer read. A body without the method may be
// read once more after that.
type Interrupter interface{ Interrupt() }

// copyBuffers holds buffers of copyBufferSize bytes.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// memoryBody is what bytes.Reader, bytes.Buffer and strings.Reader have.
type memoryBody interface {
	io.WriterTo
	Len() int
}

// inline returns the body if it may be written before the answer is read.
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
	ended   time.Duration // when done was closed
	clock   func() time.Duration

	stopped atomic.Bool
	// bodyRead is set when the body was read to its end.
	bodyRead atomic.Bool
	// done is closed at the end; err and ended are valid after that.
	done chan struct{}
	err  error
}

func (u *upload) run() {
	defer close(u.done)
	u.err = u.copy()
	u.ended = u.clock()
	var bodyErr *bodyError
	if errors.As(u.err, &bodyErr) {
		// The endpoint must not take a part of the body for the whole.
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

// copyTo copies and flushes after each read, so that a slowly produced body is
// passed on as it comes. The flag is checked between reading and writing: after
// the exchange ended, the connection may not be written to any more.
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

// finished reports whether the whole body was written. If only the last step
// of a body that was read whole is missing, it waits for that.
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

// end stops the copying. The connection is closed by now, so that a blocked
// write returns; a blocked read returns if the body can be interrupted.
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
