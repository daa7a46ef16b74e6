package published_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/standin"
)

const (
	// shortWait ends waits that must end without an answer.
	shortWait = 50 * time.Millisecond
	// longWait bounds waits that end by an event.
	longWait = 20 * time.Second
)

// fixture is a simulated service behind a server. Its clock advances only when a test advances it,
// so that a delayed answer never arrives.
type fixture struct {
	clock   *standin.ManualClock
	service *standin.Platform
	server  *standin.Server
}

// startService returns a service with two revisions of each value.
func startService(t *testing.T) fixture {
	t.Helper()
	clock := standin.NewManualClock()
	service := standin.NewPlatform(clock)
	service.Put(published.ProfilesValue, []byte("first"))
	service.Put(published.ProfilesValue, []byte("second"))
	service.SetVMs(endpointVM("one"))
	service.SetVMs(endpointVM("one"), endpointVM("two"))
	server, err := standin.NewServer(standin.DefaultListen, service, standin.RealClock(), 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Kill)
	return fixture{clock, service, server}
}

func endpointVM(name string) published.VM {
	return published.VM{
		Name: name, Incarnation: 7, Role: published.EndpointRole, State: published.Live,
		Region: "tunis", Domain: "a", Address: "127.0.0.1:9000", Pool: "library", Slots: 2,
	}
}

func newClient(server *standin.Server, timeout time.Duration) *published.Client {
	return published.NewClient(published.ClientConfig{
		BaseURL: server.URL(), Timeout: timeout, WatchWait: longWait, CallsPerSecond: 1e6, Burst: 1e6,
	})
}

// TestReadUnderServiceFaults checks the contract of Service.Read under every fault of the service.
func TestReadUnderServiceFaults(t *testing.T) {
	cases := map[string]struct {
		faults   standin.PlatformFaults
		prepare  func(fixture)
		name     string
		timeout  time.Duration
		revision uint64
		data     string
		kind     fault.Kind
	}{
		"healthy":                {revision: 2, data: "second"},
		"no such value":          {name: "tealhall/none", kind: fault.NotFound},
		"answers 503":            {faults: standin.PlatformFaults{Down: true}, kind: fault.PlatformDown},
		"refuses connections":    {prepare: func(f fixture) { f.server.Kill() }, kind: fault.PlatformDown},
		"slow":                   {faults: standin.PlatformFaults{Delay: time.Hour}, timeout: shortWait, kind: fault.PlatformDown},
		"truncated, with length": {faults: standin.PlatformFaults{Cut: standin.CutSized}, kind: fault.PlatformAnswer},
		"truncated, in chunks":   {faults: standin.PlatformFaults{Cut: standin.CutChunked}, kind: fault.PlatformAnswer},
		"stale": {
			faults:  standin.PlatformFaults{Stale: true},
			prepare: func(f fixture) { f.service.Put(published.ProfilesValue, []byte("third")) },
			// The reader cannot detect this; only the revision shows that the answer is old.
			revision: 2, data: "second",
		},
		"older replica": {faults: standin.PlatformFaults{OlderReplica: true}, revision: 1, data: "first"},
		"largest value": {
			prepare:  func(f fixture) { f.service.Put("large", make([]byte, published.MaxValueBytes)) },
			name:     "large",
			revision: 1, data: string(make([]byte, published.MaxValueBytes)),
		},
		"value too large": {
			prepare: func(f fixture) { f.service.Put("large", make([]byte, published.MaxValueBytes+1)) },
			name:    "large",
			kind:    fault.PlatformAnswer,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := startService(t)
			f.service.SetFaults(c.faults)
			if c.prepare != nil {
				c.prepare(f)
			}
			if c.name == "" {
				c.name = published.ProfilesValue
			}
			if c.timeout == 0 {
				c.timeout = longWait
			}
			value, err := newClient(f.server, c.timeout).Read(context.Background(), c.name)
			if fault.KindOf(err) != c.kind || value.Revision != c.revision || string(value.Data) != c.data {
				t.Fatalf("revision %d, %d bytes, error %v; want revision %d, %d bytes, kind %q",
					value.Revision, len(value.Data), err, c.revision, len(c.data), c.kind)
			}
			if err != nil && fault.Remedy(err) == "" {
				t.Errorf("error has no remedy: %v", err)
			}
		})
	}
}

