package headcheck

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// heads are heads of answers without their empty line, and the problem of each.
var heads = []struct{ head, problem string }{
	{"HTTP/1.1 200 OK\r\nX-Odd: 1", ""},
	{"HTTP/1.0 404 Not Found", ""},
	{"HTTP/1.1 599", ""},
	{"HTTP/1.1 200 OK\r\nX-Folded: 1\r\n two", ""},
	{"HTTP/1.1 200 OK\r\nX-Empty:", ""},
	{"HTTP/1.1 000 OK", badStatus},
	{"HTTP/1.1 099 OK", badStatus},
	{"HTTP/1.1 600 OK", badStatus},
	{"HTTP/1.1 999 OK", badStatus},
	{"HTTP/1.1 +20 OK", badStatus},
	{"HTTP/2.0 200 OK", badVersion},
	{"HTTP/1.1 200 OK\r\nX Odd: 1", badName},
	{"HTTP/1.1 200 OK\r\nX-Odd : 1", badName},
	{"HTTP/1.1 200 OK\r\nContent-Length : 2", badName},
	{"HTTP/1.1 200 OK\r\nX\x01Odd: 1", badName},
	{"HTTP/1.1 200 OK\r\n: 1", badName},
	{"HTTP/1.1 200 OK\r\nno colon", badName},
	{"HTTP/1.1 200 OK\r\nX-Odd: 1\x00", badValue},
	{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked", badCoding},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\ncontent-length: 2", twoLengths},
}

// Guards against a malformed head that is taken for an answer.
func TestCheck(t *testing.T) {
	for _, c := range heads {
		for _, end := range []string{"\r\n\r\n", "\r\n\r\nbody: \x00", "\n\n"} {
			err := Check([]byte(c.head + end))
			if got, ok := err.(*HeadError); (c.problem != "") != ok || ok && got.Problem != c.problem {
				t.Errorf("%q: got %v, want %q", c.head, err, c.problem)
			}
		}
	}
}

// Guards against a malformed head that a client of net/http takes for an answer.
func TestTransportRefusesMalformedHeads(t *testing.T) {
	for _, c := range heads {
		if c.problem == badCoding || c.problem == twoLengths {
			continue // net/http hides these
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				io.WriteString(conn, c.head+"\r\nConnection: close\r\n\r\n")
			}
		}()
		client := http.Client{Transport: Transport(&http.Transport{})}
		resp, err := client.Get("http://" + l.Addr().String())
		if (err == nil) != (c.problem == "") {
			t.Errorf("%q: %v", c.head, err)
		}
		if err == nil {
			resp.Body.Close()
		}
		client.CloseIdleConnections()
		l.Close()
	}
}

// Guards against headers that pass the check of the received head and are malformed once parsed.
func FuzzCheck(f *testing.F) {
	for _, c := range heads {
		f.Add(c.head + "\r\n\r\n")
	}
	f.Fuzz(func(t *testing.T, head string) {
		if Check([]byte(head)) != nil {
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
		if err != nil {
			return
		}
		if err := CheckFields(resp.Header); err != nil {
			t.Errorf("%q: %v", head, err)
		}
	})
}
