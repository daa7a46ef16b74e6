package health

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// Limits bound ejection in one pool, from the profiles. Zero durations and
// factors take the defaults.
type Limits struct {
	// MaxShare is the largest share of the live endpoints that may be ejected
	// at a time. If it is above 0, one endpoint of a pool of two or more always
	// may; never all.
	MaxShare float64
	// Base and Max are the shortest and longest time of an ejection. The time
	// doubles with each ejection in a row.
	Base, Max time.Duration
	// SlowFactor: an endpoint is a straggler when its answers take more than
	// this factor of the pool's median.
	SlowFactor float64
	// Busy is the share of the pool's slots that is in use. Stragglers are not
	// ejected if the others could not carry the load: a slow slot is better
	// than a queue. Endpoints that fail carry nothing, so they may always go.
	Busy float64
}

// Defaults of Limits.
const (
	DefaultBase       = 2 * time.Second
	DefaultMax        = 60 * time.Second
	DefaultSlowFactor = 3.0
)

// What Sweep judges by.
const (
	// failureLimit is the failure rate above which an endpoint looks bad.
	failureLimit = 0.5
	// failureGap is how far above the pool's median it must be to be ejected.
	failureGap = 0.3
	// failureSamples and slowSamples are how many outcomes it takes.
	failureSamples = 5
	slowSamples    = 12
	// medianOf is how many judged endpoints it takes to call one of them slow.
	medianOf = 3
	// carryLimit is the highest share of slots in use after an ejection.
	carryLimit = 0.9
	// staleAfter: an endpoint that got no request for so long is judged anew.
	staleAfter = 10 * time.Second
	// trials is how many good trial requests readmit an endpoint.
	trials = 3
	// trialGap is the time between two trial requests.
	trialGap = 250 * time.Millisecond
)

// EventKind is what Sweep decided.
type EventKind uint8

// The kinds of events.
const (
	// Ejected: the endpoint gets no work until Event.Until, then trials.
	Ejection EventKind = iota
	// Readmission: the endpoint gets ordinary work again.
	Readmission
	// ViewWrong: most endpoints look bad, so the fault is taken to be on this
	// side or in the service itself; all are used. Event.Endpoint is -1.
	ViewWrong
	// ViewRestored: no longer so. Event.Endpoint is -1.
	ViewRestored
)

// Event is a decision for the audit trail.
type Event struct {
	// Endpoint is the index in the pool, or -1 for the whole pool.
	Endpoint int
	Kind     EventKind
	Why      string
	Until    time.Duration
}

// Ejected reports whether the endpoint gets no ordinary work.
func Ejected(now time.Duration, e *table.Endpoint) bool {
	return e.Health.EjectedUntil != 0
}

// TrialDue reports whether an idempotent request should go to the ejected
// endpoint to find out whether it works again.
func TrialDue(now time.Duration, e *table.Endpoint) bool {
	h := &e.Health
	return h.EjectedUntil != 0 && now >= h.EjectedUntil && now >= h.TrialAt
}

// TrialSent notes that a trial request was sent.
func TrialSent(now time.Duration, e *table.Endpoint) {
	e.Health.TrialAt = now + trialGap
}

// Pause notes that the process slept for the time gap up to now. What was
// measured is stale, and the outcomes of requests sent before the pause tell
// about the pause and not about the endpoints; without this a late wake-up
// would eject a healthy pool for being slow.
func Pause(now, gap time.Duration, p *table.Pool) {
	for i := range p.Endpoints {
		forget(now, &p.Endpoints[i].Health)
	}
}

// forget drops what was measured; only requests sent from now on count.
func forget(now time.Duration, h *table.Health) {
	h.JudgeFrom = now
	h.Samples, h.SlowSamples = 0, 0
	h.FailureRate, h.Slowness = 0, 0
}

func stale(now time.Duration, h *table.Health) bool {
	return now-h.SampledAt > staleAfter
}

var _ = rand.New
var _ = slices.Sort[[]int]
