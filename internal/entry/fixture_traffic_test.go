package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/tealhall/tealhall/client"
	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/standin"
)

// traffic is a steady load of reads, and of bookings that must run once, by several callers.
type traffic struct {
	transport *recordingTransport
	callers   []*client.Client
	sending   sync.WaitGroup
	stop      chan struct{}
	// inFlight is a semaphore that bounds the requests under way; nil means no bound.
	inFlight chan struct{}

	mu      sync.Mutex
	replies []reply
}

const (
	callers      = 6
	readEvery    = 5 * time.Millisecond
	bookingEvery = 20 * time.Millisecond
	readSize     = 2000
	// requestTimeout bounds one request with all its attempts.
	requestTimeout = 15 * time.Second
	// maxInFlight bounds the requests under way in tests in which none may be refused. On a quiet
	// machine, two or three are under way. On a machine so busy that 2 ms of work take a quarter of
	// a second, more requests than maxInFlight would be an overload, and entries would rightly
	// refuse some of them.
	maxInFlight = 24
)

// startTraffic starts traffic that runs until finish.
func startTraffic(t *testing.T, f *fleet) *traffic {
	t.Helper()
	return startSending(t, f, &traffic{transport: newRecordingTransport(f), stop: make(chan struct{})})
}

// startBoundedTraffic starts traffic with at most maxInFlight requests under way, which runs until
// finish.
func startBoundedTraffic(t *testing.T, f *fleet) *traffic {
	t.Helper()
	return startSending(t, f, &traffic{transport: newRecordingTransport(f), stop: make(chan struct{}), inFlight: make(chan struct{}, maxInFlight)})
}

func startSending(t *testing.T, f *fleet, l *traffic) *traffic {
	t.Helper()
	for i := range callers {
		l.callers = append(l.callers, newCaller(t, f, l.transport, fmt.Sprintf("caller-%d", i)))
	}
	l.sending.Go(func() { l.sendEvery(readEvery, l.read) })
	l.sending.Go(func() { l.sendEvery(bookingEvery, l.book) })
	return l
}

func newCaller(t *testing.T, f *fleet, w *recordingTransport, name string) *client.Client {
	t.Helper()
	c, err := client.New(client.Options{Seeds: f.Seeds(), Caller: name, HTTP: &http.Client{Transport: w}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (l *traffic) sendEvery(every time.Duration, send func(n int)) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
			if !l.acquire() {
				continue
			}
			l.sending.Go(func() {
				defer l.release()
				send(n)
			})
		}
	}
}

// acquire reserves a place for a request and reports whether one was free.
func (l *traffic) acquire() bool {
	if l.inFlight == nil {
		return true
	}
	select {
	case l.inFlight <- struct{}{}:
		return true
	default:
		return false
	}
}

func (l *traffic) release() {
	if l.inFlight != nil {
		<-l.inFlight
	}
}

func (l *traffic) read(n int) {
	id := fmt.Sprintf("read-%d", n)
	l.do(n, reply{id: id, size: readSize}, client.Request{
		Service: "counts",
		Method:  http.MethodGet,
		Path:    fmt.Sprintf("/trays?id=%s&bytes=%d", id, readSize),
	})
}

func (l *traffic) book(n int) {
	id := fmt.Sprintf("booking-%d", n)
	l.do(n, reply{id: id, once: true, size: standin.AnswerSize(id)}, client.Request{
		Service: "bookings",
		Method:  http.MethodPost,
		Path:    "/bookings?id=" + id,
		Body:    []byte("hall 7, " + id),
		Once:    true,
	})
}

func (l *traffic) do(n int, r reply, request client.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request.Header = http.Header{contract.HeaderRequest: {r.id}}
	result, err := l.callers[n%len(l.callers)].Do(ctx, request)
	if err != nil {
		result = client.Result{Outcome: client.NotRun, Err: err}
	}
	r.result = result
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies = append(l.replies, r)
}

// answered returns the number of requests that have ended.
func (l *traffic) answered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.replies)
}

// awaitReplies waits until n more requests have ended, so that traffic has run under the conditions
// set before.
func (l *traffic) awaitReplies(t *testing.T, n int) {
	t.Helper()
	from := l.answered()
	await(t, "more answers", func() bool { return l.answered() >= from+n })
}

// outcomes counts requests by their outcome.
type outcomes struct{ done, notRun, unknown int }

// finish ends the traffic and checks what must hold in every test: each answer is complete and
// belongs to its request, no booking ran twice, and the outcome that the caller received agrees
// with what the endpoints did.
func (l *traffic) finish(t *testing.T, f *fleet) (reads, bookings outcomes) {
	t.Helper()
	close(l.stop)
	l.sending.Wait()
	for _, r := range l.replies {
		count := &reads
		if r.once {
			count = &bookings
		}
		count.add(r.result.Outcome)
		if r.result.Outcome != client.Done {
			t.Logf("%s: outcome %s %q from %s after %d tries: %v", r.id, r.result.Outcome, r.result.Reason,
				r.result.Entry, r.result.Tries, r.result.Err)
		}
		if problem := r.problem(f.Ledger.Request(r.id)); problem != "" {
			t.Errorf("%s: %s; got outcome %s %q from %s after %d tries (%v)", r.id, problem, r.result.Outcome,
				r.result.Reason, r.result.Entry, r.result.Tries, r.result.Err)
		}
	}
	if twice := f.Ledger.RanTwice(); len(twice) > 0 {
		t.Errorf("keys that ran twice: %v", twice)
	}
	t.Logf("reads %+v, bookings %+v, connections broken %d", reads, bookings, len(l.transport.broken))
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

// problem describes how the reply contradicts the endpoint's record of the request, "" if it does
// not.
func (a reply) problem(ran standin.Count) string {
	switch {
	case a.once && ran.Runs > 1:
		return fmt.Sprintf("ran %d times", ran.Runs)
	case a.result.Outcome == client.NotRun && ran.Runs > 0:
		return "it ran in spite of the outcome \"not run\""
	case a.result.Outcome == client.Done && ran.Finished == 0:
		return "it never finished in spite of the outcome \"done\""
	}
	if a.result.Outcome != client.Done || a.result.Status != http.StatusOK {
		return ""
	}
	if err := standin.CheckAnswer(a.result.Body, a.id, a.size); err != nil {
		return err.Error()
	}
	return ""
}

// finishWithoutLoss ends the traffic and checks that a planned change affected no caller: every
// request is done and no exchange broke.
func (l *traffic) finishWithoutLoss(t *testing.T, f *fleet) {
	t.Helper()
	reads, bookings := l.finish(t, f)
	if reads.notRun+reads.unknown+bookings.notRun+bookings.unknown > 0 {
		t.Errorf("requests were not done: reads %+v, bookings %+v", reads, bookings)
	}
	for _, broken := range l.transport.broken {
		t.Errorf("exchange broke: %s", broken)
	}
}
