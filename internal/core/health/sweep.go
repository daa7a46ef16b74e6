package health

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// What Sweep judges by.
const (
	// failureLimit is the failure rate above which an endpoint looks bad.
	failureLimit = 0.5
	// failureMargin is how far above the pool's median it must be to be ejected.
	failureMargin = 0.3
	// minFailureSamples and minSlowSamples are how many outcomes it takes.
	minFailureSamples = 5
	minSlowSamples    = 12
	// minCompared is how many judged endpoints it takes to call one of them slow.
	minCompared = 3
	// maxUtilization is the highest share of slots in use after an ejection.
	maxUtilization = 0.9
	// staleAfter: an endpoint that got no request for so long is judged anew.
	staleAfter = 10 * time.Second
)

// EventKind is what Sweep decided.
type EventKind uint8

// The kinds of events.
const (
	// Ejection: the endpoint gets no work until Event.Until, then trials.
	Ejection EventKind = iota
	// Readmission: the endpoint gets ordinary work again.
	Readmission
	// ViewWrong: most endpoints look bad, so the fault is taken to be on this
	// side or in the service itself; all are used. Event.Endpoint is -1.
	ViewWrong
	// ViewRestored: no longer so. Event.Endpoint is -1.
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
	// Why says what was measured.
	Why string
	// Clears says what ends an ejection.
	Clears string
	// Until is when the trials of an ejected endpoint begin.
	Until time.Duration
}

// Sweep judges the endpoints of a pool, changes their Health and appends what
// it decided to out. Call it at each tick. Only live endpoints are judged.
func Sweep(now time.Duration, p *table.Pool, lim Limits, rng *rand.Rand, out []Event) []Event {
	s := sweep{now: now, pool: p, limits: lim.withDefaults(), rng: rng, out: out}
	s.expireMeasurements()
	s.collect()
	if s.viewWrong() {
		s.readmitAll("most endpoints look bad, so all of them are used")
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
	// judged counts the live endpoints that something is known of, and bad
	// those of them that fail or are ejected.
	judged, bad int
	// slowJudged counts those that can be compared by their latency.
	slowJudged     int
	medianFailure  float64
	medianSlowness float64
}

// each calls f for every live endpoint.
func (s *sweep) each(f func(i int, e *table.Endpoint)) {
	for i := range s.pool.Endpoints {
		e := &s.pool.Endpoints[i]
		if e.TakesWork() {
			f(i, e)
		}
	}
}

// expireMeasurements lets old knowledge lapse, so that an endpoint that was avoided for its
// past is tried again although nobody asks for it.
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

func (s *sweep) collect() {
	var buffers [2][inlineValues]float64
	failures, slowness := sample(buffers[0][:0]), sample(buffers[1][:0])
	s.each(func(_ int, e *table.Endpoint) {
		h := &e.Health
		s.live++
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

// viewWrong reports whether most endpoints look bad. It guards against an
// entry that is cut off from the endpoints, or a fault that all share, such as
// a bad request that every endpoint answers with an error: ejecting would put
// the whole load on the few that are left and break them too.
func (s *sweep) viewWrong() bool {
	wrong := 2*s.judged > s.live && 2*s.bad > s.judged
	was := false
	s.each(func(_ int, e *table.Endpoint) {
		was = was || e.Health.ViewWrong
		e.Health.ViewWrong = wrong
	})
	if wrong != was {
		s.reportView(wrong)
	}
	return wrong
}

func (s *sweep) reportView(wrong bool) {
	kind, why := ViewRestored, fmt.Sprintf("%d of %d judged endpoints look bad", s.bad, s.judged)
	if wrong {
		kind = ViewWrong
		why += "; all are used until most look good; check the paths from this entry and the service itself"
	}
	s.out = append(s.out, Event{Endpoint: -1, Kind: kind, Why: why})
}

// endTrials readmits or ejects again the endpoints whose trials are decided.
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
			s.readmit(i, fmt.Sprintf("%d trial requests went well", h.Samples))
		case s.now >= h.EjectedUntil:
			s.readmit(i, "no request was suited for a trial")
		}
	})
}

func (s *sweep) trialSlow(h *table.Health) bool {
	return s.slowJudged > 0 && h.SlowSamples >= requiredTrials && h.Slowness > s.limits.SlowFactor*s.medianSlowness
}

// enforceLimit readmits endpoints while more are ejected than may be, which
// happens when others leave the pool or the profile changes. Those that were
// to return first go first.
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

// ejectWorst ejects the endpoints that are much worse than the others, the
// worst first, as far as the limits allow.
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

// failingScore is above any score of a slow endpoint: one that answers late is
// still better than one that does not answer.
const failingScore = 1e6

// score returns how bad an endpoint is, 0 if it is to stay.
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

// othersHaveCapacity reports whether the endpoints that would be left can carry the
// load if one more is ejected.
func (s *sweep) othersHaveCapacity() bool {
	inUse := float64(s.live - s.ejected)
	return s.limits.Busy*inUse <= maxUtilization*(inUse-1)
}

func (s *sweep) why(h *table.Health) string {
	if s.failing(h) {
		return fmt.Sprintf("failed %.0f %% of its latest requests while the pool's median is %.0f %%",
			100*h.FailureRate, 100*s.medianFailure)
	}
	return fmt.Sprintf("took %.1f times the pool's median over %d answers", h.Slowness/s.medianSlowness, h.SlowSamples)
}
