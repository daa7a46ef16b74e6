// Package health ejects endpoints that are much worse than the rest of their
// pool and takes them back. It judges by what this entry has measured itself:
// reports of endpoints lag and may mislead, so a report can excuse an endpoint
// to a bounded degree and never praise it.
//
// The driver calls Observe for the outcome of each attempt and Sweep at each
// tick. A choice skips endpoints for which Ejected holds, sends an idempotent
// request to one for which TrialDue holds and tells it by TrialSent.
//
// The package is pure and keeps its state in the Health of the table's rows.
package health

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// Outcome is what became of one attempt at an endpoint.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered: a whole answer that is no server error.
	Answered Outcome = iota
	// AnsweredError: a whole answer that is a server error (5xx).
	AnsweredError
	// RefusedNotRun: the endpoint said that it did not run the request.
	RefusedNotRun
	// Broken: the connection broke before the end of the answer.
	Broken
	// TimedOut: no answer in time.
	TimedOut
	// ConnectFailed: no connection could be opened.
	ConnectFailed
	// ConnSilent: an open connection went silent while new ones work. That is
	// a fault of the path between, so it does not count against the endpoint.
	ConnSilent
)

// Observation is the outcome of one attempt.
type Observation struct {
	Outcome Outcome
	// Sent is when the attempt was dispatched. Zero means Latency ago.
	Sent time.Duration
	// Latency is the time from dispatch to the head of the answer, or to the
	// failure. Time that a caller takes to receive an answer must not count.
	Latency time.Duration
	// Expected is what a request of this service commonly takes on the pool,
	// from Typical. Without it the latency is shown but not judged, because
	// services of very different length may share a pool.
	Expected time.Duration
	// Queued is how many requests the endpoint reports to have waited in front
	// of this one.
	Queued int
}

// Smoothing and bounds of single samples.
const (
	// failureWeight is the weight of the latest outcome: five failures in a
	// row raise the failure rate from 0 to 0.67.
	failureWeight = 0.2
	// latencyWeight is the weight of the latest latency. It is small enough that
	// service times that vary as much as their mean make no straggler.
	latencyWeight = 0.08
	// maxLatencyStep bounds a latency sample by a multiple of the present value.
	// One pause of a neighbour on the host then can't make a straggler, while a
	// lasting change passes in a few samples.
	maxLatencyStep = 4.0
	// maxQueueDiscount bounds how far reported waiting explains a latency. An
	// endpoint that always reports a long queue is still found to be slow.
	maxQueueDiscount = 2.0
	// queuedRefusalWeight is what a refusal counts while requests are reported to
	// wait. It stays above the limit of failures, so that an endpoint that
	// refuses everything is found whatever it reports.
	queuedRefusalWeight = 0.7
	maxSamples          = 1000
)

// ColdTime is how long a new endpoint may be slow without being judged by it:
// caches and compilers warm up.
const ColdTime = 10 * time.Second

// Observe counts the outcome of an attempt.
func Observe(now time.Duration, e *table.Endpoint, o Observation) {
	h := &e.Health
	if o.Outcome == ConnSilent || o.sent(now) < h.JudgeFrom {
		return
	}
	if o.Outcome == TimedOut && cold(now, e) {
		// The first answers of a new endpoint may be very slow; that is no
		// failure. One that is dead shows by connections that fail or break.
		return
	}
	h.SampledAt = now
	h.Samples = min(h.Samples+1, maxSamples)
	h.FailureRate = smooth(h.FailureRate, failure(o), failureWeight)
	if o.Outcome == Answered || o.Outcome == TimedOut {
		observeLatency(now, e, o)
	}
}

func (o *Observation) sent(now time.Duration) time.Duration {
	if o.Sent != 0 {
		return o.Sent
	}
	return now - o.Latency
}

func smooth(value, sample, weight float64) float64 {
	return value + weight*(sample-value)
}

// failure returns what the outcome counts in the failure rate.
func failure(o Observation) float64 {
	switch o.Outcome {
	case Answered, ConnSilent:
		return 0
	case RefusedNotRun:
		if o.Queued > 0 {
			return queuedRefusalWeight
		}
	}
	return 1
}

// observeLatency counts the time of an answer. Refusals and errors are left
// out: an endpoint that fails quickly would look fast.
func observeLatency(now time.Duration, e *table.Endpoint, o Observation) {
	h := &e.Health
	discount := min(float64(max(0, o.Queued))/float64(max(1, e.Slots)), maxQueueDiscount)
	latency := float64(o.Latency) / (1 + discount)
	h.LatencyNanos = smoothBounded(h.LatencyNanos, latency, latencyWeight)
	if o.Expected <= 0 || cold(now, e) {
		return
	}
	if h.SlowSamples == 0 && h.Slowness == 0 {
		// Not the first sample: it may be the one late answer in a thousand.
		h.Slowness = 1
	}
	h.SlowSamples = min(h.SlowSamples+1, maxSamples)
	h.Slowness = smoothBounded(h.Slowness, latency/float64(o.Expected), latencyWeight)
}

// smoothBounded smooths with a bounded step. The first sample is taken as it is.
func smoothBounded(value, sample, weight float64) float64 {
	if value <= 0 {
		return sample
	}
	return smooth(value, min(sample, maxLatencyStep*value), weight)
}

func cold(now time.Duration, e *table.Endpoint) bool {
	return now-e.AdmittedAt < ColdTime
}

// Typical measures the common latency of a service on a pool, for
// Observation.Expected. The zero value is ready for use.
type Typical struct {
	nanos   float64
	samples int
}

const (
	typicalWeight  = 0.02
	typicalSamples = 10
)

// Observe counts the latency of an answer from any endpoint of the pool.
func (t *Typical) Observe(latency time.Duration) {
	t.samples++
	weight := max(typicalWeight, 1/float64(t.samples))
	t.nanos = smoothBounded(t.nanos, float64(latency), weight)
}

// Latency returns the common latency, or 0 while too few answers were seen.
func (t *Typical) Latency() time.Duration {
	if t.samples < typicalSamples {
		return 0
	}
	return time.Duration(t.nanos)
}
