package front

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against request smuggling: two programs read the end of a request differently, and the
// rest of one caller's body is taken for another request. Each head that allows this must be
// refused as not run before any of it runs. The connection must then be closed, because it is
// unclear where the next request begins.
func TestHeadViolationsAreRefused(t *testing.T) {
	tests := []struct {
		name, request string
		status        int
		// plain is the status with which net/http alone refuses the request, or 200 if it does not.
		plain int
	}{
		{"both lengths", lines("POST / HTTP/1.1", "Host: a", "Content-Length: 5", "Transfer-Encoding: chunked", "", "0", "", "G"), 400, 200},
		{"both lengths, other order and case", lines("POST / HTTP/1.1", "Host: a", "transfer-encoding: chunked", "content-length: 5", "", "0", "", "G"), 400, 200},
		{"differing lengths", lines("POST / HTTP/1.1", "Host: a", "Content-Length: 1", "Content-Length: 2", "", "ab"), 400, 400},
		{"equal lengths twice", lines("POST / HTTP/1.1", "Host: a", "Content-Length: 1", "Content-Length: 1", "", "a"), 400, 200},
		{"list of lengths", lines("POST / HTTP/1.1", "Host: a", "Content-Length: 1, 1", "", "a"), 400, 400},
		{"signed length", lines("POST / HTTP/1.1", "Host: a", "Content-Length: +1", "", "a"), 400, 400},
		{"length that overflows", lines("POST / HTTP/1.1", "Host: a", "Content-Length: 99999999999999999999", "", "a"), 400, 400},
		{"unknown coding", lines("POST / HTTP/1.1", "Host: a", "Transfer-Encoding: gzip, chunked", "", ""), 501, 501},
		{"coding twice", lines("POST / HTTP/1.1", "Host: a", "Transfer-Encoding: chunked", "Transfer-Encoding: chunked", "", ""), 501, 501},
		{"coding in HTTP/1.0", lines("POST / HTTP/1.0", "Host: a", "Transfer-Encoding: chunked", "", "0", "", ""), 501, 200},
		{"bare line feed", "GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", 400, 200},
		{"head ended by bare line feeds", "GET / HTTP/1.1\nHost: a\n\n", 400, 200},
		{"bare carriage return", "GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n", 400, 400},
		{"folded header", lines("GET / HTTP/1.1", "Host: a", "X: b", " c", "", ""), 400, 200},
		{"space before colon", lines("POST / HTTP/1.1", "Host: a", "Content-Length : 1", "", "a"), 400, 400},
		{"zero byte", lines("GET / HTTP/1.1", "Host: a", "X: a\x00b", "", ""), 400, 400},
		{"no name", lines("GET / HTTP/1.1", "Host: a", ": b", "", ""), 400, 400},
		{"absolute target", lines("GET http://b/ HTTP/1.1", "Host: a", "", ""), 400, 200},
		{"no slash", lines("GET a HTTP/1.1", "Host: a", "", ""), 400, 400},
		{"asterisk", lines("OPTIONS * HTTP/1.1", "Host: a", "", ""), 400, 200},
		{"fragment", lines("GET /#a HTTP/1.1", "Host: a", "", ""), 400, 200},
		{"two spaces", lines("GET  / HTTP/1.1", "Host: a", "", ""), 400, 400},
		{"other version", lines("GET / HTTP/3.0", "Host: a", "", ""), 400, 505},
		{"tunnel", lines("CONNECT a:1 HTTP/1.1", "Host: a", "", ""), 405, 200},
		{"no host", lines("GET / HTTP/1.1", "", ""), 400, 400},
		{"two hosts", lines("GET / HTTP/1.1", "Host: a", "Host: b", "", ""), 400, 400},
		{"host with a space", lines("GET / HTTP/1.1", "Host: a b", "", ""), 400, 400},
		{"broken percent-encoding", lines("GET /a%2 HTTP/1.1", "Host: a", "", ""), 400, 400},
		{"unknown expectation", lines("GET / HTTP/1.1", "Host: a", "Expect: gold", "", ""), 417, 417},
		{"large head", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 5000) + "\r\n\r\n", 431, 200},
		{"endless line", strings.Repeat("x", 9000), 431, 400},
	}
	ran := make(chan string, 1)
	cfg := ServerConfig{Limits: Limits{HeaderBytes: 4096}, Refuse: func(w http.ResponseWriter, _ *http.Request, violation Violation) {
		w.Header().Set("Remedy", violation.String())
		w.WriteHeader(violation.Status())
	}}
	_, address := serve(t, cfg, func(_ http.ResponseWriter, r *http.Request) { ran <- r.RequestURI })
	plain := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer plain.Close()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := plainStatus(t, plain.Listener.Addr().String(), test.request); got != test.plain {
				t.Errorf("net/http alone answers %d, want %d", got, test.plain)
			}
			c := dial(t, address)
			c.send(test.request)
			resp, _, err := c.answer(http.MethodGet)
			if err != nil || resp.StatusCode != test.status {
				t.Fatalf("got %+v, %v; want status %d", resp, err, test.status)
			}
			if resp.Header.Get("Remedy") == "" {
				t.Error("net/http refused the request, without stating that it did not run")
			}
			if _, err := c.reader.ReadByte(); err == nil {
				t.Error("the connection stays open")
			}
		})
	}
	select {
	case target := <-ran:
		t.Errorf("a request to %q was passed on", target)
	default:
	}
}

