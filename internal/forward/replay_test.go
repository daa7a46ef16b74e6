package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// connFailures are the points at which a reused connection can fail.
var connFailures = []struct {
	name string
	// idle is set when the connection fails before the request.
	idle      bool
	breakConn func(*endpointConn)
	body      string
	want      Failure
	// arrivals is how many times the second request must arrive at the endpoint.
	arrivals int32
}{
	{"closed while idle", true, func(p *endpointConn) { p.Close() }, "tray", None, 1},
	{"reset while idle", true, (*endpointConn).reset, "tray", None, 1},
	{"unsolicited answer while idle", true, func(p *endpointConn) { p.writeText(okAnswer) }, "tray", None, 1},
	{"reset at the first byte", false, func(p *endpointConn) { p.awaitRequest(); p.reset() }, "tray", ConnectionLost, 1},
	{"closed after the request", false, func(p *endpointConn) { p.readRequest(); p.Close() }, "tray", ConnectionLost, 1},
	{"closed after a request without body", false, func(p *endpointConn) { p.readRequest(); p.Close() }, "", ConnectionLost, 1},
	{"reset in the middle of an upload", false, func(p *endpointConn) { p.awaitRequest(); p.reset() }, strings.Repeat("x", 1<<20), ConnectionLost, 1},
	{"closed in the status line", false, func(p *endpointConn) { p.readRequest(); p.writeText("HTTP/1.1 2"); p.Close() }, "tray", ConnectionLost, 1},
	{"closed in the head", false, func(p *endpointConn) { p.readRequest(); p.writeText("HTTP/1.1 200 OK\r\nContent-"); p.Close() }, "tray", ConnectionLost, 1},
	{"closed after the head", false, func(p *endpointConn) {
		p.readRequest()
		p.writeText("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
		p.Close()
	}, "tray", Truncated, 1},
	{"closed in the body", false, func(p *endpointConn) {
		p.readRequest()
		p.writeText("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
		p.Close()
	}, "tray", Truncated, 1},
}

// Guards against a request that runs twice: the entry writes it on a reused connection, the
// endpoint runs it, and the connection fails before the whole answer has arrived. The standard
// transport then sends the request again by itself, because it carries an Idempotency-Key.
func TestRequestIsNeverSentTwice(t *testing.T) {
	for _, failure := range connFailures {
		t.Run(failure.name, func(t *testing.T) {
			e := newEndpoint(t, breakOnce(failure.idle, failure.breakConn))
			c := newConnections(t, Config{})
			mustExchange(t, c, outgoing(t, e.address, http.MethodPost, "first"))
			if failure.idle {
				eventually(t, "the idle connection's failure is visible", idleUnusable(c, e.address))
			}
			_, delivery, err := exchangeText(c, outgoing(t, e.address, http.MethodPost, failure.body))
			if FailureOf(err) != failure.want {
				t.Errorf("got %v, want %v", err, failure.want)
			}
			if !delivery.Wrote {
				t.Error("the request was written, but is reported as not written")
			}
			if got := e.arrivals.Load() - 1; got != failure.arrivals {
				t.Errorf("the request arrived %d times, want %d", got, failure.arrivals)
			}
		})
	}
}

// breakOnce returns a script that answers the first request of the first connection and then breaks
// that connection. Other connections answer every request.
func breakOnce(idle bool, breakConn func(*endpointConn)) func(*endpointConn, int) {
	return func(p *endpointConn, number int) {
		p.readRequest()
		p.writeText(okAnswer)
		if number == 1 {
			breakConn(p)
		}
		if number > 1 || idle {
			answerEvery(okAnswer)(p, number)
		}
	}
}

// Documents why the package does not use the standard transport: it sends a request again after the
// same connection failure. If this test fails because the transport no longer does so, the design
// document must be updated.
func TestStandardTransportReplays(t *testing.T) {
	e := newEndpoint(t, breakOnce(false, func(p *endpointConn) { p.readRequest(); p.Close() }))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for range 2 {
		out := outgoing(t, e.address, http.MethodPost, "")
		out.Request.URL.Host = e.address
		resp, err := transport.RoundTrip(out.Request)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if got := e.arrivals.Load() - 1; got != 2 {
		t.Errorf("the second request arrived %d times, want the replay, 2", got)
	}
}

// If the dial fails or the request cannot be written, no byte has been sent, and the Delivery must
// say so. Otherwise the caller gets the outcome "unknown" although nothing ran, and an operator has
// to look up by hand whether the request was carried out.
func TestFailureBeforeWritingReportsNothingWritten(t *testing.T) {
	e := newEndpoint(t, answerEvery(okAnswer))
	full := newEndpoint(t, answerEvery(okAnswer))
	c := newConnections(t, Config{MaxConnsPerEndpoint: 1})
	cases := []struct {
		name   string
		change func(*Outgoing)
		want   Failure
	}{
		{"no listener", func(o *Outgoing) { o.Address = unusedAddress(t) }, DialRefused},
		{"header with line break", func(o *Outgoing) { o.Extra = http.Header{"X": {"a\r\nb: c"}} }, BadRequest},
		{"header name with space", func(o *Outgoing) { o.Extra = http.Header{"X y": {"a"}} }, BadRequest},
		{"host with space", func(o *Outgoing) { o.Request.Host = "a b" }, BadRequest},
		{"target with line break", func(o *Outgoing) { o.Request.URL.RawQuery = "a\r\nb" }, BadRequest},
		{"method with space", func(o *Outgoing) { o.Request.Method = "GET /" }, BadRequest},
		{"CONNECT method", func(o *Outgoing) { o.Request.Method = http.MethodConnect }, BadRequest},
		{"connection limit reached", func(o *Outgoing) { o.Address = full.address }, NoConnection},
	}
	busy, _, err := c.Send(t.Context(), outgoing(t, full.address, http.MethodGet, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Body.Close()
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			out := outgoing(t, e.address, http.MethodPost, "tray")
			test.change(&out)
			_, delivery, err := c.Send(t.Context(), out)
			if FailureOf(err) != test.want || delivery.Wrote {
				t.Errorf("got %v, wrote %v; want %v, nothing written", err, delivery.Wrote, test.want)
			}
		})
	}
	if got := e.arrivals.Load(); got != 0 {
		t.Errorf("%d requests arrived", got)
	}
}
