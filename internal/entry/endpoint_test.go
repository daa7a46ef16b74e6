package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/tealhall/tealhall/client"
	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/demo"
	"github.com/tealhall/tealhall/internal/settings"
	"github.com/tealhall/tealhall/internal/standin"
)

// An endpoint announces in its answers that it drains; the platform's list goes
// on showing it live. Whichever entry hears it first tells the others, and once
// all know, the endpoint gets nothing new. No caller notices.
func TestEndpointDrainsWhileListIsStale(t *testing.T) {
	t.Parallel() // it mostly waits
	f := newFleet(t, 6)
	l := startCalmTraffic(t, f)
	l.awaitMore(t, 100)
	for _, leaver := range []*demo.Endpoint{f.Endpoints[0], f.Endpoints[4]} {
		leaver.Drain()
		announced := time.Now()
		f.awaitAll(t, "knows that the endpoint leaves", func(name string) bool {
			return f.audited(name, "endpoint "+leaver.VM.Name, "endpoint-leaving") > 0
		})
		t.Logf("%s: known everywhere after %v", leaver.VM.Name, time.Since(announced).Round(time.Millisecond))
		l.awaitMore(t, 20) // what was on its way has arrived
		before := leaver.Stats().Requests
		l.awaitMore(t, 300)
		if late := leaver.Stats().Requests - before; late > 0 {
			t.Errorf("%s got %d requests after all entries knew that it leaves", leaver.VM.Name, late)
		}
	}
	l.calm(t, f)
}

// reusableFor is how long ago a connection may have brought an answer to carry
// a request that must run once.
const reusableFor = time.Second

// Something between entries and endpoints loses track of all open connections;
// new ones work. Bookings go on new connections and each is done at the first
// try. Reads that went on dead ones are sent again on others, and no endpoint is
// taken for the culprit.
func TestOpenConnectionsToEndpointsGoSilent(t *testing.T) {
	between := &paths{t: t}
	f := newFleet(t, 3, func(cfg *demo.FleetConfig) {
		for i := range cfg.Pools {
			cfg.Pools[i].ListedAddress = between.through
		}
	})
	l := startTraffic(t, f)
	l.awaitMore(t, 300)
	close(l.end)
	l.sending.Wait()
	rest := time.Now()
	await(t, "the connections are no longer fresh", func() bool { return time.Since(rest) > reusableFor })
	between.lose()
	l.end = make(chan struct{})
	l.sending.Go(func() { l.stream(readEvery, l.read) })
	l.sending.Go(func() { l.stream(bookingEvery, func(n int) { l.book(secondRound + n) }) })
	l.awaitMore(t, 500)
	reads, bookings := l.finish(t, f)
	if reads.notRun+reads.unknown+bookings.notRun+bookings.unknown > 0 {
		t.Errorf("reads %+v, bookings %+v", reads, bookings)
	}
	for _, e := range f.Endpoints {
		if f.any(func(name string) bool { return f.audited(name, "endpoint "+e.VM.Name, "ejected") > 0 }) {
			t.Errorf("%s was ejected", e.VM.Name)
		}
	}
}

// secondRound is where the numbers of bookings go on after a rest.
const secondRound = 1_000_000

// The same happens between callers and entries, and between entries. A caller's
// request on a dead connection is sent again on another, with its key where it
// must run once. Links between entries are opened anew, so that profiles
// published afterwards are in force everywhere.
func TestOpenConnectionsToEntriesGoSilent(t *testing.T) {
	between := &paths{t: t}
	f := newFleet(t, 4, func(cfg *demo.FleetConfig) {
		adjust := cfg.Adjust
		cfg.Adjust = func(s *settings.Settings) {
			adjust(s)
			s.Addresses.CallerAdvertised = between.through(s.Addresses.Caller)
			s.Addresses.PeerAdvertised = between.through(s.Addresses.Peer)
		}
	})
	c, err := client.New(client.Options{Seeds: f.Seeds(), Caller: "tablet"})
	if err != nil {
		t.Fatal(err)
	}
	l := &traffic{callers: []*client.Client{c}, wire: newWire(), end: make(chan struct{})}
	for i := range 10 {
		l.read(i)
		l.book(i)
	}
	between.lose()
	for i := range 10 {
		l.sending.Go(func() { l.read(10 + i) })
		l.sending.Go(func() { l.book(10 + i) })
	}
	l.sending.Wait()
	if reads, bookings := l.finish(t, f); reads.done != 20 || bookings.done != 20 {
		t.Errorf("reads %+v, bookings %+v", reads, bookings)
	}
	f.awaitInForce(t, f.Publish([]byte(fleetProfiles)))
}

