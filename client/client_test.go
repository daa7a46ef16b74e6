package client

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/fault"
)

// Guards against a request that runs twice and against a request that is reported as "not run"
// although it ran. In both cases the response to the first try is lost, another entry answers "not
// run" to the second try, and the client takes this answer for the whole request. The table has
// every order of tries that led to these faults, with the keys used.
func TestDo(t *testing.T) {
	once := Request{Service: "s", Method: http.MethodPost, Path: "/", Body: []byte("x"), Once: true}
	post := Request{Service: "s", Method: http.MethodPost, Path: "/", Body: []byte("x")}
	put := Request{Service: "s", Method: http.MethodPut, Path: "/", Body: []byte("x")}
	get := Request{Service: "s", Method: http.MethodGet, Path: "/"}
	const overload, queueFull = "503 not-run reason=overload", "503 not-run reason=queue-full"
	cases := []struct {
		name    string
		request Request
		scripts [][]string // of entries A, B; nil refuses connections
		want    Outcome
		arrived []string
	}{
		{"answered", get, [][]string{{"done"}, {}}, Done, []string{"A"}},
		{"once uses a key with the entry's prefix", once, [][]string{{"done"}, {}}, Done, []string{"A k1"}},
		{"entry down, next one answers", post, [][]string{nil, {"done"}}, Done, []string{"B"}},
		{"all entries down", once, [][]string{nil, nil}, NotRun, nil},
		{"entry overloaded, next one with a new key", once, [][]string{{overload}, {"done"}}, Done, []string{"A k1", "B k2"}},
		{"service overloaded, no retry", once, [][]string{{queueFull}, {}}, NotRun, []string{"A k1"}},
		{"read lost, retried", get, [][]string{{"lost"}, {"done"}}, Done, []string{"A", "B"}},
		{"read truncated, retried", get, [][]string{{"cut"}, {"done"}}, Done, []string{"A", "B"}},
		{"plain POST lost, no retry", post, [][]string{{"lost"}, {}}, Unknown, []string{"A"}},
		{"plain POST truncated, no retry", post, [][]string{{"cut"}, {}}, Unknown, []string{"A"}},
		{"once lost, retried with the same key", once, [][]string{{"lost"}, {"done"}}, Done, []string{"A k1", "B k1"}},
		{"once lost, overload does not settle it", once, [][]string{{"lost", "done"}, {overload}}, Done, []string{"A k1", "B k1", "A k1"}},
		{"once lost, then overload at every entry", once, [][]string{{"lost", overload}, {overload, overload}}, Unknown, []string{"A k1", "B k1", "A k1", "B k1"}},
		{"once lost, then queue full at the home", once, [][]string{{"lost"}, {queueFull}}, NotRun, []string{"A k1", "B k1"}},
		{"once lost, then key spent", once, [][]string{{"lost"}, {"409 not-run reason=key-spent"}}, NotRun, []string{"A k1", "B k1"}},
		{"once lost, then home stopped without running it", once, [][]string{{"lost", "done"}, {"503 not-run reason=home-stopped"}}, Done, []string{"A k1", "B k1", "A k2"}},
		{"once lost, then every entry down", once, [][]string{{"lost", "lost"}, nil}, Unknown, []string{"A k1", "A k1"}},
		{"home unreachable from one entry", once, [][]string{{"504 unknown reason=home-unreachable"}, {"done"}}, Done, []string{"A k1", "B k1"}},
		{"upload lost, not run does not settle it", put, [][]string{{"lost"}, {queueFull}}, Unknown, []string{"A", "B"}},
		{"unknown from the service is final", once, [][]string{{"502 unknown reason=endpoint-lost"}, {}}, Unknown, []string{"A k1"}},
		{"no outcome header", post, [][]string{{"200"}, {}}, Unknown, []string{"A"}},
		{"two outcome headers", post, [][]string{{"200 done not-run"}, {}}, Unknown, []string{"A"}},
		{"outcome of another product", post, [][]string{{"200 ok"}, {}}, Unknown, []string{"A"}},
		{"not run with a success status", post, [][]string{{"200 not-run"}, {}}, Unknown, []string{"A"}},
		{"response too large", once, [][]string{{"large"}, {}}, Unknown, []string{"A k1"}},
		{"redirect is the endpoint's response", once, [][]string{{"redirect"}, {}}, Done, []string{"A k1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, client := startFleet(t, c.scripts...)
			r, err := client.Do(t.Context(), c.request)
			if err != nil || r.Outcome != c.want {
				t.Errorf("outcome %q (%v), want %q", r.Outcome, err, c.want)
			}
			if diff := cmp.Diff(c.arrived, f.log()); diff != "" {
				t.Errorf("arrivals (-want +got):\n%s", diff)
			}
			if r.Outcome != Done && r.Status == 0 && r.Err == nil {
				t.Error("neither a response nor an error")
			}
		})
	}
}

