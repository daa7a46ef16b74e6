package balance

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

const (
	// slowFactor is how many times as slow as the pool's median an endpoint must be to be avoided.
	slowFactor = 2
	// slowRetryMin and slowRetryMax bound the time after which a slow endpoint is measured again
	// by a request that may be used for a trial; the time doubles while the endpoint stays slow.
	slowRetryMin = 100 * time.Millisecond
	slowRetryMax = 10 * time.Second
	// medianEvery is the number of answers between two updates of the median.
	medianEvery = 32
	// avoidMin and avoidMax bound the time for which an endpoint that failed a request is not
	// used; the time doubles with each consecutive failure.
	avoidMin = 20 * time.Millisecond
	avoidMax = time.Second
)

// endpointRecord is the state that the claims policy keeps of one endpoint in addition to its
// table.Endpoint.
type endpointRecord struct {
	attempts attempts
	// retryAt is when a slow endpoint may be measured again; doublings counts how often the delay
	// before that has doubled.
	retryAt   time.Duration
	doublings int
	// avoidUntil is the time before which an endpoint that failed requests is not used; failures
	// counts its consecutive failures.
	avoidUntil time.Duration
	failures   int
}

// noteFailure records an attempt without a usable answer. An endpoint that fails fast is idle and
// quick, and so looks best by load and latency. The growing delay keeps it from attracting the
// pool's traffic until package health has ejected it.
func (r *endpointRecord) noteFailure(now time.Duration) {
	r.avoidUntil = now + min(avoidMax, avoidMin<<r.failures)
	r.failures = min(r.failures+1, maxDoublings)
}

// noteMeasurement records whether a measurement found the endpoint slow. A slow endpoint is
// measured again after a delay that doubles each time.
func (r *endpointRecord) noteMeasurement(now time.Duration, slow bool) {
	if !slow {
		r.doublings = 0
		return
	}
	r.retryAt = now + min(slowRetryMax, slowRetryMin<<r.doublings)
	r.doublings = min(r.doublings+1, maxDoublings)
}

// maxDoublings keeps the delays within the range of a duration.
const maxDoublings = 10

// medianSample is the number of endpoints whose median service time stands for that of the pool.
const medianSample = 64

// median returns the median service time of the pool's measured live endpoints, or 0. It considers
// the first medianSample of them.
func median(p *table.Pool) float64 {
	var sorted [medianSample]float64
	count := 0
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if !e.TakesWork() || e.ServiceNanos <= 0 || count == medianSample {
			continue
		}
		at := count
		for at > 0 && sorted[at-1] > e.ServiceNanos {
			sorted[at] = sorted[at-1]
			at--
		}
		sorted[at] = e.ServiceNanos
		count++
	}
	if count == 0 {
		return 0
	}
	return sorted[(count-1)/2]
}
