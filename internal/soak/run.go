package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/tealhall/tealhall/client"
	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/standin"
	"github.com/tealhall/tealhall/internal/wait"
)

const (
	// calmLength is the length of the calm times before the first fault and after the recovery.
	calmLength = 2 * time.Second
	// readyTimeout limits how long the fleet may take to become ready.
	readyTimeout = 20 * time.Second

	callers        = 4
	readEvery      = 10 * time.Millisecond
	onceEvery      = 40 * time.Millisecond
	answerBytes    = 600
	requestTimeout = 15 * time.Second
)

// Run plays one run with the faults that the seed draws. The error says that it could not be played;
// the report says what it found.
func Run(ctx context.Context, cfg Config) (*Report, error) { return play(ctx, cfg, Draw(cfg)) }

func play(ctx context.Context, cfg Config, faults []Fault) (*Report, error) {
	checks := NewChecks(time.Now)
	f, err := newFleet(cfg, checks)
	defer f.close()
	if err != nil {
		return nil, err
	}
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	traffic, err := newTraffic(f)
	if err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { f.watchRevisions(running) })
	background.Go(func() { traffic.run(running) })
	wait.For(ctx, calmLength)
	j := &injector{fleet: f, injected: make(map[Kind]int), skipped: make(map[Kind]int)}
	failure := j.run(ctx, faults)
	wait.For(ctx, recoveryWithin)
	recovered := time.Now()
	wait.For(ctx, calmLength)
	stop()
	background.Wait()
	f.close() // the journals are complete only then
	if failure != nil {
		return nil, failure
	}
	if err := ctx.Err(); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "let it run to its end", "the run of seed %d was interrupted", cfg.Seed)
	}
	return &Report{Config: cfg, Injected: j.injected, Skipped: j.skipped, Requests: traffic.sent, Results: checks.Finish(recovered)}, nil
}

// awaitReady waits until every entry is ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := &http.Client{Timeout: pollTimeout}
	for _, e := range f.entries {
		for {
			if _, ready := readRevision(client, e.callers); ready {
				break
			}
			if wait.For(limited, pollEvery); limited.Err() != nil {
				return fault.New(fault.Unavailable, "read the logs of the run", "%s is not ready after %v", e.name, readyTimeout)
			}
		}
	}
	return nil
}

// traffic sends reads, and writes that must run once.
type traffic struct {
	checks  *Checks
	callers []*client.Client
	// sent counts the requests of each service, after run has returned.
	sent map[string]int
}

func newTraffic(f *fleet) (*traffic, error) {
	t := &traffic{checks: f.checks, sent: make(map[string]int)}
	var seeds []string
	for _, e := range f.entries {
		seeds = append(seeds, e.callers)
	}
	for i := range callers {
		c, err := client.New(client.Options{Seeds: seeds, Caller: fmt.Sprint("caller-", i), Domain: domains[i%len(domains)]})
		if err != nil {
			return nil, err
		}
		t.callers = append(t.callers, c)
	}
	return t, nil
}

// run sends requests until ctx ends and waits for their answers.
func (t *traffic) run(ctx context.Context) {
	var streams sync.WaitGroup
	reads, writes := 0, 0
	streams.Go(func() { reads = t.sendEvery(ctx, readEvery, t.read) })
	streams.Go(func() { writes = t.sendEvery(ctx, onceEvery, t.book) })
	streams.Wait()
	t.sent[readService], t.sent[onceService] = reads, writes
}

func (t *traffic) sendEvery(ctx context.Context, every time.Duration, send func(n int)) (sent int) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	var all sync.WaitGroup
	defer all.Wait()
	for {
		select {
		case <-ctx.Done():
			return sent
		case <-ticker.C:
			n := sent
			all.Go(func() { send(n) })
			sent++
		}
	}
}

func (t *traffic) read(n int) {
	id := fmt.Sprint("read-", n)
	t.do(n, id, answerBytes, client.Request{
		Service: readService, Method: http.MethodGet,
		Path: fmt.Sprintf("/trays?%s=%s&%s=%d", standin.IDParameter, id, standin.BytesParameter, answerBytes),
	})
}

func (t *traffic) book(n int) {
	id := fmt.Sprint("booking-", n)
	t.do(n, id, standin.AnswerSize(id), client.Request{
		Service: onceService, Method: http.MethodPost, Once: true, Body: []byte(id),
		Path: fmt.Sprintf("/bookings?%s=%s", standin.IDParameter, id),
	})
}

// do sends one request. It does not end with the run, so that the end cancels no request.
func (t *traffic) do(n int, id string, size int64, request client.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request.Header = http.Header{contract.HeaderRequest: {id}}
	t.checks.Sent(id, request.Once)
	result, err := t.callers[n%len(t.callers)].Do(ctx, request)
	done := err == nil && result.Outcome == client.Done && result.Status == http.StatusOK
	var wrong error
	if done {
		wrong = standin.CheckAnswer(result.Body, id, size)
	}
	t.checks.Answered(id, done, err == nil && result.Outcome == client.NotRun, wrong)
}
