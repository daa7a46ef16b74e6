package health

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// Thresholds of Sweep.
const (
	// failureLimit is the failure rate above which an endpoint counts as bad.
	failureLimit = 0.5
	// failureMargin is how far above the pool's median the failure rate must be for an ejection.
	failureMargin = 0.3
	// minFailureSamples and minSlowSamples are the numbers of outcomes required to rate an
	// endpoint by its failure rate and by its latency.
	minFailureSamples = 5
	minSlowSamples    = 12
	// minCompared is the number of rated endpoints required to call one of them slow.
	minCompared = 3
	// maxUtilization is the highest allowed share of slots in use after an ejection for slowness.
	maxUtilization = 0.9
	// staleAfter is how long after an endpoint's latest outcome its measurements are discarded.
	staleAfter = 10 * time.Second
)

// EventKind is the kind of a decision of Sweep.
type EventKind uint8

// The kinds of events.
const (
	// Ejection means that the endpoint gets no requests until Event.Until, and only trial requests
	// after that.
	Ejection EventKind = iota
	// Readmission means that the endpoint gets normal traffic again.
	Readmission
	// ViewWrong means that most endpoints look bad, so that the fault probably lies in this entry,
	// its network or the service itself. All endpoints are used. Event.Endpoint is -1.
	ViewWrong
	// ViewRestored means that most endpoints no longer look bad. Event.Endpoint is -1.
	ViewRestored
)

// String returns the kind in the form used in the audit trail.
func (k EventKind) String() string {
	switch k {
	case Ejection:
		return "eject"
	case Readmission:
		return "readmit"
	case ViewWrong:
		return "view-wrong"
	case ViewRestored:
		return "view-restored"
	}
	return "unknown"
}

// Event is a decision for the audit trail.
type Event struct {
	// Endpoint is the index in the pool, or -1 for the whole pool.
	Endpoint int
	Kind     EventKind
	// Why states the measurements behind the decision.
	Why string
	// Clears states what ends an ejection.
	Clears string
	// Until is when the trial requests to an ejected endpoint begin.
	Until time.Duration
}

// IsRated reports whether the endpoint has measurements or ejections for Sweep to look at.
func IsRated(e *table.Endpoint) bool {
	return e.Health.Samples > 0 || e.Health.Ejections > 0 || e.Health.EjectedUntil != 0
}

// ComparesLatency reports whether enough endpoints have a rated latency for Sweep to call one of them
// slow.
func ComparesLatency(p *table.Pool) bool {
	rated := 0
	p.Active(func(_ int, e *table.Endpoint) {
		if e.Health.SlowSamples >= minSlowSamples {
			rated++
		}
	})
	return rated >= minCompared
}

// Sweep rates the live endpoints of a pool, updates their Health and appends its decisions to out.
// The driver calls it periodically, and keeps endpoints active that are rated.
func Sweep(now time.Duration, p *table.Pool, lim Limits, rng *rand.Rand, out []Event) []Event {
	s := sweep{now: now, pool: p, limits: lim.withDefaults(), rng: rng, out: out}
	for i := range p.Endpoints {
		if p.Endpoints[i].TakesWork() {
			s.live++
		}
	}
	s.expireMeasurements()
	s.collect()
	if s.viewWrong() {
		s.readmitAll("most endpoints look bad, so all endpoints are used")
		return s.out
	}
	s.endTrials()
	s.enforceLimit()
	s.ejectWorst()
	return s.out
}

// sweep is one run over a pool.
type sweep struct {
	now    time.Duration
	pool   *table.Pool
	limits Limits
	rng    *rand.Rand
	out    []Event

	live, ejected int
	// judged counts the live endpoints that have enough samples or are ejected. bad counts those
	// of them that fail or are ejected.
	judged, bad int
	// slowJudged counts the endpoints with enough latency samples to be compared.
	slowJudged     int
	medianFailure  float64
	medianSlowness float64
}

// each calls f for every live endpoint that may be rated.
func (s *sweep) each(f func(i int, e *table.Endpoint)) {
	s.pool.Active(func(i int, e *table.Endpoint) {
		if e.TakesWork() {
			f(i, e)
		}
	})
}

// expireMeasurements discards stale measurements and reduces the count of successive ejections over
// time, so that an endpoint that was avoided for past results is used again.
func (s *sweep) expireMeasurements() {
	s.each(func(_ int, e *table.Endpoint) {
		h := &e.Health
		if h.EjectedUntil != 0 {
			return
		}
		if h.Samples > 0 && stale(s.now, h) {
			resetMeasurements(h)
		}
		if h.Ejections > 0 && s.now-h.CalmSince >= s.limits.Max {
			h.Ejections--
			h.CalmSince = s.now
		}
	})
}

// collect computes the counts and medians of the pool.
func (s *sweep) collect() {
	var buffers [2][inlineValues]float64
	failures, slowness := values(buffers[0][:0]), values(buffers[1][:0])
	s.each(func(_ int, e *table.Endpoint) {
		h := &e.Health
		if h.EjectedUntil != 0 {
			s.ejected++
			s.judged++
			s.bad++
			return
		}
		if h.Samples > 0 {
			failures = append(failures, h.FailureRate)
		}
		if h.Samples >= minFailureSamples {
			s.judged++
			if h.FailureRate > failureLimit {
				s.bad++
			}
		}
		if h.SlowSamples >= minSlowSamples {
			slowness = append(slowness, h.Slowness)
		}
	})
	s.slowJudged = len(slowness)
	s.medianFailure = failures.median()
	s.medianSlowness = slowness.median()
}

