package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/intake"
)

// BodyLimits bounds a request body.
type BodyLimits struct {
	// Buffer is the largest part of the body, in bytes, that is kept so that it can be sent again.
	Buffer int64
	// Max is the largest accepted body in bytes; 0 means no limit.
	Max int64
	// Timeout bounds the time for reading the part that is kept; 0 means no limit.
	Timeout time.Duration
	// Memory accounts for the part that is kept, and for a large head; nil means no limit.
	Memory *intake.Memory
	// Context ends the reading of the part that is kept, with its cause as the error; nil means that
	// nothing does.
	Context context.Context
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

var (
	// ErrBodyLate is the error for a body that did not arrive in time, or that stalled while memory
	// was needed for other requests.
	ErrBodyLate = errors.New("the body did not arrive in time")
	// ErrNoMemory is the error for a request for which there is no memory.
	ErrNoMemory = errors.New("no memory is left for another request body")
)

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
	// kept is the part that was read so far, in segments, and keptBytes its length. It is dropped
	// once the body cannot be sent again.
	kept      [][]byte
	keptBytes int64
	held      *intake.Part
	whole     bool

	mu sync.Mutex
	// streamed is set when bytes beyond the buffer were requested, and ended when the body was read
	// to its end.
	streamed, ended bool
	// interrupted is set when a read from the caller was interrupted.
	interrupted bool
	// readers counts the readers of a body that is not whole.
	readers int
}

// NewReplayBody prepares the body of r and reads up to limits.Buffer bytes of it. It reads nothing
// if the caller waits for 100-continue and the body may not fit the buffer, because the endpoint
// must first decide whether it accepts the body. The error is a *BodyTooLargeError, ErrBodyLate,
// ErrNoMemory, or comes from the caller's connection. Without an error, Release must be called at the
// end.
func NewReplayBody(w http.ResponseWriter, r *http.Request, limits BodyLimits) (*ReplayBody, error) {
	b := &ReplayBody{request: r, controller: http.NewResponseController(w), source: r.Body}
	if !HasBody(r) {
		b.whole = true
		b.held = limits.Memory.Hold()
		return b, b.holdHead()
	}
	tracked, _ := unwrapTo[*answerWriter](w)
	b.held = limits.Memory.Receive(b.giveUp)
	err := b.receive(w, limits)
	if !b.held.Received() {
		err = ErrBodyLate
	}
	if err != nil {
		b.recycle()
		b.Release()
		tracked.noteBody(bodyRefused)
		return nil, err
	}
	tracked.noteBody(bodyRead)
	return b, nil
}

// HasBody reports whether a request may have a body.
func HasBody(r *http.Request) bool {
	return r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0
}

// receive reads the part of the body that is kept.
func (b *ReplayBody) receive(w http.ResponseWriter, limits BodyLimits) error {
	if limits.Max > 0 && b.request.ContentLength > limits.Max {
		return &BodyTooLargeError{Limit: limits.Max}
	}
	if err := b.holdHead(); err != nil {
		return err
	}
	if limits.Max > 0 {
		// MaxBytesReader needs net/http's own writer, which then closes the connection without a
		// reset when the body exceeds the limit.
		b.source = http.MaxBytesReader(innermostWriter(w), b.request.Body, limits.Max)
	}
	fits := b.request.ContentLength >= 0 && b.request.ContentLength <= limits.Buffer
	if !fits && (b.request.Header.Get("Expect") != "" || limits.Buffer <= 0) {
		return b.enableStreaming(w)
	}
	if limits.Timeout > 0 {
		b.controller.SetReadDeadline(time.Now().Add(limits.Timeout))
	}
	if err := b.fillUntil(limits.Context, limits.Buffer); err != nil {
		return err
	}
	if limits.Timeout > 0 {
		b.controller.SetReadDeadline(time.Time{})
	}
	if b.whole {
		return nil
	}
	return b.enableStreaming(w)
}

// fillUntil is fill, ended by ctx.
func (b *ReplayBody) fillUntil(ctx context.Context, limit int64) error {
	if ctx == nil {
		return b.fill(limit)
	}
	stop := context.AfterFunc(ctx, b.giveUp)
	err := b.fill(limit)
	if !stop() {
		return context.Cause(ctx)
	}
	return err
}

// giveUp ends the reading of a body that is not wanted any more.
func (b *ReplayBody) giveUp() { b.controller.SetReadDeadline(expired) }

// expired is a deadline in the past, which interrupts a read.
var expired = time.Unix(1, 0)

// The memory of a head that is not accounted for, and the memory of a larger head as a multiple of its
// size: the parsed head refers to copies of its parts.
const (
	freeHeadBytes = 4 << 10
	headFactor    = 2
)

// holdHead accounts for a large head.
func (b *ReplayBody) holdHead() error {
	size := 0
	for name, values := range b.request.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size > freeHeadBytes && !b.held.Take(int64(headFactor*size)) {
		return ErrNoMemory
	}
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

// writeKept writes the part of the body that is kept to w, which must not fail.
func (b *ReplayBody) writeKept(w io.Writer) {
	for _, segment := range b.kept {
		w.Write(segment)
	}
}

// Release gives back the memory of the body. Attempts that are still in progress may use it until they
// end.
func (b *ReplayBody) Release() { b.held.Release() }

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
		return b.keptBytes
	}
	return b.request.ContentLength
}

// RemainingTime estimates how long the rest of the body takes to arrive, at the rate of the part that
// was received in elapsed. It is 0 for a body of unknown length.
func (b *ReplayBody) RemainingTime(elapsed time.Duration) time.Duration {
	left := b.request.ContentLength - b.keptBytes
	if b.whole || b.keptBytes == 0 || left <= 0 {
		return 0
	}
	return time.Duration(float64(elapsed) * float64(left) / float64(b.keptBytes))
}

// Reader returns a reader of the body from its start for one attempt, or nil for an empty body. It
// returns false if the body cannot be sent again. Concurrent attempts need a whole body.
func (b *ReplayBody) Reader() (io.Reader, bool) {
	if b.whole {
		switch len(b.kept) {
		case 0:
			return nil, true
		case 1:
			return bytes.NewReader(b.kept[0]), true
		}
		return &keptReader{rest: b.kept}, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.streamed {
		return nil, false
	}
	b.readers++
	return &streamReader{body: b, kept: keptReader{rest: b.kept}}, true
}

// asTooLarge converts net/http's error for a body that exceeds its limit to a BodyTooLargeError.
func asTooLarge(err error) error {
	var exceeded *http.MaxBytesError
	if errors.As(err, &exceeded) {
		return &BodyTooLargeError{Limit: exceeded.Limit}
	}
	return err
}

// asBodyError converts the error of reading the part of a body that is kept.
func asBodyError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrBodyLate
	}
	return asTooLarge(err)
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
