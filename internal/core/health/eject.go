package health

import (
	"fmt"
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
	// Busy is the share of the slots of the endpoints in use that is taken.
	// Stragglers are not ejected if the others could not carry the load: a slow
	// slot is better than a queue. Endpoints that fail carry nothing, so they
	// may always go.
	Busy float64
}

// Defaults of Limits.
const (
	DefaultBase       = 2 * time.Second
	DefaultMax        = 60 * time.Second
	DefaultSlowFactor = 3.0
)

func (l Limits) withDefaults() Limits {
	if l.Base <= 0 {
		l.Base = DefaultBase
	}
	if l.Max <= 0 {
		l.Max = DefaultMax
	}
	l.Max = max(l.Max, l.Base)
	if l.SlowFactor <= 1 {
		l.SlowFactor = DefaultSlowFactor
	}
	return l
}

// maxEjected returns how many of the live endpoints may be ejected.
func (l Limits) maxEjected(live int) int {
	if l.MaxShare <= 0 {
		return 0
	}
	return max(0, min(live-1, max(1, int(l.MaxShare*float64(live)))))
}

// How an ejected endpoint comes back.
const (
	// requiredTrials is how many trial requests readmit an endpoint.
	requiredTrials = 3
	// trialFailureLimit is the failure rate that two failures in three trials, or
	// the first two, always pass. A single one may be chance.
	trialFailureLimit = 0.25
	// trialGap is the time between two trial requests.
	trialGap = 250 * time.Millisecond
	// trialTimeout is how long the next trial is waited for. Where no request
	// is idempotent, an endpoint comes back without a trial.
	trialTimeout = 5 * time.Second
	// ejectionJitter is the part of an ejection's time that is left to chance, so that
	// entries that ejected an endpoint together don't return to it together.
	ejectionJitter = 0.5
	// maxDoublings keeps the growth within the range of a duration.
	maxDoublings = 20
)

var ejectionClears = fmt.Sprintf("%d good trial requests, or %s without one that is suited", requiredTrials, trialTimeout)

// Ejected reports whether the endpoint gets no ordinary work.
func Ejected(now time.Duration, e *table.Endpoint) bool {
	return now < e.Health.EjectedUntil
}

// TrialDue reports whether an idempotent request should go to the ejected
// endpoint to find out whether it works again.
func TrialDue(now time.Duration, e *table.Endpoint) bool {
	return Ejected(now, e) && now >= e.Health.TrialAt
}

// TrialSent notes that a trial request was sent.
func TrialSent(now time.Duration, e *table.Endpoint) {
	e.Health.TrialAt = now + trialGap
}

// Pause notes that the process slept for the time gap up to now. What was
// measured is stale, and the outcomes of requests sent before the pause tell
// about the pause and not about the endpoints; without this a late wake-up
// would eject healthy endpoints for being slow.
func Pause(now, gap time.Duration, p *table.Pool) {
	for i := range p.Endpoints {
		h := &p.Endpoints[i].Health
		resetMeasurements(h)
		h.JudgeFrom = now
		// Time asleep is neither time without failures nor time for trials.
		h.CalmSince += gap
		if h.EjectedUntil != 0 {
			h.EjectedUntil = max(h.EjectedUntil, now+trialTimeout)
		}
	}
}

// resetMeasurements drops what was measured of an endpoint.
func resetMeasurements(h *table.Health) {
	h.Samples, h.SlowSamples = 0, 0
	h.FailureRate, h.Slowness = 0, 0
}

func stale(now time.Duration, h *table.Health) bool {
	return now-h.SampledAt > staleAfter
}

// eject takes the endpoint out of use. Outcomes of requests already sent don't
// count any more: its trials decide.
func (s *sweep) eject(i int, why string) {
	e := &s.pool.Endpoints[i]
	h := &e.Health
	if h.EjectedUntil == 0 {
		s.ejected++
	}
	h.TrialAt = s.now + s.ejectionTime(h.Ejections)
	h.EjectedUntil = h.TrialAt + trialTimeout
	if !cold(s.now, e) {
		h.Ejections = min(h.Ejections+1, maxDoublings)
	}
	resetMeasurements(h)
	h.JudgeFrom = s.now
	// From the limit, the trials alone decide to which side it goes.
	h.Slowness = s.limits.SlowFactor * s.medianSlowness
	s.out = append(s.out, Event{Endpoint: i, Kind: Ejection, Why: why, Clears: ejectionClears, Until: h.TrialAt})
}

// ejectionTime returns the time of the ejection after so many others in a row.
func (s *sweep) ejectionTime(ejections int32) time.Duration {
	grown := s.limits.Base
	for range ejections {
		grown = min(2*grown, s.limits.Max)
	}
	return time.Duration(float64(grown) * (1 - ejectionJitter*s.rng.Float64()))
}

func (s *sweep) readmit(i int, why string) {
	h := &s.pool.Endpoints[i].Health
	h.EjectedUntil = 0
	h.CalmSince = s.now
	s.ejected--
	s.out = append(s.out, Event{Endpoint: i, Kind: Readmission, Why: why})
}

func (s *sweep) readmitAll(why string) {
	s.each(func(i int, e *table.Endpoint) {
		if e.Health.EjectedUntil != 0 {
			s.readmit(i, why)
		}
	})
}
