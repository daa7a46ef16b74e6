package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/tealhall/tealhall/client"
	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/settings"
	"github.com/tealhall/tealhall/internal/wait"
)

// The times of the scripted changes, counted from the start of the session. A planned stop of an
// entry takes as long as callers may cache lists of entries that name the entry, so the stop begins
// early and the session does not end before it.
const (
	publishAt     = 1 * time.Second
	stopEntryAt   = 2 * time.Second
	drainAt       = 4 * time.Second
	markLeavingAt = 6 * time.Second
	uploadsFrom   = 7 * time.Second
	minDuration   = 15 * time.Second
	progressEvery = 1 * time.Second
	// leavingGrace is how long an endpoint may still get new requests after it has begun to leave.
	leavingGrace = 3 * time.Second
)

const (
	// callerCount is the number of callers that send requests.
	callerCount = 6
	// stoppedEntry is the index of the entry that is stopped. It is the only one of its failure domain,
	// so that callers there use it.
	stoppedEntry = 1
	// largestFleet is the number of entries between which the probe budget is divided. The demo
	// never runs more entries.
	largestFleet = 4
)

// adjustSettings changes the default settings for the small fleet of the demo.
func adjustSettings(s *settings.Settings) { s.Limits.LargestFleet = largestFleet }

// session is one run of the demo.
type session struct {
	fleet   *Fleet
	changes *changeLog
	out     io.Writer
	seed    uint64

	began        time.Time
	transport    *cutCounter
	callers      []*client.Client
	tallies      []*tally
	pairs        *pairedCalls
	lateRequests []*lateRequestCounter
	stop         StopReport
}

func newSession(f *Fleet, changes *changeLog, opts Options) (*session, error) {
	s := &session{fleet: f, changes: changes, out: opts.Out, seed: opts.Seed, transport: newCutCounter()}
	for i := range callerCount {
		c, err := client.New(client.Options{
			Seeds:  f.Seeds(),
			Caller: fmt.Sprintf("caller-%d", i+1),
			Domain: f.domain(i),
			HTTP:   &http.Client{Transport: s.transport},
		})
		if err != nil {
			return nil, err
		}
		s.callers = append(s.callers, c)
	}
	endpoint := f.endpointsOf(pairedService)[0]
	s.pairs = newPairedCalls(&http.Client{Transport: s.transport}, endpoint.Server().Address(), f.Seeds()[0])
	return s, nil
}

// run sends the requests, runs the script and returns the report.
func (s *session) run(ctx context.Context) (*Report, error) {
	s.began = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sending sync.WaitGroup
	for _, st := range s.streams() {
		sending.Go(func() { st.run(ctx) })
	}
	sending.Go(func() { s.pairs.run(ctx) })
	sending.Go(func() { s.progress(ctx) })
	err := s.script(ctx)
	cancel()
	sending.Wait()
	if err != nil {
		return nil, err
	}
	return s.report(), nil
}

// script makes the scripted changes in order.
func (s *session) script(ctx context.Context) error {
	s.waitUntil(ctx, publishAt)
	revision := s.fleet.Publish(changedProfiles())
	published := time.Now()
	s.printProgress("published the profiles with %s as revision %d", changedHedge, revision)
	s.changes.expect(revision, published)

	s.waitUntil(ctx, stopEntryAt)
	var stopping sync.WaitGroup
	stopping.Go(func() { s.stopEntry(ctx) })
	defer stopping.Wait()

	s.waitUntil(ctx, drainAt)
	announcing := s.fleet.endpointsOf(readService)[0]
	s.countLateRequests(ctx, announcing, "announced by the endpoint")
	announcing.Drain()

	s.waitUntil(ctx, markLeavingAt)
	marked := s.fleet.endpointsOf(onceService)[0]
	s.countLateRequests(ctx, marked, "marked in the platform's list")
	s.fleet.MarkLeaving(announcing.VM.Name)
	s.fleet.MarkLeaving(marked.VM.Name)

	stopping.Wait()
	s.waitUntil(ctx, minDuration)
	return ctx.Err()
}

// waitUntil waits until d after the start of the session.
func (s *session) waitUntil(ctx context.Context, d time.Duration) {
	wait.For(ctx, time.Until(s.began.Add(d)))
}

// printProgress prints a progress line with the time since the start of the session.
func (s *session) printProgress(format string, args ...any) {
	fmt.Fprintf(s.out, "%5.1fs  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// stopEntry stops an entry gracefully.
func (s *session) stopEntry(ctx context.Context) {
	leaving := s.fleet.entries()[stoppedEntry]
	s.printProgress("%s begins a planned stop, which lasts until callers no longer cache entry lists that name it", leaving.Name())
	s.fleet.RemoveEntry(leaving)
	summary := leaving.Stop(ctx)
	s.stop = StopReport{Entry: leaving.Name(), Cut: summary.Cut, Keys: summary.HandedOver, Successors: summary.Successors, Took: summary.Took}
	s.printProgress("%s stopped after %.1f s: %d requests cut off, %d idempotency keys handed to %d entries",
		leaving.Name(), summary.Took.Seconds(), summary.Cut, summary.HandedOver, summary.Successors)
}

// countLateRequests starts counting the requests that a leaving endpoint gets after leavingGrace.
func (s *session) countLateRequests(ctx context.Context, e *Endpoint, how string) {
	s.printProgress("%s is leaving: %s", e.VM.Name, how)
	counter := &lateRequestCounter{endpoint: e, how: how}
	s.lateRequests = append(s.lateRequests, counter)
	announcedAt := time.Now()
	go func() {
		wait.For(ctx, time.Until(announcedAt.Add(leavingGrace)))
		counter.startCounting()
	}()
}

// progress prints the counts of all services every progressEvery.
func (s *session) progress(ctx context.Context) {
	ticker := time.NewTicker(progressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.printProgress("%s", s.progressLine())
		}
	}
}

func (s *session) progressLine() string {
	var parts []string
	for _, t := range s.tallies {
		done, inFlight := t.progress()
		parts = append(parts, fmt.Sprintf("%s %d done and %d in flight", t.service, done, inFlight))
	}
	return strings.Join(parts, ", ")
}

// cutCounter is an http.RoundTripper that counts answers that were cut off.
type cutCounter struct {
	base http.RoundTripper

	mu  sync.Mutex
	cut int
}

// idleConnections is the maximum number of idle connections to one host.
const idleConnections = 64

func newCutCounter() *cutCounter {
	return &cutCounter{base: &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}}
}

// RoundTrip implements http.RoundTripper.
func (c *cutCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = &countedBody{ReadCloser: response.Body, counter: c, ctx: r.Context()}
	return response, nil
}

func (c *cutCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

type countedBody struct {
	io.ReadCloser
	counter *cutCounter
	ctx     context.Context
}

// Read counts an error other than io.EOF, unless the caller's own context has ended.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF && b.ctx.Err() == nil {
		b.counter.mu.Lock()
		b.counter.cut++
		b.counter.mu.Unlock()
	}
	return n, err
}

// requestHeader returns the header that identifies a request in the ledger.
func requestHeader(id string) http.Header {
	return http.Header{contract.HeaderRequest: {id}}
}
