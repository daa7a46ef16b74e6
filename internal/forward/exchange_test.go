package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/fault"
)

// unusedAddress returns an address on which no process listens.
func unusedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func TestAnswerFraming(t *testing.T) {
	tests := []struct {
		name, method, answer string
		cfg                  Config
		want                 string
		failure              Failure
		reused               bool
	}{
		{"length", "GET", okAnswer, Config{}, "ok", None, true},
		{"chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Config{}, "ok", None, true},
		{"empty", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Config{}, "", None, true},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", Config{}, "", None, true},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\n\r\n", Config{}, "", None, true},
		{"not modified with a body", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\nok", Config{}, "", None, false},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", Config{}, "", None, false},
		{"close", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", Config{}, "ok", None, false},
		{"more than announced", "GET", okAnswer + "more", Config{}, "ok", None, false},
		{"informational", "GET", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + okAnswer, Config{}, "ok", None, true},
		{"short", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", Config{}, "ok", Truncated, false},
		{"cut in a chunk", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", Config{}, "ok", Truncated, false},
		{"cut before the last chunk", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", Config{}, "ok", Truncated, false},
		{"cut in the trailers", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nSum: 1", Config{}, "ok", Truncated, false},
		{"unframed", "GET", "HTTP/1.1 200 OK\r\n\r\nok", Config{}, "", BadAnswer, false},
		{"unframed but allowed", "GET", "HTTP/1.0 200 OK\r\n\r\nok", Config{AllowUnframed: true}, "ok", None, false},
		{"head too large", "GET", "HTTP/1.1 200 OK\r\nPad: " + strings.Repeat("x", 9000) + "\r\n\r\n", Config{MaxResponseHeaderBytes: 4096}, "", BadAnswer, false},
		{"endless informational", "GET", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000), Config{MaxResponseHeaderBytes: 4096}, "", BadAnswer, false},
		{"not HTTP", "GET", "SSH-2.0\r\n\r\n", Config{}, "", BadAnswer, false},
		{"two lengths", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", Config{}, "", BadAnswer, false},
		{"status 000", "GET", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", Config{}, "", BadAnswer, false},
		{"status 000 before another answer", "GET", "HTTP/1.1 000 OK\r\n\r\n" + okAnswer, Config{}, "", BadAnswer, false},
		{"status 999", "GET", "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok", Config{}, "", BadAnswer, false},
		{"blank in a name", "GET", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok", Config{}, "", BadAnswer, false},
		{"blank behind a name", "GET", "HTTP/1.1 200 OK\r\nX-Odd : 1\r\nContent-Length: 2\r\n\r\nok", Config{}, "", BadAnswer, false},
		{"blank behind the length", "GET", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nok", Config{AllowUnframed: true}, "", BadAnswer, false},
		{"control byte in a name", "GET", "HTTP/1.1 200 OK\r\nX\x02Odd: 1\r\nContent-Length: 2\r\n\r\nok", Config{}, "", BadAnswer, false},
		{"blank in a trailer", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Sum: 1\r\n\r\n", Config{}, "ok", BadAnswer, false},
		{"chunks in HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Config{AllowUnframed: true}, "", BadAnswer, false},
		{"length and chunks", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Config{}, "", BadAnswer, false},
		{"odd name in an informational answer", "GET", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + okAnswer, Config{}, "", BadAnswer, false},
		{"other protocol", "GET", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", Config{}, "", BadAnswer, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEndpoint(t, func(p *endpointConn, _ int) {
				p.readRequest()
				p.writeText(test.answer)
				p.CloseWrite()
			})
			c := newConnections(t, test.cfg)
			out := outgoing(t, e.address, test.method, "")
			text, _, err := exchangeText(c, out)
			if text != test.want || FailureOf(err) != test.failure {
				t.Errorf("got %q, %v; want %q, %v", text, err, test.want, test.failure)
			}
			if got := c.Stats(e.address).Idle == 1; got != test.reused {
				t.Errorf("connection kept: %v, want %v", got, test.reused)
			}
		})
	}
}

// An upload may be larger than the entry's memory or arrive slowly. Each part must reach the
// endpoint before the next one is read.
func TestUploadIsStreamed(t *testing.T) {
	parts := make(chan string)
	e := newEndpoint(t, func(p *endpointConn, _ int) {
		p.awaitRequest()
		r, err := http.ReadRequest(p.reader)
		if err != nil {
			t.Error(err)
			return
		}
		buffer := make([]byte, 3)
		for range 2 {
			io.ReadFull(r.Body, buffer)
			parts <- string(buffer)
		}
		io.Copy(io.Discard, r.Body)
		parts <- r.Trailer.Get("Sum")
		p.writeText("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Got\r\n\r\n2\r\nok\r\n0\r\nGot: 6\r\n\r\n")
	})
	c := newConnections(t, Config{})
	reader, writer := io.Pipe()
	out := outgoing(t, e.address, http.MethodPut, "")
	out.Body, out.ContentLength, out.Trailer = reader, -1, http.Header{"Sum": nil}
	go func() {
		for _, part := range []string{"one", "two"} {
			writer.Write([]byte(part))
			if got := <-parts; got != part {
				t.Errorf("got %q, want %q", got, part)
			}
		}
		out.Trailer.Set("Sum", "42")
		writer.Close()
		if got := <-parts; got != "42" {
			t.Errorf("the endpoint got trailer %q, want 42", got)
		}
	}()
	resp, _, err := c.Send(t.Context(), out)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	if got := resp.Trailer.Get("Got"); got != "6" {
		t.Errorf("the answer has trailer %q, want 6", got)
	}
	if c.Stats(e.address).Idle != 1 {
		t.Error("the connection was not kept")
	}
}

// blockedBody is a body whose Read blocks until it is interrupted.
type blockedBody struct{ interrupted chan struct{} }

func (b *blockedBody) Read([]byte) (int, error) {
	<-b.interrupted
	return 0, errors.New("interrupted")
}
func (b *blockedBody) Interrupt() { close(b.interrupted) }

// An endpoint may refuse an upload before it has received the body. The caller must get that answer
// at once rather than after the upload. The connection must not be reused, because the endpoint
// still expects the rest of the body on it.
func TestEarlyAnswerStopsTheUpload(t *testing.T) {
	const refusal = "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno"
	for _, expect := range []string{"", "100-continue"} {
		t.Run("expect "+expect, func(t *testing.T) {
			e := newEndpoint(t, func(p *endpointConn, _ int) { p.awaitRequest(); p.writeText(refusal) })
			c := newConnections(t, Config{})
			out := outgoing(t, e.address, http.MethodPut, "")
			body := &blockedBody{interrupted: make(chan struct{})}
			out.Body, out.ContentLength = body, 1<<30
			if expect != "" {
				out.Request.Header.Set("Expect", expect)
				out.Body = forbiddenBody{t}
			}
			text, _, err := exchangeText(c, out)
			if text != "no" || err != nil {
				t.Errorf("got %q, %v", text, err)
			}
			if got := c.Stats(e.address); got.Idle+got.Busy != 0 {
				t.Errorf("the connection was kept: %+v", got)
			}
		})
	}
}

// forbiddenBody fails the test when it is read.
type forbiddenBody struct{ t *testing.T }

func (f forbiddenBody) Read([]byte) (int, error) {
	f.t.Error("the body was read though the endpoint refused it")
	return 0, io.EOF
}

func TestExpectContinue(t *testing.T) {
	for _, interim := range []string{"HTTP/1.1 100 Continue\r\n\r\n", ""} {
		e := newEndpoint(t, func(p *endpointConn, _ int) {
			p.awaitRequest()
			head, _ := http.ReadRequest(p.reader)
			p.writeText(interim)
			text, _ := io.ReadAll(head.Body)
			p.writeText("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + string(text))
		})
		c := newConnections(t, Config{ContinueTimeout: 20 * time.Millisecond})
		out := outgoing(t, e.address, http.MethodPost, "scan")
		out.Extra = http.Header{"Expect": {"100-continue"}}
		if text, _, err := exchangeText(c, out); text != "scan" || err != nil {
			t.Errorf("interim answer %q: got %q, %v", interim, text, err)
		}
	}
}

// When a caller's upload ends early, the endpoint must not take the partial body for a whole one,
// and the failure must not be attributed to the endpoint.
func TestShortBodyIsNotTheEndpointsFailure(t *testing.T) {
	result := make(chan error, 1)
	e := newEndpoint(t, func(p *endpointConn, _ int) {
		p.awaitRequest()
		r, _ := http.ReadRequest(p.reader)
		_, err := io.Copy(io.Discard, r.Body)
		result <- err
	})
	c := newConnections(t, Config{})
	out := outgoing(t, e.address, http.MethodPost, "")
	out.Body, out.ContentLength = io.MultiReader(strings.NewReader("half")), 8
	_, _, err := exchangeText(c, out)
	if FailureOf(err) != BadBody || fault.KindOf(err) != fault.BadRequest {
		t.Errorf("got %v", err)
	}
	if err := <-result; !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("the endpoint's read of the body returned %v, want an unexpected EOF", err)
	}
}

// When the caller leaves, the endpoint must see its connection end, however far the answer has got.
// Otherwise it goes on with useless work and keeps a slot occupied.
func TestCancellationReachesTheEndpoint(t *testing.T) {
	tests := []struct{ name, answer string }{
		{"before the answer", ""},
		{"in the head", "HTTP/1.1 200 OK\r\n"},
		{"in the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			readErr := make(chan error, 1)
			e := newEndpoint(t, func(p *endpointConn, _ int) {
				p.readRequest()
				p.writeText(test.answer)
				if !strings.HasSuffix(test.answer, "ok") {
					cancel()
				}
				_, err := bufio.NewReader(p).ReadByte()
				readErr <- err
			})
			c := newConnections(t, Config{})
			resp, _, err := c.Send(ctx, outgoing(t, e.address, http.MethodGet, ""))
			if err == nil {
				cancel()
				_, err = io.ReadAll(resp.Body)
				resp.Body.Close()
			}
			if FailureOf(err) != Cancelled {
				t.Errorf("got %v", err)
			}
			if err := <-readErr; err == nil {
				t.Error("the endpoint did not see the connection end")
			}
		})
	}
}
