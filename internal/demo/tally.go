package demo

import (
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tealhall/tealhall/client"
	"github.com/tealhall/tealhall/internal/standin"
)

// Range (in microseconds) and precision of the latency histograms.
const (
	longestLatency = int64(time.Minute / time.Microsecond)
	latencyDigits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestLatency, latencyDigits)
}

func quantileLatency(h *hdrhistogram.Histogram, quantile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
}

// tally counts the outcomes of the requests to one service.
type tally struct {
	service string
	kind    string

	mu      sync.Mutex
	sent    int
	counts  map[client.Outcome]int
	reasons map[string]int // for outcomes other than done
	retried int
	latency *hdrhistogram.Histogram
	wrong   []string
	// done and notRun are the ids of requests that were reported as done or as not run. report
	// compares them with the ledger.
	done   []string
	notRun []string
}

func newTally(service, kind string) *tally {
	return &tally{service: service, kind: kind, counts: make(map[client.Outcome]int), reasons: make(map[string]int), latency: newHistogram()}
}

func (t *tally) countSent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
}

// add counts one result. wrong describes what is wrong with the answer, or is nil.
func (t *tally) add(id string, r client.Result, took time.Duration, wrong error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[r.Outcome]++
	if r.Tries > 1 {
		t.retried++
	}
	if wrong != nil {
		t.wrong = append(t.wrong, wrong.Error())
	}
	if r.Outcome != client.Done {
		t.reasons[reasonOf(r)]++
	}
	switch r.Outcome {
	case client.Done:
		t.done = append(t.done, id)
		_ = t.latency.RecordValue(took.Microseconds())
	case client.NotRun:
		t.notRun = append(t.notRun, id)
	}
}

// reasonOf returns a short reason why a request is not done.
func reasonOf(r client.Result) string {
	switch {
	case r.Reason != "":
		return r.Reason
	case r.Status != 0:
		return "status " + strconv.Itoa(r.Status)
	default:
		return "no answer"
	}
}

func (t *tally) progress() (done, inFlight int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	inFlight = t.sent
	for _, n := range t.counts {
		inFlight -= n
	}
	return t.counts[client.Done], inFlight
}

// report returns the counts and compares the reported outcomes with what the endpoints did.
func (t *tally) report(ledger *standin.Ledger) ServiceReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := ServiceReport{
		Service: t.service,
		Kind:    t.kind,
		Sent:    t.sent,
		Done:    t.counts[client.Done],
		NotRun:  t.counts[client.NotRun],
		Unknown: t.counts[client.Unknown],
		Retried: t.retried,
		P50:     quantileLatency(t.latency, 50),
		P99:     quantileLatency(t.latency, 99),
		Reasons: t.reasons,
		Wrong:   t.wrong,
	}
	for _, id := range t.done {
		if ledger.Request(id).Finished == 0 {
			r.Wrong = append(r.Wrong, id+" was reported as done, but no endpoint finished it")
		}
	}
	for _, id := range t.notRun {
		if ledger.Request(id).Runs > 0 {
			r.FalseNotRun = append(r.FalseNotRun, id)
		}
	}
	return r
}

// ranTwice returns the ids of requests that ran more than once. The id of a request stays the same
// across retries and idempotency keys.
func (t *tally) ranTwice(ledger *standin.Ledger) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var twice []string
	for i := range t.sent {
		id := requestID(t.service, i+1)
		if ledger.Request(id).Runs > 1 {
			twice = append(twice, id)
		}
	}
	return twice
}
