package front

import (
	"io"
	"sync"
)

// The sizes of the segments in which a body is kept. The first one holds most bodies whole.
const (
	firstSegment = 8 << 10
	segmentSize  = 32 << 10
)

// fill reads up to limit bytes into segments.
func (b *ReplayBody) fill(limit int64) error {
	readLimit := limit + 1 // one more byte detects the end of a body that just fits
	length := b.request.ContentLength
	if length >= 0 {
		readLimit = min(length, limit)
	}
	ended, err := b.readSegments(readLimit)
	if err != nil {
		return asBodyError(err)
	}
	if b.keptBytes == length {
		b.whole = true
		// One more read reaches the end of the body. This makes the server watch the connection for
		// the caller's departure, and sets the trailers.
		var next [1]byte
		_, err = b.source.Read(next[:])
		if err != nil && err != io.EOF {
			return asBodyError(err)
		}
		return nil
	}
	b.whole = length < 0 && ended
	return nil
}

// readSegments reads up to limit bytes, and reports whether the body has ended.
func (b *ReplayBody) readSegments(limit int64) (ended bool, err error) {
	size := int64(firstSegment)
	for b.keptBytes < limit && !ended && err == nil {
		size = min(size, limit-b.keptBytes)
		if !b.held.Take(size) {
			return false, ErrNoMemory
		}
		ended, err = b.readSegment(size)
		size = segmentSize
	}
	return ended, err
}

// readSegment reads a segment of the given size, or less if the body ends.
func (b *ReplayBody) readSegment(size int64) (ended bool, err error) {
	segment := newSegment(size)
	for len(segment) < cap(segment) && err == nil {
		var n int
		n, err = b.source.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
	}
	b.kept = append(b.kept, segment)
	b.keptBytes += int64(len(segment))
	if err == io.EOF {
		return true, nil
	}
	return false, err
}

// segments is a pool of segments of segmentSize bytes.
var segments = sync.Pool{New: func() any { return new([segmentSize]byte) }}

// newSegment returns an empty segment of the given capacity.
func newSegment(size int64) []byte {
	if size == segmentSize {
		return segments.Get().(*[segmentSize]byte)[:0]
	}
	return make([]byte, 0, size)
}

// recycle gives back the segments, which nothing else may refer to.
func (b *ReplayBody) recycle() {
	for _, segment := range b.kept {
		if cap(segment) == segmentSize {
			segments.Put((*[segmentSize]byte)(segment[:segmentSize]))
		}
	}
	b.kept = nil
}