// Every endpoint breaks its answers off in the middle, both those with a length
// and those in chunks. A caller that got a part must see that it is one; one
// whose booking's answer was lost is told that nobody knows, now and later.
func TestCutAnswersAreNeverWhole(t *testing.T) {
	f := newFleet(t, 3)
	for _, e := range f.Endpoints {
		e.SetFaults(standin.EndpointFaults{CutAnswer: true})
	}
	for _, query := range []string{"", "&chunked"} {
		response, err := http.DefaultClient.Do(readOf(t, f, "cut", query))
		if err != nil {
			continue // broken off before its head is as good
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil && response.Header.Get(contract.HeaderOutcome) == string(contract.OutcomeDone) {
			t.Errorf("%q: %d bytes passed for the whole answer", query, len(body))
		}
	}
	home, newKey := homeOf(t, f)
	b := newKey("cut")
	b.expect(t, home, "unknown", "answer-broken")
	for _, e := range f.Entries {
		b.expect(t, e, "unknown", "key-unknown")
	}
	f.runs(t, b, 1)
}

func readOf(t *testing.T, f *fleet, id, query string) *http.Request {
	t.Helper()
	target := fmt.Sprintf("http://%s/trays?id=%s&bytes=%d%s", f.Entries[0].CallerAddress(), id, readSize, query)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, target, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(contract.HeaderService, "counts")
	return request
}

// dyingEndpoint answers the first request of each connection, and closes the
// connection on the second one after it has read it.
type dyingEndpoint struct {
	mu       sync.Mutex
	arrivals map[string]int
}

type connKey struct{}

func (d *dyingEndpoint) start(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: d,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, new(int))
		},
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func (d *dyingEndpoint) arrived(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.arrivals[id]
}

// ServeHTTP implements http.Handler.
func (d *dyingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get(standin.IDParameter)
	d.mu.Lock()
	d.arrivals[id]++
	d.mu.Unlock()
	if n := r.Context().Value(connKey{}).(*int); *n > 0 {
		panic(http.ErrAbortHandler)
	} else {
		*n++
	}
	_ = standin.WriteAnswer(w, id, standin.AnswerSize(id))
}

// Endpoints close kept connections just when a booking arrives on them. HTTP
// libraries send such a request again on their own when it carries an
// Idempotency-Key; the endpoint would book twice. Over the whole path it arrives
// once at most, and never after "not run".
func TestBookingsOnDyingConnectionsArriveOnce(t *testing.T) {
	dying := &dyingEndpoint{arrivals: make(map[string]int)}
	f := newFleet(t, 3, func(cfg *demo.FleetConfig) {
		cfg.Pools[1].ListedAddress = func(string) string { return dying.start(t) }
	})
	l := &traffic{callers: []*client.Client{newCaller(t, f, newWire(), "tablet")}}
	for n := range 60 {
		l.book(n)
	}
	unknown := 0
	for _, about := range l.replies {
		arrivals := dying.arrived(about.id)
		if arrivals > 1 || arrivals > 0 && about.result.Outcome == client.NotRun {
			t.Errorf("%s arrived %d times, told %s", about.id, arrivals, about.result.Outcome)
		}
		if about.result.Outcome == client.Unknown {
			unknown++
		}
	}
	if unknown == 0 {
		t.Error("no booking met a dying connection")
	}
}