// viewWrong reports whether most endpoints look bad, and records it in the pool. This happens
// when the entry is cut off from the endpoints, or when all endpoints share a fault, such as a bad
// request that each of them answers with an error. Ejections would then put the whole load on the
// few remaining endpoints and overload these too.
func (s *sweep) viewWrong() bool {
	wrong := 2*s.judged > s.live && 2*s.bad > s.judged
	if wrong != s.pool.ViewWrong {
		s.reportView(wrong)
	}
	s.pool.ViewWrong = wrong
	return wrong
}

func (s *sweep) reportView(wrong bool) {
	kind, why := ViewRestored, fmt.Sprintf("%d of %d judged endpoints look bad", s.bad, s.judged)
	if wrong {
		kind = ViewWrong
		why += "; all endpoints are used until most look good; check the network paths from this entry and the service itself"
	}
	s.out = append(s.out, Event{Endpoint: -1, Kind: kind, Why: why})
}

// endTrials readmits or ejects again the endpoints whose trials have a result.
func (s *sweep) endTrials() {
	s.each(func(i int, e *table.Endpoint) {
		h := &e.Health
		if h.EjectedUntil == 0 {
			return
		}
		if h.Samples > 0 {
			h.EjectedUntil = max(h.EjectedUntil, h.SampledAt+trialTimeout)
		}
		switch {
		case h.FailureRate > trialFailureLimit:
			s.eject(i, "trial requests failed")
		case s.trialSlow(h):
			s.eject(i, fmt.Sprintf("trial requests took %.1f times the pool's median", h.Slowness/s.medianSlowness))
		case h.Samples >= requiredTrials:
			s.readmit(i, fmt.Sprintf("%d trial requests succeeded", h.Samples))
		case s.now >= h.EjectedUntil:
			s.readmit(i, "no request was suitable for a trial")
		}
	})
}

func (s *sweep) trialSlow(h *table.Health) bool {
	return s.slowJudged > 0 && h.SlowSamples >= requiredTrials && h.Slowness > s.limits.SlowFactor*s.medianSlowness
}

// enforceLimit readmits endpoints while more are ejected than the limit allows, which happens when
// other endpoints leave the pool or the profile changes. The endpoint whose ejection would end
// first is readmitted first.
func (s *sweep) enforceLimit() {
	for s.ejected > s.limits.maxEjected(s.live) {
		first := -1
		s.each(func(i int, e *table.Endpoint) {
			until := e.Health.EjectedUntil
			if until != 0 && (first < 0 || until < s.pool.Endpoints[first].Health.EjectedUntil) {
				first = i
			}
		})
		s.readmit(first, "more endpoints are ejected than the profile allows")
	}
}

// ejectWorst ejects the endpoints that are much worse than the others, starting with the worst one,
// as far as the limits allow.
func (s *sweep) ejectWorst() {
	for s.ejected < s.limits.maxEjected(s.live) {
		worst, worstScore := -1, 0.0
		s.each(func(i int, e *table.Endpoint) {
			if score := s.score(e); score > worstScore {
				worst, worstScore = i, score
			}
		})
		if worst < 0 {
			return
		}
		s.eject(worst, s.why(&s.pool.Endpoints[worst].Health))
	}
}

// failingScore is above the score of any slow endpoint, because a late answer is better than none.
const failingScore = 1e6

// score returns how bad an endpoint is, or 0 if it should not be ejected.
func (s *sweep) score(e *table.Endpoint) float64 {
	h := &e.Health
	switch {
	case h.EjectedUntil != 0:
		return 0
	case s.failing(h):
		return failingScore + h.FailureRate
	case s.slow(e) && s.othersHaveCapacity():
		return h.Slowness / s.medianSlowness
	}
	return 0
}

func (s *sweep) failing(h *table.Health) bool {
	return h.Samples >= minFailureSamples && h.FailureRate > failureLimit &&
		h.FailureRate > s.medianFailure+failureMargin
}

func (s *sweep) slow(e *table.Endpoint) bool {
	h := &e.Health
	return s.slowJudged >= minCompared && h.SlowSamples >= minSlowSamples && !cold(s.now, e) &&
		h.Slowness > s.limits.SlowFactor*s.medianSlowness
}

// othersHaveCapacity reports whether the remaining endpoints can serve the load if one more
// endpoint is ejected.
func (s *sweep) othersHaveCapacity() bool {
	inUse := float64(s.live - s.ejected)
	return s.limits.Utilization*inUse <= maxUtilization*(inUse-1)
}

func (s *sweep) why(h *table.Health) string {
	if s.failing(h) {
		return fmt.Sprintf("failed %.0f %% of its latest requests while the pool's median is %.0f %%",
			100*h.FailureRate, 100*s.medianFailure)
	}
	return fmt.Sprintf("took %.1f times the pool's median over %d answers", h.Slowness/s.medianSlowness, h.SlowSamples)
}
