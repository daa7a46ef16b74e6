package intake

import (
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against a client that sends a part of a body to a server which expects none, and then holds a
// connection for good.
func TestBoundServerEndsUnfinishedBodies(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.NotFoundHandler()}
	Bound(server, 2)
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	defer func() {
		server.Close()
		<-done
	}()
	for range 3 {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\npart")
		if answer, err := io.ReadAll(conn); err != nil || len(answer) == 0 {
			t.Errorf("got %q, %v", answer, err)
		}
	}
}
