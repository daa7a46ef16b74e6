package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/tealhall/tealhall/client"
	"github.com/tealhall/tealhall/internal/audit"
	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/demo"
	"github.com/tealhall/tealhall/internal/entry"
	"github.com/tealhall/tealhall/internal/settings"
	"github.com/tealhall/tealhall/internal/standin"
)

const fleetProfiles = `
format = 1
[profile.counts]
kind = "read"
deadline = "3s"
queue_limit = 200
caller_share = 1.0
[profile.bookings]
kind = "once"
deadline = "10s"
caller_share = 1.0
[profile.scans]
kind = "bulk"
deadline = "1m"
max_body = "64MB"
[service.counts]
profile = "counts"
[service.bookings]
profile = "bookings"
[service.scans]
profile = "scans"
[calendar]
time_zone = "UTC"
`

const (
	// patience bounds every wait of these tests.
	patience = 60 * time.Second
	// look is how often a condition is looked at.
	look = 5 * time.Millisecond
	// shortAnswers lets planned stops end soon.
	shortAnswers = 300 * time.Millisecond
)

// fleet is a running fleet with the audit records of its entries.
type fleet struct {
	*demo.Fleet
	mu      sync.Mutex
	records map[string][]audit.Record
}

// newFleet starts entries before two pools of endpoints and waits until all
// entries are ready and know each other.
func newFleet(t *testing.T, entries int, adjust ...func(*demo.FleetConfig)) *fleet {
	t.Helper()
	f := &fleet{records: make(map[string][]audit.Record)}
	endpoint := standin.EndpointConfig{ServiceTime: standin.Constant(2 * time.Millisecond)}
	cfg := demo.FleetConfig{
		Profiles: []byte(fleetProfiles),
		Domains:  []string{"a", "b", "c"},
		Entries:  entries,
		Pools: []demo.PoolConfig{
			{Name: "counts", Endpoints: 4, Endpoint: endpoint},
			{Name: "bookings", Endpoints: 3, Endpoint: endpoint},
			{Name: "scans", Endpoints: 2, Endpoint: endpoint},
		},
		Adjust: func(s *settings.Settings) { s.Timeouts.AnswersTTL.Duration = shortAnswers },
		Audit: func(name string, r audit.Record) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.records[name] = append(f.records[name], r)
		},
	}
	for _, change := range adjust {
		change(&cfg)
	}
	var err error
	f.Fleet, err = demo.NewFleet(cfg)
	t.Cleanup(f.Close)
	if err != nil {
		t.Fatal(err)
	}
	f.ready(t)
	return f
}

func (f *fleet) ready(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if err := f.Ready(ctx); err != nil {
		t.Fatal(err)
	}
}

// audited counts an entry's records of an action on a subject.
func (f *fleet) audited(name, subject, action string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.records[name] {
		if r.Subject == subject && r.Action == action {
			n++
		}
	}
	return n
}

// stop makes a planned stop of an entry that has to cut off nothing.
func (f *fleet) stop(t *testing.T, e *entry.Entry) entry.StopSummary {
	t.Helper()
	f.Forget(e)
	summary := e.Stop(t.Context())
	if summary.Cut != 0 {
		t.Errorf("%s cut off %d requests", e.Name(), summary.Cut)
	}
	return summary
}

