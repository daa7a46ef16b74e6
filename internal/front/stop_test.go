package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/forward"
	"github.com/tealhall/tealhall/internal/forward/socket"
)

func decimal(n int) string     { return strconv.Itoa(n) }
func hexadecimal(n int) string { return strconv.FormatInt(int64(n), 16) }

func testClock() func() time.Duration {
	started := time.Now()
	return func() time.Duration { return time.Since(started) }
}

// An entry stops. It must answer the requests in progress, and one whose head has partly arrived,
// and ask their callers to close the connection. It must close idle connections and refuse new
// ones, which tells callers that their request did not run.
func TestStopWaitsForRequests(t *testing.T) {
	entered, proceed := make(chan struct{}), make(chan struct{})
	s, address := serve(t, ServerConfig{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			entered <- struct{}{}
			<-proceed
		}
		io.WriteString(w, "whole")
	})
	idle, waiting, half := dial(t, address), dial(t, address), dial(t, address)
	for _, c := range []*caller{idle, half} {
		c.send(lines("GET / HTTP/1.1", "Host: a", "", ""))
		if resp, _, err := c.answer(http.MethodGet); err != nil || resp.Close {
			t.Fatalf("got %+v, %v", resp, err)
		}
	}
	waiting.send(lines("GET /wait HTTP/1.1", "Host: a", "", ""))
	half.send("GET /half HTTP/1.1\r\n")
	<-entered
	stopped := make(chan int)
	go func() { stopped <- s.Stop(context.Background(), nil) }()
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ended with %v, want EOF", err)
	}
	if got := s.InFlight(); got != 1 {
		t.Errorf("%d requests are in flight, want 1", got)
	}
	half.send(lines("Host: a", "", ""))
	close(proceed)
	for _, c := range []*caller{waiting, half} {
		resp, text, err := c.answer(http.MethodGet)
		if err != nil || text != "whole" || !resp.Close {
			t.Errorf("got %+v, %q, %v", resp, text, err)
		}
	}
	if cut := <-stopped; cut != 0 {
		t.Errorf("%d requests were cut off", cut)
	}
	if _, err := net.Dial("tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection got %v, want connection refused", err)
	}
}

func TestStopReportsRequestsBeforeCuttingThemOff(t *testing.T) {
	entered := make(chan struct{})
	s, address := serve(t, ServerConfig{}, func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
	})
	c := dial(t, address)
	c.send(lines("GET / HTTP/1.1", "Host: a", "", ""))
	<-entered
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	reported := 0
	if cut := s.Stop(ctx, func(n int) { reported = n }); cut != 1 || reported != 1 {
		t.Errorf("cut %d, reported %d, want 1", cut, reported)
	}
	if _, _, err := c.answer(http.MethodGet); err == nil {
		t.Error("the request was answered")
	}
}

func TestReplayBody(t *testing.T) {
	tests := []struct {
		name, body           string
		length               int64
		whole                bool
		again, againAfterEnd bool // Reader succeeds after the buffered bytes, and after the whole body, were read
	}{
		{"empty", "", 0, true, true, true},
		{"fits", "abcd", 4, true, true, true},
		{"fits, length not known", "abcd", -1, true, true, true},
		{"larger", "abcde", 5, false, true, false},
		{"larger, length not known", "abcdef", -1, false, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, _ := http.NewRequest(http.MethodPost, "http://a/", io.NopCloser(strings.NewReader(test.body)))
			r.ContentLength = test.length
			body, err := NewReplayBody(nil, r, BodyLimits{Buffer: 4})
			if err != nil || body.Whole() != test.whole {
				t.Fatalf("whole %v, %v", body.Whole(), err)
			}
			// A first attempt ends before it needs the rest of the body.
			if reader, _ := body.Reader(); reader != nil {
				io.ReadFull(reader, make([]byte, body.keptBytes))
				if attempt, ok := reader.(forward.Interrupter); ok {
					attempt.Interrupt()
					if _, err := reader.Read(make([]byte, 1)); err == nil {
						t.Error("the interrupted attempt read more of the body")
					}
				}
			}
			reader, ok := body.Reader()
			if ok != test.again {
				t.Fatalf("readable again: %v", ok)
			}
			if reader != nil {
				if text, err := io.ReadAll(reader); string(text) != test.body || err != nil {
					t.Errorf("got %q, %v", text, err)
				}
			}
			if _, ok := body.Reader(); ok != test.againAfterEnd || body.Streamed() == test.againAfterEnd {
				t.Errorf("readable again after the whole body: %v", ok)
			}
		})
	}
}

