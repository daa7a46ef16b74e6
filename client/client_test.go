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

// A steward's waste entry is counted twice, or is told "not run" and was run.
// Both begin with a try whose answer is lost; then another entry says "not run"
// of the second try, and the caller's package believes it of the whole request.
// The table has every order of such tries that led there, with the keys used.
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
		{"once has a key of the entry", once, [][]string{{"done"}, {}}, Done, []string{"A k1"}},
		{"entry gone, next one answers", post, [][]string{nil, {"done"}}, Done, []string{"B"}},
		{"all entries gone", once, [][]string{nil, nil}, NotRun, nil},
		{"entry overloaded, next one with a new key", once, [][]string{{overload}, {"done"}}, Done, []string{"A k1", "B k2"}},
		{"service overloaded, not asked again", once, [][]string{{queueFull}, {}}, NotRun, []string{"A k1"}},
		{"read lost, asked again", get, [][]string{{"lost"}, {"done"}}, Done, []string{"A", "B"}},
		{"read cut, asked again", get, [][]string{{"cut"}, {"done"}}, Done, []string{"A", "B"}},
		{"plain POST lost, never again", post, [][]string{{"lost"}, {}}, Unknown, []string{"A"}},
		{"plain POST cut, never again", post, [][]string{{"cut"}, {}}, Unknown, []string{"A"}},
		{"once lost, same key again", once, [][]string{{"lost"}, {"done"}}, Done, []string{"A k1", "B k1"}},
		{"once lost, then overload proves nothing", once, [][]string{{"lost", "done"}, {overload}}, Done, []string{"A k1", "B k1", "A k1"}},
		{"once lost, then overload everywhere", once, [][]string{{"lost", overload}, {overload, overload}}, Unknown, []string{"A k1", "B k1", "A k1", "B k1"}},
		{"once lost, then home says queue full", once, [][]string{{"lost"}, {queueFull}}, NotRun, []string{"A k1", "B k1"}},
		{"once lost, then key spent", once, [][]string{{"lost"}, {"409 not-run reason=key-spent"}}, NotRun, []string{"A k1", "B k1"}},
		{"once lost, then home gone without it", once, [][]string{{"lost", "done"}, {"503 not-run reason=home-stopped"}}, Done, []string{"A k1", "B k1", "A k2"}},
		{"once lost, then every entry gone", once, [][]string{{"lost", "lost"}, nil}, Unknown, []string{"A k1", "A k1"}},
		{"home unreachable from one entry", once, [][]string{{"504 unknown reason=home-unreachable"}, {"done"}}, Done, []string{"A k1", "B k1"}},
		{"upload lost, then not run proves nothing", put, [][]string{{"lost"}, {queueFull}}, Unknown, []string{"A", "B"}},
		{"unknown of the service is final", once, [][]string{{"502 unknown reason=endpoint-lost"}, {}}, Unknown, []string{"A k1"}},
		{"no outcome stated", post, [][]string{{"200"}, {}}, Unknown, []string{"A"}},
		{"two outcomes stated", post, [][]string{{"200 done not-run"}, {}}, Unknown, []string{"A"}},
		{"outcome of another product", post, [][]string{{"200 ok"}, {}}, Unknown, []string{"A"}},
		{"not run with a good status", post, [][]string{{"200 not-run"}, {}}, Unknown, []string{"A"}},
		{"answer too large to hold", once, [][]string{{"large"}, {}}, Unknown, []string{"A k1"}},
		{"redirect is the endpoint's answer", once, [][]string{{"redirect"}, {}}, Done, []string{"A k1"}},
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
				t.Error("no answer and no error that says why")
			}
		})
	}
}

// A booking is told "not run" although it ran. The entry takes the request on a
// kept connection and dies; net/http sends a request with an Idempotency-Key
// again by itself, now finds the port closed, and reports that second failure.
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
		t.Errorf("arrivals %q, %d dials: the case did not come about", got, dials)
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
			t.Errorf("at %v: asked %d times, want %d", now.Sub(time.Unix(1000, 0)), f.listRequests, step.asked)
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
		t.Errorf("asked %d times", f.listRequests)
	}
}

// Users would be turned away while entries serve: the answer has run out and
// nobody answers the question for a new one. The old answer must go on serving.
func TestExpiredEntriesAreUsedWhenRefreshFails(t *testing.T) {
	f, c := startFleet(t, []string{"done", "done"})
	now := time.Unix(1000, 0)
	c.directory.opts.Clock = func() time.Time { return now }
	get := Request{Service: "s", Method: http.MethodGet, Path: "/"}
	if _, err := c.Do(t.Context(), get); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Minute)
	f.list.Entries = nil // every entry answers the question with an empty list
	if r, err := c.Do(t.Context(), get); err != nil || r.Outcome != Done {
		t.Errorf("%+v, %v", r, err)
	}
}

// A caller books rarely and reads all the time. An entry stops in a planned way; the
// answer for its bookings, long run out, still names it first, while the one for its reads
// does not. It asked the stopped entry for a new answer on a connection that was being
// closed, which showed as a question cut off by a planned stop.
func TestNewestEntriesAreAskedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(Options{Seeds: []string{"seed", "stopped"}, Clock: func() time.Time { return now }}, nil)
	cache := func(service string, until time.Duration, addresses ...string) {
		k := d.entriesFor(service)
		k.expires = now.Add(until)
		for _, address := range addresses {
			k.entries = append(k.entries, contract.EntryAddress{Address: address})
		}
	}
	cache("bookings", -2*time.Second, "stopped", "a")
	cache("reads", time.Second, "b", "a")
	if diff := cmp.Diff([]string{"b", "a", "stopped", "seed"}, d.addresses()); diff != "" {
		t.Errorf("asked in another order (-want +got):\n%s", diff)
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
	// Twelve standard deviations around 3000: a failure is no accident.
	if first["A"] < 2670 || first["A"] > 3330 || first["C"] > 0 {
		t.Errorf("first places %v", first)
	}
}

// A caller that gives up must not blame the entry: the next request of a page
// that was closed too early would go to a farther entry for no reason.
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
