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
	// Buffer is how many bytes are kept so that the body can be sent again.
	Buffer int64
	// Max is the largest body; zero for no bound.
	Max int64
	// Timeout bounds the wait for the bytes that are kept; zero for no bound.
	Timeout time.Duration
}

// BodyTooLargeError is the error of a body beyond its bound.
type BodyTooLargeError struct {
	// Limit is the bound in bytes.
	Limit int64
}

// Error names the bound and the remedy.
func (e *BodyTooLargeError) Error() string {
	return "the body is larger than " + strconv.FormatInt(e.Limit, 10) + " bytes; send less at a time"
}

// errInterrupted is what a body returns that was interrupted.
var errInterrupted = errors.New("the reading of the body was interrupted")

// ReplayBody is a request body of which the first bytes are kept. A body that
// fits the buffer can be sent any number of times. A larger one can be sent
// again until bytes beyond the buffer were read, since those are gone then.
//
// It is for one goroutine at a time, but for Streamed.
type ReplayBody struct {
	request    *http.Request
	controller *http.ResponseController
	source     io.Reader
	buffer     []byte
	whole      bool

	mu sync.Mutex
	// streamed is set when the rest beyond the buffer was asked for, ended when
	// it was read to its end.
	streamed, ended bool
}

// NewReplayBody prepares the body of r, and reads up to limits.Buffer bytes of
// it. It reads nothing if the caller waits for 100-continue with a body that
// may not fit the buffer: the endpoint is to say first whether it wants it. The
// error is *BodyTooLargeError, os.ErrDeadlineExceeded within another, or that of the
// caller's connection.
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
		// The innermost writer learns of a body beyond the bound and closes the
		// connection gently.
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
	readLimit := limit + 1 // one more, to see the end of a body that just fits
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
		// One more read meets the end, which makes the server watch the
		// connection for the caller's leaving, and sets trailers.
		var scrap [1]byte
		_, err = b.source.Read(scrap[:])
		if err != nil && err != io.EOF {
			return asTooLarge(err)
		}
		return nil
	}
	b.whole = b.request.ContentLength < 0 && n < readLimit
	return nil
}

// enableStreaming lets an answer begin before the body was read whole.
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

// Whole reports whether the whole body is kept.
func (b *ReplayBody) Whole() bool { return b.whole }

// Bytes returns the bytes kept; the whole body if Whole. They must not be
// changed.
func (b *ReplayBody) Bytes() []byte { return b.buffer }

// Streamed reports whether bytes beyond the buffer were read, so that the body
// can't be sent again.
func (b *ReplayBody) Streamed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.streamed
}

// Length returns the length of the body, -1 if it is not known.
func (b *ReplayBody) Length() int64 {
	if b.whole {
		return int64(len(b.buffer))
	}
	return b.request.ContentLength
}

// Reader returns the body from its start for one attempt, nil for an empty
// body; false if the body can't be sent again. Attempts at the same time need a
// whole body.
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

// streamReader is the body for one attempt: the bytes kept, then the rest.
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

// startStreaming notes that the rest is read, unless this attempt was interrupted
// before: then the body stays whole for another attempt.
func (s *streamReader) startStreaming() bool {
	s.body.mu.Lock()
	defer s.body.mu.Unlock()
	if s.interrupted {
		return false
	}
	s.body.streamed = true
	return true
}

// finished reports whether the rest was read to its end.
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

// Interrupt ends the attempt's reading of the body. If the rest is being read,
// the read ends and the caller's connection is closed after the answer. The
// read deadline must not be touched otherwise: net/http takes an expired one
// for the caller's leaving once the body has ended.
func (s *streamReader) Interrupt() {
	s.body.mu.Lock()
	defer s.body.mu.Unlock()
	s.interrupted = true
	if !s.body.streamed || s.body.ended {
		return
	}
	// Any time in the past will do.
	s.body.controller.SetReadDeadline(time.Unix(1, 0))
}

// asTooLarge turns net/http's error for a body beyond its bound into ours.
func asTooLarge(err error) error {
	var exceeded *http.MaxBytesError
	if errors.As(err, &exceeded) {
		return &BodyTooLargeError{Limit: exceeded.Limit}
	}
	return err
}

// innermostWriter returns the server's own writer below w.
func innermostWriter(w http.ResponseWriter) http.ResponseWriter {
	for {
		wrapped, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return w
		}
		w = wrapped.Unwrap()
	}
}