// Guards against "not run" for a request that ran. The entry reads the request from a reused
// connection and dies; net/http retries a request with an Idempotency-Key by itself, finds the port
// closed and returns only the second failure.
func TestTransportRetryIsNotReportedAsNotRun(t *testing.T) {
	f, c := startFleet(t, []string{"done", "lost"})
	dials := 0
	c.http.Transport = &http.Transport{DialContext: func(_ context.Context, network, address string) (net.Conn, error) {
		if dials++; dials > 1 {
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		return net.Dial(network, address)
	}}
	entries := f.list.Entries
	request := Request{Service: "s", Method: http.MethodPost, Path: "/", Once: true}
	for _, want := range []Outcome{Done, Unknown} {
		s := &session{client: c, request: request, entries: entries}
		if r := s.run(t.Context()); r.Outcome != want {
			t.Errorf("outcome %q, want %q: the entry had read the request", r.Outcome, want)
		}
	}
	if got := f.log(); len(got) != 2 || dials < 2 {
		t.Errorf("arrivals %q, %d dials: net/http did not retry the request", got, dials)
	}
}

func TestEntriesAreCachedForTTL(t *testing.T) {
	f, c := startFleet(t, []string{"done", "done", "done", "done"})
	now := time.Unix(1000, 0)
	c.directory.opts.Clock = func() time.Time { return now }
	get := Request{Service: "s", Method: http.MethodGet, Path: "/"}
	for _, step := range []struct {
		pass  time.Duration
		asked int
	}{{0, 1}, {7999 * time.Millisecond, 1}, {time.Millisecond, 2}, {time.Second, 2}} {
		now = now.Add(step.pass)
		if r, err := c.Do(t.Context(), get); err != nil || r.Outcome != Done {
			t.Fatalf("%+v, %v", r, err)
		}
		if f.listRequests != step.asked {
			t.Errorf("at %v: %d requests for the list, want %d", now.Sub(time.Unix(1000, 0)), f.listRequests, step.asked)
		}
	}
}

func TestConcurrentCallersShareOneFetch(t *testing.T) {
	f, c := startFleet(t, slices.Repeat([]string{"done"}, 16))
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() { _, _ = c.Do(context.Background(), Request{Service: "s", Method: http.MethodGet, Path: "/"}) })
	}
	group.Wait()
	if f.listRequests != 1 {
		t.Errorf("%d requests for the list of entries", f.listRequests)
	}
}

// When the list of entries has expired and no entry answers with a new one, the client must keep
// using the old list: otherwise requests fail although entries serve.
func TestExpiredEntriesAreUsedWhenRefreshFails(t *testing.T) {
	f, c := startFleet(t, []string{"done", "done"})
	now := time.Unix(1000, 0)
	c.directory.opts.Clock = func() time.Time { return now }
	get := Request{Service: "s", Method: http.MethodGet, Path: "/"}
	if _, err := c.Do(t.Context(), get); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Minute)
	f.list.Entries = nil // every entry answers with an empty list
	if r, err := c.Do(t.Context(), get); err != nil || r.Outcome != Done {
		t.Errorf("%+v, %v", r, err)
	}
}

