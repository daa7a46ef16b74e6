package standin

import (
	"fmt"
	"io"
	"strings"
)

// Query parameters of a request to an endpoint.
const (
	// IDParameter is the id that the caller gives the request; the answer's body repeats it.
	IDParameter = "id"
	// BytesParameter is the size of the answer's body in bytes.
	BytesParameter = "bytes"
	// WorkParameter is a Go duration that replaces the endpoint's service time.
	WorkParameter = "work"
	// ChunkedParameter makes the endpoint send a chunked body without a Content-Length.
	ChunkedParameter = "chunked"
	// StatusParameter is the status of the answer; the default is 200.
	StatusParameter = "status"
)

// Headers of an endpoint's answer with which a caller checks the answer.
const (
	// BodyDigestHeader is the SHA-256 of the request's body in hex.
	BodyDigestHeader = "X-Body-Sha256"
	// BodyBytesHeader is the number of bytes of the request's body.
	BodyBytesHeader = "X-Body-Bytes"
	// EndpointHeader names the endpoint that answered.
	EndpointHeader = "X-Endpoint"
)

// answerBlockSize is the approximate number of bytes of an answer per write.
const answerBlockSize = 16 << 10

// WriteAnswer writes the body of the answer to the request with the given id: the id and a newline,
// repeated up to size bytes.
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

// AnswerSize returns the size of an answer's body if the request has no BytesParameter.
func AnswerSize(id string) int64 {
	return int64(len(id)) + 1
}

// CheckAnswer returns an error if body is not exactly what WriteAnswer writes: if it is too short,
// too long or the answer to another request.
func CheckAnswer(body []byte, id string, size int64) error {
	if int64(len(body)) != size {
		return fmt.Errorf("answer to %q has %d bytes instead of %d", id, len(body), size)
	}
	line := id + "\n"
	for at := 0; at < len(body); at += len(line) {
		part := body[at:min(at+len(line), len(body))]
		if string(part) != line[:len(part)] {
			return fmt.Errorf("answer to %q has %q at byte %d", id, part, at)
		}
	}
	return nil
}