// TestWatchEndsWithChangeTimeoutOrFailure checks the contract of Service.Watch: which events end
// the wait.
func TestWatchEndsWithChangeTimeoutOrFailure(t *testing.T) {
	cases := map[string]struct {
		during   func(fixture) // called while the watch waits
		revision uint64
		data     string
		kind     fault.Kind
	}{
		"published": {
			during:   func(f fixture) { f.service.Put(published.ProfilesValue, []byte("third")) },
			revision: 3, data: "third",
		},
		"no change": {
			during:   func(f fixture) { f.clock.Advance(longWait) },
			revision: 2,
		},
		"goes down": {
			during: func(f fixture) { f.service.SetFaults(standin.PlatformFaults{Down: true}) },
			kind:   fault.PlatformDown,
		},
		"is killed": {
			during: func(f fixture) { f.server.Kill() },
			kind:   fault.PlatformDown,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := startService(t)
			client := newClient(f.server, longWait)
			type result struct {
				value published.Value
				err   error
			}
			results := make(chan result)
			go func() {
				value, err := client.Watch(context.Background(), published.ProfilesValue, 2)
				results <- result{value, err}
			}()
			f.clock.AwaitTimers(1) // the watch waits at the service
			c.during(f)
			got := <-results
			if fault.KindOf(got.err) != c.kind || got.value.Revision != c.revision || string(got.value.Data) != c.data {
				t.Fatalf("got %+v, error %v", got.value, got.err)
			}
		})
	}
}

// A reader that asks for a revision later than 2 reaches a replica that has only revision 1. Watch
// must return that answer unchanged, because its caller decides which revision is in force.
func TestWatchReturnsOlderRevisionOfLaggingReplica(t *testing.T) {
	f := startService(t)
	f.service.SetFaults(standin.PlatformFaults{OlderReplica: true})
	client := newClient(f.server, longWait)
	value, err := client.Watch(context.Background(), published.ProfilesValue, 2)
	if err != nil || value.Revision != 1 || string(value.Data) != "first" {
		t.Errorf("got %+v, error %v", value, err)
	}
	if stats := f.service.Stats(); stats.Calls != 1 || stats.PeakWatches != 1 {
		t.Errorf("stats of the service: %+v; want one call, which is one watch", stats)
	}
}

// The reader cancels a watch, as when the assignment moves to another entry. Guards against a
// service that still counts the watch as waiting.
func TestCancelledWatchNoLongerCountsAsWaiting(t *testing.T) {
	f := startService(t)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		f.clock.AwaitTimers(1)
		cancel()
	}()
	_, err := newClient(f.server, longWait).Watch(ctx, published.ProfilesValue, 2)
	if !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	f.clock.AwaitTimers(0)
}

// Guards against a profile that some entries do not apply for minutes after it was published,
// because a network device lost the state of their open connections. A failed call must take its
// connection out of use, so that the next call opens a new one.
func TestReadAfterSilentConnectionUsesNewOne(t *testing.T) {
	server := startService(t).server
	client := newClient(server, longWait)
	if _, err := client.Read(context.Background(), published.ProfilesValue); err != nil {
		t.Fatal(err)
	}
	if silenced := server.BlackHole(); silenced != 1 {
		t.Fatalf("%d open connections, want 1", silenced)
	}
	ctx, cancel := context.WithTimeout(context.Background(), shortWait)
	defer cancel()
	if _, err := client.Read(ctx, published.ProfilesValue); fault.KindOf(err) != fault.PlatformDown {
		t.Fatalf("call on the silent connection: %v", err)
	}
	value, err := client.Read(context.Background(), published.ProfilesValue)
	if err != nil || value.Revision != 2 || server.AcceptedConnections() != 2 {
		t.Errorf("got %+v over %d connections, error %v", value, server.AcceptedConnections(), err)
	}
}