// replace starts another process on the VM of an entry that ended.
func (f *fleet) replace(t *testing.T, name string, place int) {
	t.Helper()
	if _, err := f.AddEntry(name, place); err != nil {
		t.Fatal(err)
	}
	f.ready(t)
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	ticker := time.NewTicker(look)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// any reports whether something holds of any running entry, by name.
func (f *fleet) any(holds func(name string) bool) bool {
	return slices.ContainsFunc(f.Entries, func(e *entry.Entry) bool { return holds(e.Name()) })
}

// awaitAll waits until something holds of every running entry, by name.
func (f *fleet) awaitAll(t *testing.T, what string, holds func(name string) bool) {
	t.Helper()
	await(t, what, func() bool { return !f.any(func(name string) bool { return !holds(name) }) })
}

// wire is the connections of all callers. It counts what a planned change must
// not cause: exchanges that break after a connection was there.
type wire struct {
	*http.Transport
	mu     sync.Mutex
	broken []string
}

func newWire() *wire {
	return &wire{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// RoundTrip implements http.RoundTripper. net/http sends a request again on its
// own when a kept connection breaks under it; that counts as well.
func (w *wire) RoundTrip(r *http.Request) (*http.Response, error) {
	sent := 0
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent++ }}
	response, err := w.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if sent > 1 || sent == 1 && err != nil {
		w.note(r, fmt.Errorf("sent %d times: %v", sent, err))
	}
	if err != nil {
		return nil, err
	}
	response.Body = &wireBody{response.Body, w, r}
	return response, nil
}

func (w *wire) note(r *http.Request, err error) {
	if r.Context().Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf("%s %s: %v", r.Method, r.URL, err))
}

type wireBody struct {
	io.ReadCloser
	wire    *wire
	request *http.Request
}

func (b *wireBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.wire.note(b.request, err)
	}
	return n, err
}

// told is what a caller was told of one request.
type told struct {
	id     string
	once   bool
	size   int64
	result client.Result
}

// traffic is a steady load of reads and once-only bookings by several callers.
type traffic struct {
	wire    *wire
	callers []*client.Client
	sending sync.WaitGroup
	end     chan struct{}
	// room has a place for each request under way; nil for any number of them.
	room chan struct{}

	mu   sync.Mutex
	told []told
}

const (
	callers      = 6
	readEvery    = 5 * time.Millisecond
	bookingEvery = 20 * time.Millisecond
	readSize     = 2000
	// requestLimit bounds one request with all its tries.
	requestLimit = 15 * time.Second
	// calmRoom bounds the requests under way where none may be refused. On a quiet machine
	// two or three are; on one so busy that 2 ms of work take a quarter of a second, more of
	// them than that are an overload, and refusing some is right.
	calmRoom = 24
)

// startTraffic sends until finish.
func startTraffic(t *testing.T, f *fleet) *traffic {
	t.Helper()
	return start(t, f, &traffic{wire: newWire(), end: make(chan struct{})})
}

// startCalmTraffic sends until finish, and no more at a time than has room on any machine.
func startCalmTraffic(t *testing.T, f *fleet) *traffic {
	t.Helper()
	return start(t, f, &traffic{wire: newWire(), end: make(chan struct{}), room: make(chan struct{}, calmRoom)})
}

func start(t *testing.T, f *fleet, l *traffic) *traffic {
	t.Helper()
	for i := range callers {
		l.callers = append(l.callers, newCaller(t, f, l.wire, fmt.Sprintf("caller-%d", i)))
	}
	l.sending.Go(func() { l.stream(readEvery, l.read) })
	l.sending.Go(func() { l.stream(bookingEvery, l.book) })
	return l
}

func newCaller(t *testing.T, f *fleet, w *wire, name string) *client.Client {
	t.Helper()
	c, err := client.New(client.Options{Seeds: f.Seeds(), Caller: name, HTTP: &http.Client{Transport: w}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (l *traffic) stream(every time.Duration, send func(n int)) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-l.end:
			return
		case <-ticker.C:
			if !l.enter() {
				continue
			}
			l.sending.Go(func() {
				defer l.leave()
				send(n)
			})
		}
	}
}

// enter takes a place for a request and reports whether there was one.
func (l *traffic) enter() bool {
	if l.room == nil {
		return true
	}
	select {
	case l.room <- struct{}{}:
		return true
	default:
		return false
	}
}

func (l *traffic) leave() {
	if l.room != nil {
		<-l.room
	}
}

func (l *traffic) read(n int) {
	id := fmt.Sprintf("read-%d", n)
	l.do(n, told{id: id, size: readSize}, client.Request{
		Service: "counts",
		Method:  http.MethodGet,
		Path:    fmt.Sprintf("/trays?id=%s&bytes=%d", id, readSize),
	})
}

