package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against an exchange that goes on for as long as an endpoint sends bytes that are no answer,
// which keeps a request, a connection and the VM's link busy until the deadline.
func TestEndlessBytesEndTheExchange(t *testing.T) {
	const (
		// mostRead bounds the bytes read from one connection, mostSent those that the endpoint hands
		// to the kernel, whose buffers hold some megabytes.
		mostRead = maxStrayAnswers*maxStrayBytes + 2*defaultHeaderBytes
		mostSent = mostRead + 16<<20
		deadline = 20 * time.Second
	)
	stray := "HTTP/1.1 200 OK\r\nFor: a\r\n"
	for _, c := range []struct{ name, begin, repeat string }{
		{"no line", "", "x"},
		{"lines that are no head", "", "not an answer\r\n"},
		{"header fields", "HTTP/1.1 200 OK\r\n", "Field: value\r\n"},
		{"one header field", "HTTP/1.1 200 OK\r\nField: ", "v"},
		{"informational answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"body of a stray answer", stray + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		{"long body of a stray answer", stray + "Content-Length: 9000000000000\r\n\r\n", "abcd"},
		{"size of a chunk", "HTTP/1.1 200 OK\r\nFor: b\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", "HTTP/1.1 200 OK\r\nFor: b\r\nTransfer-Encoding: chunked\r\n\r\n2;", "x"},
		{"trailer fields", "HTTP/1.1 200 OK\r\nFor: b\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Field: value\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent atomic.Int64
			ended := make(chan struct{})
			e := newEndpoint(t, func(p *endpointConn, _ int) {
				defer close(ended)
				p.readRequest()
				p.writeText(c.begin)
				piece := strings.Repeat(c.repeat, 1+4096/len(c.repeat))
				for {
					n, err := io.WriteString(p, piece)
					if sent.Add(int64(n)); err != nil {
						return
					}
				}
			})
			out := outgoing(t, e.address, http.MethodGet, "")
			out.IsStray = func(answer http.Header) bool { return answer.Get("For") == "a" }
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			response, _, err := newConnections(t, Config{}).Send(ctx, out)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			if failure := FailureOf(err); failure != BadAnswer && failure != Truncated {
				t.Errorf("failure %v (%v)", failure, err)
			}
			<-ended
			if sent.Load() > mostSent {
				t.Errorf("the endpoint could send %d bytes, at most %d are accepted", sent.Load(), mostSent)
			}
		})
	}
}
