package balance

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

const (
	// slowFactor is how much slower than the pool's median an endpoint must be
	// to be avoided.
	slowFactor = 2
	// slowRetryMin and slowRetryMax bound the time after which a slow
	// endpoint is measured again by a request that may be spent on a trial; it
	// doubles while the endpoint stays slow.
	slowRetryMin = 100 * time.Millisecond
	slowRetryMax = 10 * time.Second
	// medianEvery is the number of answers between two looks at the median.
	medianEvery = 32
	// avoidMin and avoidMax bound the time for which an endpoint that
	// failed a request is passed over; it doubles with each failure in a row.
	avoidMin = 20 * time.Millisecond
	avoidMax = time.Second
)

// endpointRecord is what the claims policy remembers of one endpoint beside its row.
type endpointRecord struct {
	attempts attempts
	// retryAt is when a slow endpoint may be measured again, after a pause
	// that has doubled so many times.
	retryAt   time.Duration
	doublings int
	// avoidUntil and failures pass over an endpoint that turns requests away.
	avoidUntil time.Duration
	failures   int
}

// noteFailure notes an attempt without a usable answer. An endpoint that fails fast
// is idle and quick, hence the most attractive of all by load and latency; the
// growing pause keeps it from drawing the pool's traffic until the health
// system has ejected it.
func (r *endpointRecord) noteFailure(now time.Duration) {
	r.avoidUntil = now + min(avoidMax, avoidMin<<r.failures)
	r.failures = min(r.failures+1, maxDoublings)
}

// noteMeasurement plans the next measurement after one that found the endpoint slow or
// not.
func (r *endpointRecord) noteMeasurement(now time.Duration, slow bool) {
	if !slow {
		r.doublings = 0
		return
	}
	r.retryAt = now + min(slowRetryMax, slowRetryMin<<r.doublings)
	r.doublings = min(r.doublings+1, maxDoublings)
}

// maxDoublings keeps the growth within the range of a duration.
const maxDoublings = 10

// median returns the median service time of the pool's measured live
// endpoints, or 0. It looks at the first MaxRemembered endpoints.
func median(p *table.Pool) float64 {
	var sorted [MaxRemembered]float64
	count := 0
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if !e.TakesWork() || e.ServiceNanos <= 0 || count == MaxRemembered {
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
