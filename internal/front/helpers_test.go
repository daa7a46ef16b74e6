package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/forward/socket"
)

// serve starts a server with handler on loopback and returns it with its address.
func serve(t *testing.T, cfg ServerConfig, handler http.HandlerFunc) (*Server, string) {
	t.Helper()
	listener, err := socket.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(cfg, handler)
	done := make(chan error, 1)
	go func() { done <- s.Serve(listener) }()
	t.Cleanup(func() {
		s.http.Close()
		listener.Close()
		<-done
	})
	return s, listener.Addr().String()
}

// caller is a caller that uses a raw TCP connection.
type caller struct {
	*net.TCPConn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &caller{TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

func (c *caller) send(text string) { io.WriteString(c, text) }

// answer reads one complete answer.
func (c *caller) answer(method string) (*http.Response, string, error) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// fakeAnswer returns an endpoint's answer with the given body, and with hop-by-hop headers.
func fakeAnswer(body io.Reader, length int64) *http.Response {
	return &http.Response{
		StatusCode:    http.StatusOK,
		Header:        http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"5"}, "X-End": {"2"}},
		Body:          io.NopCloser(body),
		ContentLength: length,
	}
}

// echo answers with the target and the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	io.WriteString(w, r.RequestURI+" "+string(body))
}

// await waits until the condition holds.
func await(t *testing.T, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
	defer cancel()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatal("timed out")
		}
	}
}

// awaitTimeout bounds the wait for a condition.
const awaitTimeout = time.Minute

// lines joins the lines of a message with CR LF.
func lines(parts ...string) string { return strings.Join(parts, "\r\n") }
