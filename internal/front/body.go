package front

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// BodyLimits bounds a request body.
type BodyLimits struct {
	// Buffer is the largest part of the body, in bytes, that is kept so that it can be sent again.
	Buffer int64
	// Max is the largest accepted body in bytes; 0 means no limit.
	Max int64
	// Timeout bounds the time for reading the part that is kept; 0 means no limit.
	Timeout time.Duration
}

// BodyTooLargeError is the error for a body that exceeds its limit.
type BodyTooLargeError struct {
	// Limit is the limit in bytes.
	Limit int64
}

// Error returns the limit and the remedy.
func (e *BodyTooLargeError) Error() string {
	return "the body is larger than " + strconv.FormatInt(e.Limit, 10) + " bytes; send less at a time"
}

// errInterrupted is returned by reads of a body after Interrupt.
var errInterrupted = errors.New("reading the request body was interrupted")

// ReplayBody is a request body whose first bytes are kept in a buffer. A body that fits the buffer
// can be sent any number of times. A larger one can be sent again until bytes beyond the buffer
// have been read, since those are not kept.
//
// A ReplayBody must be used by one goroutine at a time, except for Streamed.
type ReplayBody struct {
	request    *http.Request
	controller *http.ResponseController
	source     io.Reader
	buffer     []byte
	whole      bool

	mu sync.Mutex
	// streamed is set when bytes beyond the buffer were requested, and ended when the body was read
	// to its end.
	streamed, ended bool
}

// NewReplayBody prepares the body of r and reads up to limits.Buffer bytes of it. It reads nothing
// if the caller waits for 100-continue and the body may not fit the buffer, because the endpoint
// must first decide whether it accepts the body. The error is a *BodyTooLargeError, wraps
// os.ErrDeadlineExceeded, or comes from the caller's connection.
func NewReplayBody(w http.ResponseWriter, r *http.Request, limits BodyLimits) (*ReplayBody, error) {
	b := &ReplayBody{request: r, controller: http.NewResponseController(w), source: r.Body}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.whole = true
		return b, nil
	}
	if limits.Max > 0 {
		if r.ContentLength > limits.Max {
			return nil, &BodyTooLargeError{Limit: limits.Max}
		}
		// MaxBytesReader needs net/http's own writer, which then closes the connection without a
		// reset when the body exceeds the limit.
		b.source = http.MaxBytesReader(innermostWriter(w), r.Body, limits.Max)
	}
	fits := r.ContentLength >= 0 && r.ContentLength <= limits.Buffer
	if !fits && (r.Header.Get("Expect") != "" || limits.Buffer <= 0) {
		return b, b.enableStreaming(w)
	}
	if limits.Timeout > 0 {
		b.controller.SetReadDeadline(time.Now().Add(limits.Timeout))
		defer b.controller.SetReadDeadline(time.Time{})
	}
	if err := b.fill(limits.Buffer); err != nil {
		return nil, err
	}
	if b.whole {
		return b, nil
	}
	return b, b.enableStreaming(w)
}

// fill reads up to limit bytes into the buffer.
func (b *ReplayBody) fill(limit int64) error {
	readLimit := limit + 1 // one more byte detects the end of a body that just fits
	if length := b.request.ContentLength; length >= 0 {
		readLimit = min(length, limit)
	}
	var kept bytes.Buffer
	kept.Grow(int(min(readLimit, copySize)) + bytes.MinRead)
	n, err := kept.ReadFrom(io.LimitReader(b.source, readLimit))
	b.buffer = kept.Bytes()
	if err != nil {
		return asTooLarge(err)
	}
	if n == b.request.ContentLength {
		b.whole = true
		// One more read reaches the end of the body. This makes the server watch the connection for
		// the caller's departure, and sets the trailers.
		var next [1]byte
		_, err = b.source.Read(next[:])
		if err != nil && err != io.EOF {
			return asTooLarge(err)
		}
		return nil
	}
	b.whole = b.request.ContentLength < 0 && n < readLimit
	return nil
}

// enableStreaming allows the answer to begin before the whole body has been read.
func (b *ReplayBody) enableStreaming(w http.ResponseWriter) error {
	if tracked, ok := unwrapTo[*answerWriter](w); ok {
		tracked.body = b
	}
	err := b.controller.EnableFullDuplex()
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// Whole reports whether the buffer holds the whole body.
func (b *ReplayBody) Whole() bool { return b.whole }

// Bytes returns the buffered bytes: the whole body if Whole, else its first part. The caller must
// not modify them.
func (b *ReplayBody) Bytes() []byte { return b.buffer }

// Streamed reports whether bytes beyond the buffer were read, so that the body cannot be sent
// again.
func (b *ReplayBody) Streamed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.streamed
}

// Length returns the length of the body, or -1 if it is unknown.
func (b *ReplayBody) Length() int64 {
	if b.whole {
		return int64(len(b.buffer))
	}
	return b.request.ContentLength
}

// Reader returns a reader of the body from its start for one attempt, or nil for an empty body. It
// returns false if the body cannot be sent again. Concurrent attempts need a whole body.
func (b *ReplayBody) Reader() (io.Reader, bool) {
	if b.whole {
		if len(b.buffer) == 0 {
			return nil, true
		}
		return bytes.NewReader(b.buffer), true
	}
	if b.Streamed() {
		return nil, false
	}
	return &streamReader{body: b, kept: b.buffer}, true
}

// streamReader reads the body for one attempt: first the buffered bytes, then the rest from the
// caller.
type streamReader struct {
	body *ReplayBody
	kept []byte
	// interrupted is guarded by body.mu.
	interrupted bool
}

// Read implements io.Reader.
func (s *streamReader) Read(p []byte) (int, error) {
	if len(s.kept) > 0 {
		n := copy(p, s.kept)
		s.kept = s.kept[n:]
		return n, nil
	}
	if !s.startStreaming() {
		return 0, errInterrupted
	}
	n, err := s.body.source.Read(p)
	if err == io.EOF {
		s.body.endStreaming()
	}
	return n, asTooLarge(err)
}

// startStreaming marks the body as streamed. It returns false if this attempt was interrupted
// before; the body can then still be sent by another attempt.
func (s *streamReader) startStreaming() bool {
	s.body.mu.Lock()
	defer s.body.mu.Unlock()
	if s.interrupted {
		return false
	}
	s.body.streamed = true
	return true
}

// finished reports whether the part beyond the buffer was read to its end.
func (b *ReplayBody) finished() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

func (b *ReplayBody) endStreaming() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

// Interrupt ends the reading of the body by this attempt. It interrupts a read that is in progress,
// and the caller's connection is then closed after the answer. The read deadline must not be
// changed in other cases: once the body has ended, net/http treats an expired deadline as the
// caller's departure.
func (s *streamReader) Interrupt() {
	s.body.mu.Lock()
	defer s.body.mu.Unlock()
	s.interrupted = true
	if !s.body.streamed || s.body.ended {
		return
	}
	// Any time in the past interrupts the read.
	s.body.controller.SetReadDeadline(time.Unix(1, 0))
}

// asTooLarge converts net/http's error for a body that exceeds its limit to a BodyTooLargeError.
func asTooLarge(err error) error {
	var exceeded *http.MaxBytesError
	if errors.As(err, &exceeded) {
		return &BodyTooLargeError{Limit: exceeded.Limit}
	}
	return err
}

// innermostWriter returns the writer of net/http that w wraps.
func innermostWriter(w http.ResponseWriter) http.ResponseWriter {
	for {
		wrapped, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return w
		}
		w = wrapped.Unwrap()
	}
}