func (l *traffic) book(n int) {
	id := fmt.Sprintf("booking-%d", n)
	l.do(n, told{id: id, once: true, size: standin.AnswerSize(id)}, client.Request{
		Service: "bookings",
		Method:  http.MethodPost,
		Path:    "/bookings?id=" + id,
		Body:    []byte("hall 7, " + id),
		Once:    true,
	})
}

func (l *traffic) do(n int, about told, request client.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	request.Header = http.Header{contract.HeaderRequest: {about.id}}
	result, err := l.callers[n%len(l.callers)].Do(ctx, request)
	if err != nil {
		result = client.Result{Outcome: client.NotRun, Err: err}
	}
	about.result = result
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = append(l.told, about)
}

// answered returns how many requests have ended.
func (l *traffic) answered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.told)
}

// awaitMore waits until n more requests have ended, so that what came before
// was met by traffic.
func (l *traffic) awaitMore(t *testing.T, n int) {
	t.Helper()
	from := l.answered()
	await(t, "more answers", func() bool { return l.answered() >= from+n })
}

// outcomes are how many requests ended how.
type outcomes struct{ done, notRun, unknown int }

// finish ends the traffic and checks what holds whatever happens: every answer
// is whole and the request's own, no booking ran twice, and what callers were
// told is true of what the endpoints did.
func (l *traffic) finish(t *testing.T, f *fleet) (reads, bookings outcomes) {
	t.Helper()
	close(l.end)
	l.sending.Wait()
	for _, about := range l.told {
		count := &reads
		if about.once {
			count = &bookings
		}
		count.add(about.result.Outcome)
		if about.result.Outcome != client.Done {
			t.Logf("%s: %s %q by %s after %d tries: %v", about.id, about.result.Outcome, about.result.Reason,
				about.result.Entry, about.result.Tries, about.result.Err)
		}
		if problem := about.problem(f.Ledger.Request(about.id)); problem != "" {
			t.Errorf("%s: %s; told %s %q by %s after %d tries (%v)", about.id, problem, about.result.Outcome,
				about.result.Reason, about.result.Entry, about.result.Tries, about.result.Err)
		}
	}
	if twice := f.Ledger.RanTwice(); len(twice) > 0 {
		t.Errorf("keys that ran twice: %v", twice)
	}
	t.Logf("reads %+v, bookings %+v, connections broken %d", reads, bookings, len(l.wire.broken))
	return reads, bookings
}

func (o *outcomes) add(outcome client.Outcome) {
	switch outcome {
	case client.Done:
		o.done++
	case client.NotRun:
		o.notRun++
	default:
		o.unknown++
	}
}

// problem says how a promise was broken to the caller of one request.
func (a told) problem(ran standin.Count) string {
	switch {
	case a.once && ran.Runs > 1:
		return fmt.Sprintf("ran %d times", ran.Runs)
	case a.result.Outcome == client.NotRun && ran.Runs > 0:
		return "a false \"not run\""
	case a.result.Outcome == client.Done && ran.Finished == 0:
		return "a false \"done\""
	}
	if a.result.Outcome != client.Done || a.result.Status != http.StatusOK {
		return ""
	}
	if err := standin.CheckAnswer(a.result.Body, a.id, a.size); err != nil {
		return err.Error()
	}
	return ""
}

// calm demands that a planned change was not noticed by any caller: every
// request is done and no exchange broke off.
func (l *traffic) calm(t *testing.T, f *fleet) {
	t.Helper()
	reads, bookings := l.finish(t, f)
	if reads.notRun+reads.unknown+bookings.notRun+bookings.unknown > 0 {
		t.Errorf("requests were lost: reads %+v, bookings %+v", reads, bookings)
	}
	for _, broken := range l.wire.broken {
		t.Errorf("cut off: %s", broken)
	}
}
