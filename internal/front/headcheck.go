package front

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Shape is a way in which a request's head can mislead about where the request
// ends or whom it is for. Such requests are refused; two programs that read
// them differently would take part of one caller's request for another's.
type Shape uint8

// The refused shapes.
const (
	// ShapeNone: nothing is wrong.
	ShapeNone Shape = iota
	// ShapeLineEnd: a line feed without carriage return or the reverse.
	ShapeLineEnd
	// ShapeRequestLine: not "METHOD SP target SP HTTP/1.0 or 1.1".
	ShapeRequestLine
	// ShapeTarget: the target is not a path with an optional query, or has a
	// percent sign in the path that no two hexadecimal digits follow.
	ShapeTarget
	// ShapeFolded: a header goes on in the next line (obs-fold).
	ShapeFolded
	// ShapeHeader: a header line without a valid name directly before the colon,
	// or with control characters in its value.
	ShapeHeader
	// ShapeBothLengths: Content-Length together with Transfer-Encoding.
	ShapeBothLengths
	// ShapeLength: more than one Content-Length, or not a plain number.
	ShapeLength
	// ShapeCoding: a transfer coding other than chunked alone, or one in HTTP/1.0.
	ShapeCoding
	// ShapeTooLarge: the head is larger than allowed.
	ShapeTooLarge
	// ShapeMethod: CONNECT, which asks for a tunnel.
	ShapeMethod
	// ShapeHost: not exactly one valid Host; none is allowed in HTTP/1.0.
	ShapeHost
	// ShapeExpectation: an expectation other than 100-continue.
	ShapeExpectation
)

var shapeTexts = [...]string{
	ShapeNone:        "none",
	ShapeLineEnd:     "end each line of the head with CR LF",
	ShapeRequestLine: "send METHOD, one space, the target, one space, HTTP/1.1",
	ShapeTarget:      "send a target that begins with a slash, with valid percent-encoding and no fragment",
	ShapeFolded:      "send each header on one line",
	ShapeHeader:      "send header names as tokens directly before the colon and values without control characters",
	ShapeBothLengths: "send either Content-Length or Transfer-Encoding",
	ShapeLength:      "send one Content-Length, a plain decimal number",
	ShapeCoding:      "send the transfer coding chunked alone, and only with HTTP/1.1",
	ShapeTooLarge:    "send fewer or smaller headers",
	ShapeMethod:      "use another method than CONNECT",
	ShapeHost:        "send one Host with a valid name",
	ShapeExpectation: "expect nothing but 100-continue",
}

// String returns the remedy for the caller.
func (s Shape) String() string { return shapeTexts[s] }

// Status returns the status code with which the shape is refused.
func (s Shape) Status() int {
	switch s {
	case ShapeTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case ShapeCoding:
		return http.StatusNotImplemented
	case ShapeMethod:
		return http.StatusMethodNotAllowed
	case ShapeExpectation:
		return http.StatusExpectationFailed
	}
	return http.StatusBadRequest
}

// headInfo is what delimits the body that follows a head.
type headInfo struct {
	http10    bool
	lengths   int
	length    int64
	codings   int
	isChunked bool
	hosts     int
}

// maxLengthDigits keeps a Content-Length within an int64.
const maxLengthDigits = 18

// checkHead checks a whole head, up to and with its empty line.
func checkHead(head []byte) (headInfo, Shape) {
	var info headInfo
	line, rest, shape := cutLine(head)
	if shape != ShapeNone {
		return info, shape
	}
	if shape = info.requestLine(line); shape != ShapeNone {
		return info, shape
	}
	for {
		line, rest, shape = cutLine(rest)
		if shape != ShapeNone {
			return info, shape
		}
		if len(line) == 0 {
			return info, info.checkWhole()
		}
		if shape = info.headerLine(line); shape != ShapeNone {
			return info, shape
		}
	}
}

// cutLine returns the next line without its CR LF.
func cutLine(head []byte) (line, rest []byte, shape Shape) {
	end := bytes.IndexByte(head, '\n')
	if end < 1 || head[end-1] != '\r' {
		return nil, nil, ShapeLineEnd
	}
	line = head[:end-1]
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, nil, ShapeLineEnd
	}
	return line, head[end+1:], ShapeNone
}

func (h *headInfo) requestLine(line []byte) Shape {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	target, version, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || !validToken(method) {
		return ShapeRequestLine
	}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.http10 = true
	default:
		return ShapeRequestLine
	}
	if string(method) == http.MethodConnect {
		return ShapeMethod
	}
	return checkTarget(target)
}

func checkTarget(target []byte) Shape {
	if len(target) == 0 || target[0] != '/' {
		return ShapeTarget
	}
	for _, b := range target {
		if b <= ' ' || b >= 0x7f || b == '#' {
			return ShapeTarget
		}
	}
	path, _, _ := bytes.Cut(target, []byte("?"))
	if !validEscapes(path) {
		return ShapeTarget
	}
	return ShapeNone
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

func (h *headInfo) headerLine(line []byte) Shape {
	if line[0] == ' ' || line[0] == '\t' {
		return ShapeFolded
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !validToken(name) {
		return ShapeHeader
	}
	for _, b := range value {
		if b < ' ' && b != '\t' || b == 0x7f {
			return ShapeHeader
		}
	}
	switch {
	case equalFold(name, "Content-Length"):
		h.lengths++
		return h.contentLength(string(bytes.Trim(value, " \t")))
	case equalFold(name, "Transfer-Encoding"):
		h.codings++
		h.isChunked = equalFold(bytes.Trim(value, " \t"), "chunked")
	case equalFold(name, "Host"):
		h.hosts++
		if !httpguts.ValidHostHeader(string(bytes.Trim(value, " \t"))) {
			return ShapeHost
		}
	case equalFold(name, "Expect"):
		// net/http refuses any other by itself, without saying that nothing ran.
		if value = bytes.Trim(value, " \t"); len(value) > 0 && !equalFold(value, "100-continue") {
			return ShapeExpectation
		}
	}
	return ShapeNone
}

func (h *headInfo) contentLength(value string) Shape {
	if value == "" || len(value) > maxLengthDigits {
		return ShapeLength
	}
	for i := range len(value) {
		if value[i] < '0' || value[i] > '9' {
			return ShapeLength
		}
	}
	length, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return ShapeLength
	}
	h.length = length
	return ShapeNone
}

// checkWhole checks what takes all headers: that they name one host and delimit
// the body in exactly one way.
func (h *headInfo) checkWhole() Shape {
	switch {
	case h.hosts > 1, h.hosts == 0 && !h.http10:
		return ShapeHost
	case h.codings > 0 && h.lengths > 0:
		return ShapeBothLengths
	case h.lengths > 1:
		return ShapeLength
	case h.codings > 1, h.codings == 1 && (!h.isChunked || h.http10):
		return ShapeCoding
	}
	return ShapeNone
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

// equalFold compares without the allocation of a conversion.
func equalFold(b []byte, s string) bool {
	return len(b) == len(s) && strings.EqualFold(string(b), s)
}