// Pipelined requests arrive in pieces of any size. Each must get its own body, and a refusal must
// be sent after the answers to the requests in front of it.
func TestPipelinedRequestsKeepTheirBodies(t *testing.T) {
	_, address := serve(t, ServerConfig{}, echo)
	stream := lines("POST /1 HTTP/1.1", "Host: a", "Content-Length: 3", "", "one") +
		lines("POST /2 HTTP/1.1", "Host: a", "Transfer-Encoding: chunked", "", "2;ext=1", "tw", "1", "o", "0", "Sum: 1", "", "") +
		lines("", "GET /3 HTTP/1.1", "Host: a", "", "") +
		lines("POST /4 HTTP/1.1", "Host: a", "Content-Length: 1", "Content-Length: 2", "", "GET /5 HTTP/1.1", "Host: a", "", "")
	for _, size := range []int{1, 7, len(stream)} {
		c := dial(t, address)
		c.SetNoDelay(true)
		go func() {
			for rest := stream; rest != ""; rest = rest[min(size, len(rest)):] {
				c.send(rest[:min(size, len(rest))])
			}
		}()
		for _, want := range []string{"/1 one", "/2 two", "/3 "} {
			if _, text, err := c.answer(http.MethodGet); text != want || err != nil {
				t.Errorf("pieces of %d: got %q, %v; want %q", size, text, err, want)
			}
		}
		if resp, _, err := c.answer(http.MethodGet); err != nil || resp.StatusCode != 400 {
			t.Errorf("pieces of %d: got %+v, %v", size, resp, err)
		}
		if _, err := c.reader.ReadByte(); err == nil {
			t.Errorf("pieces of %d: the connection stays open after the refusal", size)
		}
	}
}

// Callers that send a head byte by byte, or stop in the middle of it, occupy connections of an
// entry. The connections must be closed in time, also after an answered request.
func TestSlowHeadIsNotAnswered(t *testing.T) {
	_, address := serve(t, ServerConfig{Limits: Limits{HeaderTimeout: 30 * time.Millisecond, Idle: time.Hour}}, echo)
	for _, earlier := range []string{"", lines("GET / HTTP/1.1", "Host: a", "", "")} {
		c := dial(t, address)
		c.send(earlier + "GET /slow HTTP/1.1\r\n")
		if earlier != "" {
			c.answer(http.MethodGet)
		}
		if _, err := c.reader.ReadByte(); err == nil {
			t.Errorf("after %q the slow head was answered", earlier)
		}
	}
}

// plainStatus returns the status with which a plain net/http server answers.
func plainStatus(t *testing.T, address, request string) int {
	c := dial(t, address)
	c.send(request)
	c.CloseWrite()
	resp, _, err := c.answer(http.MethodGet)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}
