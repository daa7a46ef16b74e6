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
	// testTimeout bounds every wait in these tests.
	testTimeout = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 5 * time.Millisecond
	// shortAnswersTTL keeps planned stops short.
	shortAnswersTTL = 300 * time.Millisecond
)

// fleet is a running fleet with the audit records of its entries, by the names of the entries.
type fleet struct {
	*demo.Fleet
	mu      sync.Mutex
	records map[string][]audit.Record
	// stops has when the planned stop of an entry began, by its address for callers.
	stops map[string]time.Time
}

// newFleet starts entries and three pools of endpoints, and waits until all entries are ready and
// know each other.
func newFleet(t *testing.T, entries int, adjust ...func(*demo.FleetConfig)) *fleet {
	t.Helper()
	f := &fleet{records: make(map[string][]audit.Record), stops: make(map[string]time.Time)}
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
		Adjust: func(s *settings.Settings) { s.Timeouts.AnswersTTL.Duration = shortAnswersTTL },
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
	f.awaitReady(t)
	return f
}

func (f *fleet) awaitReady(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := f.Ready(ctx); err != nil {
		t.Fatal(err)
	}
}

// auditCount returns the number of an entry's audit records with a subject and an action.
func (f *fleet) auditCount(name, subject, action string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.records[name] {
		if r.Subject == subject && r.Action == action {
			n++
		}
	}
	return n
}

// stop performs a planned stop of an entry and checks that it cuts off no request.
func (f *fleet) stop(t *testing.T, e *entry.Entry) entry.StopSummary {
	t.Helper()
	f.RemoveEntry(e)
	f.mu.Lock()
	f.stops[e.CallerAddress()] = time.Now()
	f.mu.Unlock()
	summary := e.Stop(t.Context())
	if summary.Cut != 0 {
		t.Errorf("%s cut off %d requests", e.Name(), summary.Cut)
	}
	return summary
}

// replace starts an entry in the failure domain with index place and waits until the fleet is
// ready again.
func (f *fleet) replace(t *testing.T, name string, place int) {
	t.Helper()
	if _, err := f.AddEntry(name, place); err != nil {
		t.Fatal(err)
	}
	f.awaitReady(t)
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatalf("timed out waiting: %s", what)
		}
	}
}

// anyEntry reports whether a condition holds for the name of any running entry.
func (f *fleet) anyEntry(holds func(name string) bool) bool {
	return slices.ContainsFunc(f.Entries, func(e *entry.Entry) bool { return holds(e.Name()) })
}

// awaitEveryEntry waits until a condition holds for the names of all running entries.
func (f *fleet) awaitEveryEntry(t *testing.T, what string, holds func(name string) bool) {
	t.Helper()
	await(t, what, func() bool { return !f.anyEntry(func(name string) bool { return !holds(name) }) })
}

// sinceStop returns how long before a time the planned stop of the entry with an address began, and
// whether it did.
func (f *fleet) sinceStop(address string, at time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	began, stopped := f.stops[address]
	return at.Sub(began), stopped
}

// recordingTransport is the HTTP transport of all callers. It records the exchanges that break
// after their connection was established, which a planned change must not cause.
type recordingTransport struct {
	*http.Transport
	fleet  *fleet
	mu     sync.Mutex
	broken []string
}

func newRecordingTransport(f *fleet) *recordingTransport {
	return &recordingTransport{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}, fleet: f}
}

// RoundTrip implements http.RoundTripper. net/http repeats a request by itself when a kept-alive
// connection breaks; that is recorded as well.
func (w *recordingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	sent := 0
	var sentAt time.Time
	trace := &httptrace.ClientTrace{WroteHeaders: func() {
		if sent++; sent == 1 {
			sentAt = time.Now()
		}
	}}
	response, err := w.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if sent > 1 || sent == 1 && err != nil {
		// Nobody may use an entry for longer than answers to callers last: a caller that had no
		// processor time meanwhile sends to an entry that has stopped serving as announced.
		after, stopped := w.fleet.sinceStop(r.URL.Host, sentAt)
		if !stopped || after <= shortAnswersTTL {
			w.recordBroken(r, fmt.Errorf("sent %d times, first %v after the stop of its entry began (%v): %v", sent, after, stopped, err))
		}
	}
	if err != nil {
		return nil, err
	}
	response.Body = &recordingBody{response.Body, w, r}
	return response, nil
}

func (w *recordingTransport) recordBroken(r *http.Request, err error) {
	if r.Context().Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf("%s %s: %v", r.Method, r.URL, err))
}

type recordingBody struct {
	io.ReadCloser
	transport *recordingTransport
	request   *http.Request
}

func (b *recordingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.transport.recordBroken(b.request, err)
	}
	return n, err
}

// reply is the result of one request as its caller received it.
type reply struct {
	id     string
	once   bool
	size   int64
	result client.Result
}
