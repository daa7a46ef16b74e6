package front

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Violation is the reason for which a request head is refused. Most violations leave it ambiguous
// where the request ends or for which host it is. If two programs read such a request differently,
// one of them may take a part of it for another request.
type Violation uint8

// The violations.
const (
	// ViolationNone: the head is accepted.
	ViolationNone Violation = iota
	// ViolationLineEnd: the head has a line feed without a carriage return, or the reverse.
	ViolationLineEnd
	// ViolationRequestLine: the request line is not "METHOD SP target SP HTTP/1.0 or 1.1".
	ViolationRequestLine
	// ViolationTarget: the target is not a path with an optional query, or a percent sign in the
	// path is not followed by two hexadecimal digits.
	ViolationTarget
	// ViolationFolded: a header continues on the next line (obs-fold).
	ViolationFolded
	// ViolationHeader: a header line has no valid name directly before the colon, or control
	// characters in its value.
	ViolationHeader
	// ViolationBothLengths: the head has both Content-Length and Transfer-Encoding.
	ViolationBothLengths
	// ViolationLength: the head has more than one Content-Length, or one that is not a plain
	// number.
	ViolationLength
	// ViolationCoding: the transfer coding is not chunked alone, or the request is HTTP/1.0 and has
	// one.
	ViolationCoding
	// ViolationTooLarge: the head exceeds the size limit.
	ViolationTooLarge
	// ViolationMethod: the method is CONNECT, which asks for a tunnel.
	ViolationMethod
	// ViolationHost: the head does not have exactly one valid Host. HTTP/1.0 allows none.
	ViolationHost
	// ViolationExpectation: the expectation is not 100-continue.
	ViolationExpectation
	// ViolationNoMemory: no memory is left for a head of this size.
	ViolationNoMemory
)

var violationTexts = [...]string{
	ViolationNone:        "none",
	ViolationLineEnd:     "end each line of the head with CR LF",
	ViolationRequestLine: "send METHOD, one space, the target, one space, HTTP/1.1",
	ViolationTarget:      "send a target that begins with a slash, with valid percent-encoding and no fragment",
	ViolationFolded:      "send each header on one line",
	ViolationHeader:      "send header names as tokens directly before the colon and values without control characters",
	ViolationBothLengths: "send either Content-Length or Transfer-Encoding",
	ViolationLength:      "send one Content-Length, a plain decimal number",
	ViolationCoding:      "send the transfer coding chunked alone, and only with HTTP/1.1",
	ViolationTooLarge:    "send fewer or smaller headers",
	ViolationMethod:      "use another method than CONNECT",
	ViolationHost:        "send one Host with a valid name",
	ViolationExpectation: "expect nothing but 100-continue",
	ViolationNoMemory:    "use another entry or send smaller headers; this one has no memory for a large head",
}

// String returns the remedy for the caller.
func (v Violation) String() string { return violationTexts[v] }

// Status returns the status code of the refusal.
func (v Violation) Status() int {
	switch v {
	case ViolationTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case ViolationCoding:
		return http.StatusNotImplemented
	case ViolationMethod:
		return http.StatusMethodNotAllowed
	case ViolationNoMemory:
		return http.StatusServiceUnavailable
	case ViolationExpectation:
		return http.StatusExpectationFailed
	}
	return http.StatusBadRequest
}

// headInfo is the result of checking a head: the framing of the body, and the counts of headers
// that may occur only once.
type headInfo struct {
	http10    bool
	lengths   int
	length    int64
	codings   int
	isChunked bool
	hosts     int
}

// maxLengthDigits keeps a Content-Length within the range of an int64.
const maxLengthDigits = 18

// checkHead checks a whole head, including its empty line.
func checkHead(head []byte) (headInfo, Violation) {
	var info headInfo
	line, rest, violation := cutLine(head)
	if violation != ViolationNone {
		return info, violation
	}
	if violation = info.parseRequestLine(line); violation != ViolationNone {
		return info, violation
	}
	for {
		line, rest, violation = cutLine(rest)
		if violation != ViolationNone {
			return info, violation
		}
		if len(line) == 0 {
			return info, info.checkWhole()
		}
		if violation = info.parseHeaderLine(line); violation != ViolationNone {
			return info, violation
		}
	}
}

