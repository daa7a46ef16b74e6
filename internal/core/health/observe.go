// Package health ejects endpoints that perform much worse than the rest of their pool and readmits
// them when they recover. It relies on this entry's own measurements. The load that an endpoint
// reports lags and may be wrong, so a report can explain a high latency to a bounded degree, but
// never improves an endpoint's rating otherwise.
//
// The driver calls Observe for the outcome of each attempt and Sweep at each tick. When it chooses
// an endpoint, it skips those for which Ejected is true, except that it sends an idempotent request
// to one for which TrialDue is true and then calls TrialSent.
//
// The package does no I/O and reads no clock. Its state is the Health field of the table's rows.
package health

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// Outcome is the result of one attempt at an endpoint.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means a complete answer that is not a server error.
	Answered Outcome = iota
	// AnsweredError means a complete answer that is a server error (5xx).
	AnsweredError
	// RefusedNotRun means that the endpoint refused the request and stated that it did not run.
	RefusedNotRun
	// Broken means that the connection broke before the end of the answer.
	Broken
	// TimedOut means that no answer came in time.
	TimedOut
	// ConnectFailed means that no connection could be opened.
	ConnectFailed
	// ConnSilent means that an open connection went silent while new connections work. The fault
	// lies in the network path, so it does not count against the endpoint.
	ConnSilent
)

// Observation is the outcome of one attempt.
type Observation struct {
	Outcome Outcome
	// Sent is when the attempt was dispatched. If it is zero, the attempt was dispatched Latency
	// ago.
	Sent time.Duration
	// Latency is the time from dispatch to the header of the answer, or to the failure. It must
	// not include the time that the caller takes to receive the answer.
	Latency time.Duration
	// Expected is the usual latency of the service on the pool, from Typical. If it is zero, the
	// latency is recorded for display but not rated, because services with very different
	// latencies may share a pool.
	Expected time.Duration
	// Queued is the number of requests that the endpoint reports to have been queued ahead of
	// this one.
	Queued int
}

// Weights and bounds of single samples.
const (
	// failureWeight is the weight of the latest outcome: five successive failures raise the
	// failure rate from 0 to 0.67.
	failureWeight = 0.2
	// latencyWeight is the weight of the latest latency. It is small enough that an endpoint whose
	// service times vary as much as their mean is not taken for a straggler.
	latencyWeight = 0.08
	// maxLatencyStep bounds a latency sample to a multiple of the smoothed value. A single pause,
	// caused for example by another VM on the host, then does not make an endpoint a straggler,
	// while a lasting change shows after a few samples.
	maxLatencyStep = 4.0
	// maxQueueDiscount bounds how far a reported queue explains a latency, so that a slow endpoint
	// that always reports a long queue is still detected.
	maxQueueDiscount = 2.0
	// queuedRefusalWeight is the failure value of a refusal while the endpoint reports queued
	// requests. It is above failureLimit, so that an endpoint that refuses every request is
	// detected whatever it reports.
	queuedRefusalWeight = 0.7
	maxSamples          = 1000
)

// ColdTime is how long after its admission an endpoint's latency is not rated, because its caches
// and just-in-time compilers are still warming up.
const ColdTime = 10 * time.Second

// Observe records the outcome of an attempt at the endpoint at index.
func Observe(now time.Duration, p *table.Pool, index int, o Observation) {
	e := &p.Endpoints[index]
	h := &e.Health
	if o.Outcome == ConnSilent || o.sent(now) < h.JudgeFrom {
		return
	}
	if o.Outcome == TimedOut && cold(now, e) {
		// The first answers of a new endpoint may be very slow, which is not a failure. A dead
		// endpoint is detected by connections that fail or break.
		return
	}
	p.Activate(index)
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

// failure returns the outcome's contribution to the failure rate, from 0 to 1.
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

// observeLatency records the latency of an answer. Refusals and errors are left out, because an
// endpoint that fails quickly would look fast.
func observeLatency(now time.Duration, e *table.Endpoint, o Observation) {
	h := &e.Health
	discount := min(float64(max(0, o.Queued))/float64(max(1, e.Slots)), maxQueueDiscount)
	latency := float64(o.Latency) / (1 + discount)
	h.LatencyNanos = smoothBounded(h.LatencyNanos, latency, latencyWeight)
	if o.Expected <= 0 || cold(now, e) {
		return
	}
	if h.SlowSamples == 0 && h.Slowness == 0 {
		// The average starts at 1 and not at the first sample, which may be a rare outlier.
		h.Slowness = 1
	}
	h.SlowSamples = min(h.SlowSamples+1, maxSamples)
	h.Slowness = smoothBounded(h.Slowness, latency/float64(o.Expected), latencyWeight)
}

// smoothBounded is smooth with the sample bounded by maxLatencyStep. The first sample becomes the
// value.
func smoothBounded(value, sample, weight float64) float64 {
	if value <= 0 {
		return sample
	}
	return smooth(value, min(sample, maxLatencyStep*value), weight)
}

func cold(now time.Duration, e *table.Endpoint) bool {
	return now-e.AdmittedAt < ColdTime
}

// Typical tracks the usual latency of a service on a pool, for Observation.Expected. The zero value
// is ready for use.
type Typical struct {
	nanos   float64
	samples int
}

const (
	typicalWeight  = 0.02
	typicalSamples = 10
)

// Observe records the latency of an answer from any endpoint of the pool.
func (t *Typical) Observe(latency time.Duration) {
	t.samples++
	weight := max(typicalWeight, 1/float64(t.samples))
	t.nanos = smoothBounded(t.nanos, float64(latency), weight)
}

// Latency returns the usual latency, or 0 after fewer than typicalSamples answers.
func (t *Typical) Latency() time.Duration {
	if t.samples < typicalSamples {
		return 0
	}
	return time.Duration(t.nanos)
}
