package front

import "io"

// keptReader reads segments, from offset in the first one.
type keptReader struct {
	rest   [][]byte
	offset int
}

// Read implements io.Reader.
func (k *keptReader) Read(p []byte) (int, error) {
	for len(k.rest) > 0 && k.offset == len(k.rest[0]) {
		k.rest, k.offset = k.rest[1:], 0
	}
	if len(k.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, k.rest[0][k.offset:])
	k.offset += n
	return n, nil
}

// streamReader reads the body for one attempt: first the buffered bytes, then the rest from the
// caller.
type streamReader struct {
	body *ReplayBody
	kept keptReader
	// interrupted is guarded by body.mu.
	interrupted bool
}

// Read implements io.Reader.
func (s *streamReader) Read(p []byte) (int, error) {
	if n, err := s.kept.Read(p); err == nil {
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
	if !s.body.streamed {
		s.body.streamed = true
		s.body.dropKept()
	}
	return true
}

// dropKept gives back the part that is kept, once a reader has read all of it. An earlier reader may
// still refer to its segments. The lock must be held.
func (b *ReplayBody) dropKept() {
	if b.readers == 1 {
		b.recycle()
	}
	b.kept = nil
	b.held.Release()
}

// Interrupted reports whether the server itself has ended the reading of the body. net/http then cancels
// the context of the request as if the caller had left.
func (b *ReplayBody) Interrupted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.interrupted
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
	s.body.interrupted = true
	s.body.controller.SetReadDeadline(expired)
}
