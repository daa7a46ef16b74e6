package standin

import (
	"fmt"
	"io"
	"strings"
)

// Parameters that a request to an endpoint may carry in its query.
const (
	// IDParameter is the caller's own id of the request; the answer repeats it.
	IDParameter = "id"
	// BytesParameter is the size of the answer's body.
	BytesParameter = "bytes"
	// WorkParameter is a Go duration that replaces the service time.
	WorkParameter = "work"
	// ChunkedParameter makes the endpoint answer without a Content-Length.
	ChunkedParameter = "chunked"
	// StatusParameter is the status of the answer instead of 200.
	StatusParameter = "status"
)

// Headers of an endpoint's answer that let a caller check it.
const (
	// BodyDigestHeader is the SHA-256 of the request's body in hex.
	BodyDigestHeader = "X-Body-Sha256"
	// BodyBytesHeader is the number of bytes of the request's body.
	BodyBytesHeader = "X-Body-Bytes"
	// EndpointHeader names the endpoint that answered.
	EndpointHeader = "X-Endpoint"
)

// answerBlockSize is about how much of an answer is written at a time.
const answerBlockSize = 16 << 10

// WriteAnswer writes the body that answers the request with the given id: the
// id and a newline, over and over, up to size bytes.
func WriteAnswer(w io.Writer, id string, size int64) error {
	line := id + "\n"
	block := strings.Repeat(line, 1+int(min(answerBlockSize, size))/len(line))
	for size > 0 {
		part := block[:min(size, int64(len(block)))]
		written, err := io.WriteString(w, part)
		if err != nil {
			return err
		}
		size -= int64(written)
	}
	return nil
}

// AnswerSize is the size of an answer for which no size was asked.
func AnswerSize(id string) int64 {
	return int64(len(id)) + 1
}

// CheckAnswer says how body differs from the whole answer that WriteAnswer
// writes: too short, too long, or another request's.
func CheckAnswer(body []byte, id string, size int64) error {
	if int64(len(body)) != size {
		return fmt.Errorf("answer to %q has %d bytes instead of %d", id, len(body), size)
	}
	line := id + "\n"
	for at := 0; at < len(body); at += len(line) {
		part := body[at:min(at+len(line), len(body))]
		if string(part) != line[:len(part)] {
			return fmt.Errorf("answer to %q holds %q at byte %d", id, part, at)
		}
	}
	return nil
}