// A caller writes rarely and reads all the time. After the planned stop of an entry, the expired
// list for the writes still names this entry first, while the list for the reads does not. The
// client requested a new list from the stopped entry on a connection that was being closed, and the
// request was cut off. It must ask the entries of the newest list first.
func TestNewestEntriesAreAskedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(Options{Seeds: []string{"seed", "stopped"}, Clock: func() time.Time { return now }}, nil)
	cache := func(service string, until time.Duration, addresses ...string) {
		s := d.entriesFor(service)
		s.expires = now.Add(until)
		for _, address := range addresses {
			s.entries = append(s.entries, contract.EntryAddress{Address: address})
		}
	}
	cache("bookings", -2*time.Second, "stopped", "a")
	cache("reads", time.Second, "b", "a")
	if diff := cmp.Diff([]string{"b", "a", "stopped", "seed"}, d.addresses()); diff != "" {
		t.Errorf("addresses in another order (-want +got):\n%s", diff)
	}
}

func TestFirstEntryIsDrawnByWeight(t *testing.T) {
	d := newDirectory(Options{Clock: time.Now}, nil)
	entries := []contract.EntryAddress{{Name: "A", Weight: 3}, {Name: "B", Weight: 1}, {Name: "C"}}
	first := make(map[string]int)
	for range 4000 {
		ordered := d.ordered(entries)
		first[ordered[0].Name]++
		if len(ordered) != 3 || ordered[2].Name != "C" {
			t.Fatalf("order %v", ordered)
		}
	}
	// 12 standard deviations around 3000: chance does not explain a failure.
	if first["A"] < 2670 || first["A"] > 3330 || first["C"] > 0 {
		t.Errorf("times in first place: %v", first)
	}
}

// A caller that cancels its request must not mark the entry as failed: otherwise the next request,
// for example after a page was closed early, goes to a farther entry for no reason.
func TestCallerCancellationDoesNotMarkEntryFailed(t *testing.T) {
	f, c := startFleet(t, []string{"hang", "done"}, []string{})
	ctx, cancel := context.WithCancel(t.Context())
	if _, err := c.directory.entries(ctx, "s"); err != nil {
		t.Fatal(err)
	}
	go func() {
		<-f.arrived
		cancel()
	}()
	request := Request{Service: "s", Method: http.MethodGet, Path: "/"}
	if r, err := c.Do(ctx, request); err != nil || r.Outcome != Unknown || r.Tries != 1 {
		t.Errorf("%+v, %v", r, err)
	}
	if r, err := c.Do(t.Context(), request); err != nil || r.Outcome != Done || r.Entry != "A" {
		t.Errorf("next request: %+v, %v", r, err)
	}
}

func TestEntriesOverTLS(t *testing.T) {
	f, _ := startFleet(t, []string{"done"})
	server := httptest.NewTLSServer(f.handler("A"))
	t.Cleanup(server.Close)
	f.list.Entries[0].Address = server.Listener.Addr().String()
	authorities := x509.NewCertPool()
	authorities.AddCert(server.Certificate())
	for _, c := range []struct {
		trusted *x509.CertPool
		want    Outcome
	}{{authorities, Done}, {x509.NewCertPool(), NotRun}} {
		client, err := New(Options{Seeds: []string{f.list.Entries[0].Address}, Caller: "me", TLS: &tls.Config{RootCAs: c.trusted}})
		if err != nil {
			t.Fatal(err)
		}
		if r, err := client.Do(t.Context(), Request{Service: "s", Method: http.MethodGet, Path: "/"}); r.Outcome != c.want {
			t.Errorf("outcome %q, %v, want %q", r.Outcome, err, c.want)
		}
	}
}

func TestNoSeedReachable(t *testing.T) {
	c, err := New(Options{Seeds: []string{closedAddress(0)}, Caller: "me"})
	if err != nil {
		t.Fatal(err)
	}
	r, err := c.Do(t.Context(), Request{Service: "s", Method: http.MethodGet, Path: "/"})
	if r.Outcome != NotRun || fault.KindOf(err) != fault.Unavailable {
		t.Errorf("%+v, %v", r, err)
	}
}
