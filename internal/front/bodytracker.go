package front

import "math"

// bodyTracker follows a request body to find where the next head begins. It checks only the
// framing; net/http checks the chunked coding itself.
type bodyTracker struct {
	phase bodyPhase
	// left is the number of bytes left of the body or of the current chunk.
	left int64
	// line counts the bytes of the current line in the chunked coding.
	line int
	// cr is set when the last byte of the line was a carriage return.
	cr bool
	// digits is set once the chunk size has a digit, and ext once the chunk size has ended.
	digits, ext bool
}

type bodyPhase uint8

const (
	phaseEnded   bodyPhase = iota // the body has ended; the next byte begins a head
	phaseLength                   // the data of a body with a Content-Length
	phaseSize                     // the line with the size of a chunk
	phaseData                     // the data of a chunk
	phaseDataEnd                  // the line end after the data of a chunk
	phaseTrailer                  // the trailer lines up to the empty line
)

const (
	// maxChunkLine bounds a chunk size line and a trailer line.
	maxChunkLine = 4 << 10
	// maxChunkSize keeps the chunk size from overflowing an int64 by another hexadecimal digit.
	maxChunkSize = math.MaxInt64 >> 5
)

// start prepares the tracker for the body that info delimits.
func (t *bodyTracker) start(info headInfo) {
	*t = bodyTracker{}
	switch {
	case info.isChunked:
		t.phase = phaseSize
	case info.length > 0:
		t.phase, t.left = phaseLength, info.length
	}
}

func (t *bodyTracker) ended() bool { return t.phase == phaseEnded }

// data returns how many bytes of body data come next. It is 0 within the lines of the chunked
// coding.
func (t *bodyTracker) data() int64 {
	if t.phase == phaseLength || t.phase == phaseData {
		return t.left
	}
	return 0
}

// advance follows the body through b. It returns how many bytes of b belong to the body and whether
// their framing is well-formed.
func (t *bodyTracker) advance(b []byte) (int, bool) {
	for i := 0; i < len(b); {
		switch t.phase {
		case phaseEnded:
			return i, true
		case phaseLength, phaseData:
			i += t.skip(len(b) - i)
		default:
			if !t.lineByte(b[i]) {
				return i, false
			}
			i++
		}
	}
	return len(b), true
}

// skip advances over up to n bytes of data and returns their number.
func (t *bodyTracker) skip(n int) int {
	n = int(min(int64(n), t.left))
	t.left -= int64(n)
	if t.left > 0 {
		return n
	}
	if t.phase == phaseLength {
		t.phase = phaseEnded
	} else {
		t.phase, t.line = phaseDataEnd, 0
	}
	return n
}

// lineByte processes one byte of a line of the chunked coding and reports whether it is
// well-formed.
func (t *bodyTracker) lineByte(b byte) bool {
	t.line++
	if t.line > maxChunkLine {
		return false
	}
	if b == '\n' {
		return t.cr && t.lineEnd()
	}
	t.cr = b == '\r'
	if t.phase == phaseSize {
		return t.sizeByte(b)
	}
	return t.phase == phaseTrailer || b == '\r'
}

// sizeByte processes one byte of a chunk size or of the chunk extensions behind it.
func (t *bodyTracker) sizeByte(b byte) bool {
	if t.ext {
		return true
	}
	digit, ok := hexDigit(b)
	if !ok {
		t.ext = true
		return t.digits && (b == '\r' || b == ';' || b == ' ' || b == '\t')
	}
	t.digits = true
	t.left = t.left<<4 | int64(digit)
	return t.left <= maxChunkSize
}

// lineEnd processes the end of a line of the chunked coding.
func (t *bodyTracker) lineEnd() bool {
	length := t.line
	t.line, t.cr = 0, false
	switch t.phase {
	case phaseSize:
		if !t.digits {
			return false
		}
		t.digits, t.ext = false, false
		t.phase = phaseData
		if t.left == 0 {
			t.phase = phaseTrailer
		}
	case phaseDataEnd:
		t.phase = phaseSize
	case phaseTrailer:
		if length == len("\r\n") {
			t.phase = phaseEnded
		}
	}
	return true
}

func hexDigit(b byte) (byte, bool) {
	switch {
	case b >= '0' && b <= '9':
		return b - '0', true
	case b >= 'a' && b <= 'f':
		return b - 'a' + 10, true
	case b >= 'A' && b <= 'F':
		return b - 'A' + 10, true
	}
	return 0, false
}
