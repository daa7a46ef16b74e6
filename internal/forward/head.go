package forward

import (
	"bufio"
	"errors"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// The errors of a request that cannot be written as HTTP/1.1. A line break in any part would let a
// caller inject headers or a whole request.
var (
	errMethod = errors.New("the method is not a token")
	errTarget = errors.New("the target contains a space or a control character")
	errHost   = errors.New("the host is not valid")
	errHeader = errors.New("a header name or value is not valid")
)

// framing is how the body of a request is delimited.
type framing struct {
	length  int64
	chunked bool
}

// framing returns how the body is delimited.
func (o *Outgoing) framing() framing {
	switch {
	case o.Body == nil || o.ContentLength == 0:
		return framing{}
	case o.ContentLength < 0 || len(o.Trailer) > 0:
		return framing{chunked: true, length: -1}
	}
	return framing{length: o.ContentLength}
}

// hasBody reports whether the request has a body after its head.
func (f framing) hasBody() bool { return f.chunked || f.length > 0 }

// awaitsContinue reports whether the request asks the endpoint, by "Expect: 100-continue", before
// its body is sent. A small body in memory is sent without asking, unless the entry's own headers
// say otherwise.
func (o *Outgoing) awaitsContinue(body framing, small bool) bool {
	if !body.hasBody() {
		return false
	}
	return expectsContinue(o.Extra) || !small && expectsContinue(o.Request.Header)
}

// writeHead writes the request line and the headers into w's buffer. If expectContinue is set, the
// headers include "Expect: 100-continue".
func (o *Outgoing) writeHead(w *bufio.Writer, body framing, expectContinue bool) error {
	r := o.Request
	target := r.URL.RequestURI()
	if err := checkRequestLine(r, target); err != nil {
		return err
	}
	writeStrings(w, r.Method, " ", target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n")
	connection := r.Header["Connection"]
	for name, values := range r.Header {
		if o.replacesHeader(name) || HopByHop(name, connection) {
			continue
		}
		if err := writeHeader(w, name, values); err != nil {
			return err
		}
	}
	for name, values := range o.Extra {
		if name == "Expect" {
			continue
		}
		if err := writeHeader(w, name, values); err != nil {
			return err
		}
	}
	if expectContinue {
		writeStrings(w, "Expect: 100-continue\r\n")
	}
	o.writeFraming(w, body)
	_, err := w.WriteString("\r\n")
	return err
}

// replacesHeader reports whether the entry writes the header itself, in place of the caller's.
func (o *Outgoing) replacesHeader(name string) bool {
	switch name {
	case "Host", "Content-Length", "Expect":
		return true
	}
	_, replaced := o.Extra[name]
	return replaced
}

// writeFraming writes the headers that delimit the body and announce trailers.
func (o *Outgoing) writeFraming(w *bufio.Writer, body framing) {
	switch {
	case body.chunked:
		writeStrings(w, "Transfer-Encoding: chunked\r\n")
		for name := range o.Trailer {
			writeStrings(w, "Trailer: ", name, "\r\n")
		}
	case body.length > 0 || methodWithBody(o.Request.Method):
		var digits [20]byte
		writeStrings(w, "Content-Length: ")
		w.Write(strconv.AppendInt(digits[:0], body.length, 10))
		writeStrings(w, "\r\n")
	}
	if o.acceptsTrailers() {
		writeStrings(w, "Te: trailers\r\n")
	}
}

// acceptsTrailers reports whether the caller accepts trailers, by "TE: trailers".
func (o *Outgoing) acceptsTrailers() bool {
	for _, value := range o.Request.Header["Te"] {
		if listContains(value, "trailers") {
			return true
		}
	}
	return false
}

// methodWithBody reports whether requests of the method usually have a body. For them an empty body
// is announced by "Content-Length: 0".
func methodWithBody(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}

// checkRequestLine returns an error unless method, target and host form exactly one request line
// and one Host header.
func checkRequestLine(r *http.Request, target string) error {
	if !validToken(r.Method) || r.Method == http.MethodConnect {
		return errMethod
	}
	for i := range len(target) {
		if target[i] <= ' ' || target[i] == 0x7f {
			return errTarget
		}
	}
	if target == "" || !httpguts.ValidHostHeader(r.Host) {
		return errHost
	}
	return nil
}

func validToken(token string) bool { return httpguts.ValidHeaderFieldName(token) }

func writeHeader(w *bufio.Writer, name string, values []string) error {
	if !validToken(name) {
		return errHeader
	}
	for _, value := range values {
		if !httpguts.ValidHeaderFieldValue(value) {
			return errHeader
		}
		writeStrings(w, name, ": ", value, "\r\n")
	}
	return nil
}

// writeStrings writes into w's buffer. An error stays in w and is returned by its Flush.
func writeStrings(w *bufio.Writer, parts ...string) {
	for _, part := range parts {
		w.WriteString(part)
	}
}