// cutLine returns the next line without its CR LF.
func cutLine(head []byte) (line, rest []byte, violation Violation) {
	end := bytes.IndexByte(head, '\n')
	if end < 1 || head[end-1] != '\r' {
		return nil, nil, ViolationLineEnd
	}
	line = head[:end-1]
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, nil, ViolationLineEnd
	}
	return line, head[end+1:], ViolationNone
}

func (h *headInfo) parseRequestLine(line []byte) Violation {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	target, version, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || !validToken(method) {
		return ViolationRequestLine
	}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.http10 = true
	default:
		return ViolationRequestLine
	}
	if string(method) == http.MethodConnect {
		return ViolationMethod
	}
	return checkTarget(target)
}

func checkTarget(target []byte) Violation {
	if len(target) == 0 || target[0] != '/' {
		return ViolationTarget
	}
	for _, b := range target {
		if b <= ' ' || b >= 0x7f || b == '#' {
			return ViolationTarget
		}
	}
	path, _, _ := bytes.Cut(target, []byte("?"))
	if !validEscapes(path) {
		return ViolationTarget
	}
	return ViolationNone
}

// validEscapes reports whether two hexadecimal digits follow each percent sign.
func validEscapes(path []byte) bool {
	for {
		_, rest, found := bytes.Cut(path, []byte("%"))
		if !found {
			return true
		}
		if len(rest) < 2 || !isHex(rest[0]) || !isHex(rest[1]) {
			return false
		}
		path = rest[2:]
	}
}

func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

func (h *headInfo) parseHeaderLine(line []byte) Violation {
	if line[0] == ' ' || line[0] == '\t' {
		return ViolationFolded
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !validToken(name) {
		return ViolationHeader
	}
	for _, b := range value {
		if b < ' ' && b != '\t' || b == 0x7f {
			return ViolationHeader
		}
	}
	switch {
	case equalFold(name, "Content-Length"):
		h.lengths++
		return h.parseContentLength(string(bytes.Trim(value, " \t")))
	case equalFold(name, "Transfer-Encoding"):
		h.codings++
		h.isChunked = equalFold(bytes.Trim(value, " \t"), "chunked")
	case equalFold(name, "Host"):
		h.hosts++
		if !httpguts.ValidHostHeader(string(bytes.Trim(value, " \t"))) {
			return ViolationHost
		}
	case equalFold(name, "Expect"):
		// net/http itself refuses any other expectation, but does not state that the request did
		// not run.
		if value = bytes.Trim(value, " \t"); len(value) > 0 && !equalFold(value, "100-continue") {
			return ViolationExpectation
		}
	}
	return ViolationNone
}

func (h *headInfo) parseContentLength(value string) Violation {
	if value == "" || len(value) > maxLengthDigits {
		return ViolationLength
	}
	for i := range len(value) {
		if value[i] < '0' || value[i] > '9' {
			return ViolationLength
		}
	}
	length, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return ViolationLength
	}
	h.length = length
	return ViolationNone
}

// checkWhole runs the checks that need all headers: the head names one host and delimits the body
// in exactly one way.
func (h *headInfo) checkWhole() Violation {
	switch {
	case h.hosts > 1, h.hosts == 0 && !h.http10:
		return ViolationHost
	case h.codings > 0 && h.lengths > 0:
		return ViolationBothLengths
	case h.lengths > 1:
		return ViolationLength
	case h.codings > 1, h.codings == 1 && (!h.isChunked || h.http10):
		return ViolationCoding
	}
	return ViolationNone
}

// validToken reports whether b is a token of RFC 9110.
func validToken(b []byte) bool {
	for _, c := range b {
		if !httpguts.IsTokenRune(rune(c)) {
			return false
		}
	}
	return len(b) > 0
}

// equalFold compares without allocating a string.
func equalFold(b []byte, s string) bool {
	return len(b) == len(s) && strings.EqualFold(string(b), s)
}
