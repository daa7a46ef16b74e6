package wire

import (
	"bufio"
	"io"

	"github.com/tealhall/tealhall/internal/fault"
)

// maxTypeDefinitions bounds the gob type definitions on one connection. The protocol needs about
// twenty; the decoder would store any number of them.
const maxTypeDefinitions = 64

// FrameReader passes on a gob stream and ends it at the first message that is longer than the
// limit, before the decoder allocates memory for the message. Otherwise a hostile or corrupt
// length could make the process grow until it is killed. FrameReader does not read past the
// current message on behalf of the decoder, so that the limit may change between messages.
//
// A FrameReader is not safe for concurrent use.
type FrameReader struct {
	in          *bufio.Reader
	limit       int
	remaining   int // unread bytes of the current message, its length prefix included
	definitions int
	err         error
}

// frameBufferBytes is the size of the read buffer of each peer connection. It is small, because an
// entry has two connections to each other entry and most messages are shorter.
const frameBufferBytes = 1 << 10

// NewFrameReader returns a reader of r that passes on messages of up to limit bytes.
func NewFrameReader(r io.Reader, limit int) *FrameReader {
	return &FrameReader{in: bufio.NewReaderSize(r, frameBufferBytes), limit: limit}
}

// SetLimit changes the limit for messages that the decoder has not begun to read.
func (f *FrameReader) SetLimit(limit int) { f.limit = limit }

// Read reads at most up to the end of the current message.
func (f *FrameReader) Read(p []byte) (int, error) {
	if err := f.beginMessage(); err != nil {
		return 0, err
	}
	if len(p) > f.remaining {
		p = p[:f.remaining]
	}
	n, err := f.in.Read(p)
	f.remaining -= n
	return n, f.keepError(err)
}

// ReadByte reads one byte. Because this method exists, the gob decoder does not wrap the reader in
// a buffer of its own, which would read ahead.
func (f *FrameReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(f, one[:])
	return one[0], err
}

func (f *FrameReader) keepError(err error) error {
	if err != nil {
		f.err = err
	}
	return err
}

// beginMessage checks the next message when the current one is read completely.
func (f *FrameReader) beginMessage() error {
	if f.err != nil || f.remaining > 0 {
		return f.err
	}
	length, lengthBytes, err := f.peekUint(0)
	if err != nil {
		return f.keepError(err)
	}
	if length == 0 || length > uint64(f.limit) {
		return f.keepError(fault.New(fault.BadMessage,
			"check that both ends run releases of tealhall that may run side by side, and that nothing else dials the peer port",
			"a message of %d bytes came where at most %d are allowed", length, f.limit))
	}
	id, _, err := f.peekUint(lengthBytes)
	if err != nil {
		return f.keepError(err)
	}
	if isDefinition := id&1 == 1; isDefinition {
		f.definitions++
	}
	if f.definitions > maxTypeDefinitions {
		return f.keepError(fault.New(fault.BadMessage, "replace the program at the other end",
			"more than %d type definitions came on one connection", maxTypeDefinitions))
	}
	f.remaining = lengthBytes + int(length)
	return nil
}

// peekUint decodes the gob unsigned integer at an offset without consuming it: a value below 128
// is one byte; otherwise the first byte is the negated count of the big-endian bytes that follow.
func (f *FrameReader) peekUint(offset int) (value uint64, size int, err error) {
	b, err := f.in.Peek(offset + 1)
	if err != nil {
		return 0, 0, err
	}
	first := b[offset]
	if first < 0x80 {
		return uint64(first), 1, nil
	}
	count := -int(int8(first))
	if count > 8 {
		return 0, 0, fault.New(fault.BadMessage, "let only tealhall entries dial the peer port",
			"the bytes are not a peer message")
	}
	b, err = f.in.Peek(offset + 1 + count)
	if err != nil {
		return 0, 0, err
	}
	for _, octet := range b[offset+1:] {
		value = value<<8 | uint64(octet)
	}
	return value, 1 + count, nil
}
