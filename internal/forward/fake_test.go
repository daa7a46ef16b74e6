package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// endpoint is a fake endpoint. Its script handles each connection in a goroutine.
type endpoint struct {
	t       *testing.T
	address string
	// arrivals counts the requests of which at least one byte arrived.
	arrivals atomic.Int32
	conns    atomic.Int32
}

// endpointConn is one connection of a fake endpoint.
type endpointConn struct {
	*net.TCPConn
	endpoint *endpoint
	reader   *bufio.Reader
}

func newEndpoint(t *testing.T, script func(p *endpointConn, number int)) *endpoint {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &endpoint{t: t, address: listener.Addr().String()}
	go func() {
		for {
			tcp, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			p := &endpointConn{TCPConn: tcp, endpoint: e, reader: bufio.NewReader(tcp)}
			t.Cleanup(func() { tcp.Close() })
			number := int(e.conns.Add(1))
			go script(p, number)
		}
	}()
	return e
}

// awaitRequest waits for the first byte of a request and counts it.
func (p *endpointConn) awaitRequest() bool {
	if _, err := p.reader.Peek(1); err != nil {
		return false
	}
	p.endpoint.arrivals.Add(1)
	return true
}

// readRequest reads a whole request.
func (p *endpointConn) readRequest() *http.Request {
	if !p.awaitRequest() {
		return nil
	}
	r, err := http.ReadRequest(p.reader)
	if err != nil {
		return nil
	}
	io.Copy(io.Discard, r.Body)
	return r
}

func (p *endpointConn) writeText(text string) { io.WriteString(p, text) }

// reset closes the connection with a RST.
func (p *endpointConn) reset() {
	p.SetLinger(0)
	p.Close()
}

// dropIncoming makes the kernel drop every incoming segment, as if a network device between the two
// ends had lost the state of the connection.
func (p *endpointConn) dropIncoming() {
	raw, err := p.SyscallConn()
	if err != nil {
		p.endpoint.t.Error(err)
		return
	}
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	program := unix.SockFprog{Len: 1, Filter: &drop}
	raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err != nil {
		p.endpoint.t.Error(err)
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// answerEvery returns a script that sends the same answer to every request.
func answerEvery(answer string) func(*endpointConn, int) {
	return func(p *endpointConn, _ int) {
		for p.readRequest() != nil {
			p.writeText(answer)
		}
	}
}

// manualClock is a clock that the test advances.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) read() time.Duration     { return time.Duration(c.now.Load()) }
func (c *manualClock) advance(d time.Duration) { c.now.Add(int64(d)) }

func realClock() func() time.Duration {
	started := time.Now()
	return func() time.Duration { return time.Since(started) }
}

func newConnections(t testing.TB, cfg Config) *Connections {
	if cfg.Clock == nil {
		cfg.Clock = realClock()
	}
	c := New(cfg)
	t.Cleanup(c.Close)
	return c
}

func outgoing(t testing.TB, address, method, body string) Outgoing {
	r, err := http.NewRequest(method, "http://service/tray?kind=live", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Idempotency-Key", "key")
	out := Outgoing{Address: address, Request: r}
	if body != "" {
		out.Body, out.ContentLength = strings.NewReader(body), int64(len(body))
	}
	return out
}

// outgoingAgain returns another attempt at the same request.
func outgoingAgain(out Outgoing, body string) Outgoing {
	out.Body = strings.NewReader(body)
	return out
}

// exchangeText sends a request and returns the whole body of the answer.
func exchangeText(c *Connections, out Outgoing) (string, Delivery, error) {
	resp, delivery, err := c.Send(context.Background(), out)
	if err != nil {
		return "", delivery, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), delivery, err
}

func mustExchange(t *testing.T, c *Connections, out Outgoing) Delivery {
	t.Helper()
	text, delivery, err := exchangeText(c, out)
	if err != nil || text != "ok" {
		t.Fatalf("got %q, %v", text, err)
	}
	return delivery
}

// eventually waits up to 10 s for a condition that another goroutine or the kernel brings about.
func eventually(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatal("did not happen within 10 s: " + event)
		}
	}
}

// idleUnusable returns the condition that no idle connection to address can be reused.
func idleUnusable(c *Connections, address string) func() bool {
	return func() bool {
		p := c.lookup(address)
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.idle) == 0 || !p.idle[0].reusable()
	}
}