// A different request under the same idempotency key must not get the answer of the first one.
func TestDigest(t *testing.T) {
	seen := make(map[[32]byte]string)
	for _, parts := range [][4]string{
		{"tablet", "POST", "/tray?a=1", "1"}, {"table", "POST", "/tray?a=1", "1"}, {"tablet", "PUT", "/tray?a=1", "1"},
		{"tablet", "POST", "/tray?a=11", ""}, {"tablet", "POST", "/tray?a=1", "2"}, {"tablet", "POST", "/tray?a=1", ""},
	} {
		r, _ := http.NewRequest(parts[1], "http://a"+parts[2], strings.NewReader(parts[3]))
		body, err := NewReplayBody(nil, r, BodyLimits{Buffer: 4})
		if err != nil {
			t.Fatal(err)
		}
		digest, complete := Digest(parts[0], r, body)
		if other, found := seen[digest]; found || !complete {
			t.Errorf("%v: same digest as %s", parts, other)
		}
		seen[digest] = strings.Join(parts[:], " ")
	}
}

// Two attempts at one request must have the same content hash although their attempt headers
// differ, and different requests must have different ones.
func TestContentHash(t *testing.T) {
	hash := func(attempt, method, url, body string) uint64 {
		r, _ := http.NewRequest(method, url, strings.NewReader(body))
		r.Header.Set("X-Attempt", attempt)
		kept, err := NewReplayBody(httptest.NewRecorder(), r, BodyLimits{Buffer: 4})
		if err != nil {
			t.Fatal(err)
		}
		return ContentHash(r, kept)
	}
	seen := make(map[uint64]string)
	for _, parts := range [][3]string{
		{"GET", "http://a/tray?a=1", "1"}, {"PUT", "http://a/tray?a=1", "1"},
		{"GET", "http://a/tray?a=11", ""}, {"GET", "http://a/tray?a=1", "2"}, {"GET", "http://a/tray?a=1", ""},
		{"GET", "http://b/tray?a=1", "1"}, {"GET", "http://a/tray?a=1", "12345"}, {"GET", "http://a/tray?a=1", "123456"},
	} {
		once, again := hash("1", parts[0], parts[1], parts[2]), hash("2", parts[0], parts[1], parts[2])
		if other, found := seen[once]; found || once != again {
			t.Errorf("%v: hashes %x and %x of two attempts; %x is also the hash of %q", parts, once, again, once, other)
		}
		seen[once] = strings.Join(parts[:], " ")
	}
}

// The server leaves between the start of two pipelined requests. Guards against two checks without
// a common lock: the first answer saw no request behind it and closed the connection, while the
// second request saw no leaving server and started. The second request then ran at an endpoint, and
// its answer could not be sent.
func TestNoRequestStartsBehindAnswerThatClosesConnection(t *testing.T) {
	started := make(chan string, 2)
	proceed, answered := make(chan struct{}), make(chan struct{})
	var s *Server
	mayPipeline := func(*http.Request) bool {
		s.Leave()
		close(proceed)
		<-answered
		return true
	}
	var address string
	s, address = serve(t, ServerConfig{MayPipeline: mayPipeline}, func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		<-proceed
		io.WriteString(w, r.URL.Path)
	})
	c := dial(t, address)
	c.send(get("/1"))
	if first := <-started; first != "/1" {
		t.Fatalf("%s was started first", first)
	}
	c.send(get("/2"))
	resp, text, err := c.answer(http.MethodGet)
	if err != nil || text != "/1" || !resp.Close {
		t.Fatalf("the first answer: %+v, %q, %v", resp, text, err)
	}
	close(answered)
	s.Stop(t.Context(), nil)
	close(started)
	for path := range started {
		t.Errorf("%s was started behind an answer that closes the connection", path)
	}
}

// Guards against connections that are reset because the goroutine that accepts them got no
// processor time until the leaving listener's deadline had passed.
func TestLeavingListenerAcceptsConnectionsAfterItsDeadline(t *testing.T) {
	tcp, err := socket.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	l := &listener{TCPListener: tcp, server: NewServer(ServerConfig{}, nil)}
	const waiting = 3
	for range waiting {
		dial(t, tcp.Addr().String())
	}
	l.leave()
	tcp.SetDeadline(time.Now().Add(-time.Second))
	for i := range waiting {
		conn, err := l.Accept()
		if err != nil {
			t.Fatalf("connection %d: %v", i+1, err)
		}
		defer conn.Close()
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the last connection: %v, want a closed listener", err)
	}
}