// TestUnusableAnswersAreRefused gives the client answers that the simulated service never gives.
func TestUnusableAnswersAreRefused(t *testing.T) {
	ok := func(header ...string) string {
		return "HTTP/1.1 200 OK\r\n" + strings.Join(header, "\r\n") + "\r\n\r\nbody"
	}
	cases := map[string]struct {
		answer string
		kind   fault.Kind
	}{
		"usable":                  {ok("Content-Length: 4", "Platform-Revision: 3"), ""},
		"no revision":             {ok("Content-Length: 4"), fault.PlatformAnswer},
		"revision zero":           {ok("Content-Length: 4", "Platform-Revision: 0"), fault.PlatformAnswer},
		"malformed revision":      {ok("Content-Length: 4", "Platform-Revision: 3a"), fault.PlatformAnswer},
		"two revisions":           {ok("Content-Length: 4", "Platform-Revision: 3", "Platform-Revision: 4"), fault.PlatformAnswer},
		"no length":               {ok("Connection: close", "Platform-Revision: 3"), fault.PlatformAnswer},
		"shorter than its length": {ok("Content-Length: 5", "Platform-Revision: 3"), fault.PlatformAnswer},
		"compressed":              {ok("Content-Length: 4", "Content-Encoding: gzip", "Platform-Revision: 3"), fault.PlatformAnswer},
		"redirect":                {"HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n", fault.PlatformAnswer},
		"unrequested 304":         {"HTTP/1.1 304 Not Modified\r\n\r\n", fault.PlatformAnswer},
		"too many calls":          {"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n", fault.PlatformDown},
		"not HTTP":                {"SSH-2.0-OpenSSH\r\n\r\n", fault.PlatformDown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_, _ = io.WriteString(conn, c.answer)
					_ = conn.Close()
				}
			}))
			defer server.Close()
			client := published.NewClient(published.ClientConfig{BaseURL: server.URL, Timeout: longWait})
			value, err := client.Read(context.Background(), published.ProfilesValue)
			if fault.KindOf(err) != c.kind {
				t.Fatalf("got %+v, error %v; want kind %q", value, err, c.kind)
			}
		})
	}
}

// endlessBody is a chunked body without an end. It counts the bytes that are read from it.
type endlessBody struct{ read int }

func (e *endlessBody) Read(p []byte) (int, error) { e.read += len(p); return len(p), nil }
func (e *endlessBody) Close() error               { return nil }

type transportFunc func(*http.Request) (*http.Response, error)

func (f transportFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func TestReadStopsAtSizeLimit(t *testing.T) {
	body := &endlessBody{}
	client := published.NewClient(published.ClientConfig{
		BaseURL: "http://127.0.0.1:1",
		Transport: transportFunc(func(*http.Request) (*http.Response, error) {
			return &http.Response{
				StatusCode: http.StatusOK, ContentLength: -1, TransferEncoding: []string{"chunked"},
				Header: http.Header{published.RevisionHeader: {"1"}}, Body: body,
			}, nil
		}),
	})
	_, err := client.Read(context.Background(), published.ProfilesValue)
	if fault.KindOf(err) != fault.PlatformAnswer || body.read > published.MaxValueBytes+1 {
		t.Errorf("error %v after %d bytes", err, body.read)
	}
}

func TestCallRateIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	calls := 0
	client := published.NewClient(published.ClientConfig{
		BaseURL: "http://127.0.0.1:1", CallsPerSecond: 2, Burst: 3,
		Now: func() time.Time { return now },
		Transport: transportFunc(func(*http.Request) (*http.Response, error) {
			calls++
			return nil, fmt.Errorf("call %d", calls)
		}),
	})
	for range 100 { // 100 calls in 10 s
		_, err := client.Read(context.Background(), published.ProfilesValue)
		if kind := fault.KindOf(err); kind != fault.RateLimited && kind != fault.PlatformDown {
			t.Fatalf("error %v", err)
		}
		now = now.Add(100 * time.Millisecond)
	}
	if most := 3 + 2*10; calls > most || calls < most-2 {
		t.Errorf("%d calls were sent; want about %d", calls, most)
	}
}

func TestUnusableBaseURL(t *testing.T) {
	client := published.NewClient(published.ClientConfig{BaseURL: "http://[::1"})
	if _, err := client.Read(context.Background(), "name"); fault.KindOf(err) != fault.BadSettings {
		t.Errorf("error %v", err)
	}
}
