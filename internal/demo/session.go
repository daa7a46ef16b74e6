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

// When things happen, counted from the first request. A planned stop of an
// entry takes as long as callers may keep answers that name it, so it begins
// early and the session ends with it.
const (
	publishAt     = 1 * time.Second
	stopEntryAt   = 2 * time.Second
	drainAt       = 4 * time.Second
	markLeavingAt = 6 * time.Second
	uploadsFrom   = 7 * time.Second
	minDuration   = 15 * time.Second
	progressEvery = 1 * time.Second
	// leavingGrace is how long after the word that it leaves an endpoint may
	// still get new work.
	leavingGrace = 3 * time.Second
)

const (
	// callerCount is how many callers send the requests.
	callerCount = 6
	// largestFleet divides the watching budget; the demo never runs more entries.
	largestFleet = 4
)

// adjustSettings sets what differs from an installation: the fleet is small for sure.
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

// run sends the requests, carries out the script and gathers the report.
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

// script makes the changes on the way, one after the other.
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

// waitUntil waits until d after the first request.
func (s *session) waitUntil(ctx context.Context, d time.Duration) {
	wait.For(ctx, time.Until(s.began.Add(d)))
}

// printProgress prints a line of progress.
func (s *session) printProgress(format string, args ...any) {
	fmt.Fprintf(s.out, "%5.1fs  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// stopEntry stops the last entry gracefully.
func (s *session) stopEntry(ctx context.Context) {
	entries := s.fleet.entries()
	leaving := entries[len(entries)-1]
	s.printProgress("%s begins a planned stop; callers may keep answers that name it for some seconds", leaving.Name())
	s.fleet.RemoveEntry(leaving)
	summary := leaving.Stop(ctx)
	s.stop = StopReport{Entry: leaving.Name(), Cut: summary.Cut, Keys: summary.HandedOver, Successors: summary.Successors, Took: summary.Took}
	s.printProgress("%s stopped after %.1f s: %d requests cut off, %d idempotency keys handed to %d entries",
		leaving.Name(), summary.Took.Seconds(), summary.Cut, summary.HandedOver, summary.Successors)
}

// countLateRequests counts what an endpoint gets after the grace time.
func (s *session) countLateRequests(ctx context.Context, e *Endpoint, how string) {
	s.printProgress("%s leaves: %s", e.VM.Name, how)
	w := &lateRequestCounter{endpoint: e, how: how}
	s.lateRequests = append(s.lateRequests, w)
	announcedAt := time.Now()
	go func() {
		wait.For(ctx, time.Until(announcedAt.Add(leavingGrace)))
		w.startCounting()
	}()
}

// progress prints a line every second.
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
		sent, done := t.progress()
		parts = append(parts, fmt.Sprintf("%s %d of %d done", t.service, done, sent))
	}
	return strings.Join(parts, ", ")
}

// cutCounter is a transport that counts answers that broke off.
type cutCounter struct {
	base http.RoundTripper

	mu  sync.Mutex
	cut int
}

// idleConnections is how many idle connections are kept to one entry.
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

// Read counts an error that is not the end and not the caller's own doing.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF && b.ctx.Err() == nil {
		b.counter.mu.Lock()
		b.counter.cut++
		b.counter.mu.Unlock()
	}
	return n, err
}

// request headers of the demo's own.
func requestHeader(id string) http.Header {
	return http.Header{contract.HeaderRequest: {id}}
}
