// Package headcheck checks the heads of HTTP answers. net/http accepts any three characters that form a
// number as a status, header names with spaces, and framing that HTTP/1.1 calls faulty; such an answer
// could reach a caller with a header dropped, or with a body that is not the sender's.
package headcheck

import (
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// HeadError is the error of a malformed head.
type HeadError struct {
	// Problem says what is malformed, Line is the line in which it is, if one is known.
	Problem, Line string
}

// maxQuoted bounds the part of a line in an error.
const maxQuoted = 80

// Error describes the problem and the remedy.
func (e *HeadError) Error() string {
	text := "the head of the answer is malformed: " + e.Problem
	if e.Line != "" {
		text += ", in " + strings.ToValidUTF8(e.Line[:min(len(e.Line), maxQuoted)], "?")
	}
	return text + "; make the sender send a head as RFC 9112 describes it"
}

// The range of valid status codes.
const (
	lowestStatus  = 100
	highestStatus = 599
)

// The problems of heads.
const (
	badVersion = "the version is not HTTP/1.0 or HTTP/1.1"
	badStatus  = "the status is not a number from 100 to 599"
	badName    = "a header name is not a token directly before the colon"
	badValue   = "a header value has a control character"
	badCoding  = "HTTP/1.0 has no transfer codings"
	twoLengths = "it has both Content-Length and Transfer-Encoding"
)

// Check checks the head of an answer as it was received, up to its empty line. Bytes beyond that line
// are ignored.
func Check(received []byte) error {
	line, rest := cutLine(string(received[:headLength(received)]))
	version, status, _ := strings.Cut(line, " ")
	if version != "HTTP/1.0" && version != "HTTP/1.1" {
		return &HeadError{badVersion, line}
	}
	if err := checkStatus(strings.TrimLeft(status, " ")); err != nil {
		return err
	}
	length, coding := false, false
	for {
		line, rest = cutLine(rest)
		if line == "" {
			break
		}
		if line[0] == ' ' || line[0] == '\t' {
			continue // the value of the line before, which net/http joins
		}
		name, value, _ := strings.Cut(line, ":")
		if err := checkField(name, value); err != nil {
			return err
		}
		length = length || strings.EqualFold(name, "Content-Length")
		coding = coding || strings.EqualFold(name, "Transfer-Encoding")
	}
	if coding && version == "HTTP/1.0" {
		return &HeadError{Problem: badCoding}
	}
	if coding && length {
		return &HeadError{Problem: twoLengths}
	}
	return nil
}

// headLength returns the length of the head with which b begins, without its empty line.
func headLength(b []byte) int {
	for n := 0; ; {
		end := bytes.IndexByte(b[n:], '\n')
		if end < 0 {
			return len(b)
		}
		if end == 0 || end == 1 && b[n] == '\r' {
			return n
		}
		n += end + 1
	}
}

// cutLine returns the first line without its end, and the rest.
func cutLine(text string) (line, rest string) {
	line, rest, _ = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), rest
}

// checkStatus checks the status code with which text begins.
func checkStatus(text string) error {
	code, _, _ := strings.Cut(text, " ")
	if len(code) != 3 || code[0] < '1' || code[0] > '5' || !isDigit(code[1]) || !isDigit(code[2]) {
		return &HeadError{badStatus, text}
	}
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

func checkField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return &HeadError{badName, name}
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return &HeadError{badValue, name}
	}
	return nil
}

// CheckFields checks the names and values of parsed headers or trailers.
func CheckFields(h http.Header) error {
	for name, values := range h {
		for _, value := range values {
			if err := checkField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// Transport returns a RoundTripper that passes requests to base, nil for http.DefaultTransport, and fails
// if the head of the answer is malformed.
func Transport(base http.RoundTripper) http.RoundTripper {
	if base == nil {
		base = http.DefaultTransport
	}
	return checkingTransport{base}
}

type checkingTransport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t checkingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkParsed(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkParsed checks a head that net/http has parsed.
func checkParsed(resp *http.Response) error {
	// HTTP/2 is negotiated by TLS and has no status line.
	if resp.TLS == nil && resp.ProtoMajor > 1 {
		return &HeadError{Problem: badVersion}
	}
	if resp.StatusCode < lowestStatus || resp.StatusCode > highestStatus {
		return &HeadError{badStatus, resp.Status}
	}
	return CheckFields(resp.Header)
}

// CloseIdleConnections closes the idle connections of the base.
func (t checkingTransport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
