package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/forward"
	"golang.org/x/sys/unix"
)

// The network of a caller fails in the middle of a streamed answer. No segment reports this: the
// sent data is just never acknowledged. The TCP user timeout must end the connection and thereby
// the endpoint's work.
func TestUnreachableCallerEndsRequest(t *testing.T) {
	ended := make(chan struct{})
	proceed := make(chan struct{})
	_, address := serve(t, ServerConfig{UserTimeout: 100 * time.Millisecond}, func(w http.ResponseWriter, r *http.Request) {
		<-proceed
		io.WriteString(w, "part")
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(ended)
	})
	c := dial(t, address)
	c.send(lines("GET / HTTP/1.1", "Host: a", "", ""))
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	program := unix.SockFprog{Len: 1, Filter: &drop}
	raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err != nil {
		t.Fatal(err)
	}
	close(proceed)
	<-ended
}

func TestTLSServesHTTP1(t *testing.T) {
	// The test server provides a certificate and a client that trusts it.
	tlsServer := httptest.NewTLSServer(nil)
	defer tlsServer.Close()
	_, address := serve(t, ServerConfig{TLS: tlsServer.TLS}, echo)
	resp, err := tlsServer.Client().Get("https://" + address + "/tray")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if text, err := io.ReadAll(resp.Body); string(text) != "/tray " || err != nil || resp.ProtoMajor != 1 {
		t.Errorf("got %q, %v, %s", text, err, resp.Proto)
	}
}

// BenchmarkCall compares calls that go directly to an endpoint with calls through front and
// forward, each on one reused connection and all in one process.
func BenchmarkCall(b *testing.B) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "0123456789012345678901234567890123456789")
	}))
	defer endpoint.Close()
	target, _ := url.Parse(endpoint.URL)
	connections := forward.New(forward.Config{Clock: testClock()})
	defer connections.Close()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	s := NewServer(ServerConfig{}, proxyTo(connections, target.Host, BodyLimits{Buffer: 64 << 10}))
	go s.Serve(listener)
	defer s.http.Close()
	plain := httptest.NewServer(proxyTo(connections, target.Host, BodyLimits{Buffer: 64 << 10}))
	defer plain.Close()
	routes := []struct{ name, address string }{
		{"direct", target.Host},
		{"through", listener.Addr().String()},
		{"through-without-guard", plain.Listener.Addr().String()},
	}
	for _, route := range routes {
		b.Run(route.name, func(b *testing.B) { callRaw(b, route.address) })
	}
}

// callRaw measures calls on one raw connection to address.
func callRaw(b *testing.B, address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request := lines("GET /tray?kind=live HTTP/1.1", "Host: a", "Tealhall-Service: live-counts", "Accept: */*", "", "")
	b.ReportAllocs()
	for b.Loop() {
		io.WriteString(conn, request)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
	}
}
