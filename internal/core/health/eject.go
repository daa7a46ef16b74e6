package health

import (
	"fmt"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// Limits bound ejection in one pool. They come from the profiles. Zero durations and factors take
// the defaults.
type Limits struct {
	// MaxShare is the largest share of the live endpoints that may be ejected at the same time.
	// If it is above 0, at least one endpoint of a pool of two or more may be ejected, but never
	// all endpoints.
	MaxShare float64
	// Base and Max are the durations, before jitter, of the first and the longest ejection. The
	// duration doubles with each successive ejection.
	Base, Max time.Duration
	// SlowFactor is the multiple of the pool's median latency above which an endpoint is a
	// straggler.
	SlowFactor float64
	// Utilization is the share in use of the slots of all endpoints that are not ejected. A
	// straggler is not ejected if the remaining endpoints lack the capacity for the load, because a
	// slow slot is better than a queue. Failing endpoints add no capacity, so they are ejected at
	// any load.
	Utilization float64
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

// Rules for the readmission of an ejected endpoint.
const (
	// requiredTrials is the number of successful trial requests that readmit an endpoint.
	requiredTrials = 3
	// trialFailureLimit is the failure rate above which an endpoint is ejected again. Two failures
	// in three trials, or two failures at the start, always exceed it; a single failure may be
	// chance.
	trialFailureLimit = 0.25
	// trialGap is the shortest time between two trial requests.
	trialGap = 250 * time.Millisecond
	// trialTimeout is how long an ejected endpoint waits for its next trial before it is readmitted
	// without one, as in a service that has no idempotent requests.
	trialTimeout = 5 * time.Second
	// ejectionJitter is the random fraction of an ejection's duration. It keeps entries that
	// ejected an endpoint at the same time from returning to it at the same time.
	ejectionJitter = 0.5
	// maxDoublings keeps the growth within the range of time.Duration.
	maxDoublings = 20
)

var ejectionClears = fmt.Sprintf("%d good trial requests, or %s without a suitable request", requiredTrials, trialTimeout)

// Ejected reports whether the endpoint is ejected and gets no requests except trials.
func Ejected(now time.Duration, e *table.Endpoint) bool {
	return now < e.Health.EjectedUntil
}

// TrialDue reports whether the next idempotent request should go to the ejected endpoint to test
// whether it works again.
func TrialDue(now time.Duration, e *table.Endpoint) bool {
	return Ejected(now, e) && now >= e.Health.TrialAt
}

// TrialSent records that a trial request was sent.
func TrialSent(now time.Duration, e *table.Endpoint) {
	e.Health.TrialAt = now + trialGap
}

// Pause records that the process was suspended for the time gap up to now. It discards the
// measurements, which are stale, and the outcomes of requests sent before the pause, whose latency
// includes the pause: otherwise a late wake-up would eject healthy endpoints for being slow.
func Pause(now, gap time.Duration, p *table.Pool) {
	for i := range p.Endpoints {
		h := &p.Endpoints[i].Health
		resetMeasurements(h)
		h.JudgeFrom = now
		// The pause counts neither as time without failures nor as time for trials.
		h.CalmSince += gap
		if h.EjectedUntil != 0 {
			h.EjectedUntil = max(h.EjectedUntil, now+trialTimeout)
		}
	}
}

// resetMeasurements discards the measurements of an endpoint.
func resetMeasurements(h *table.Health) {
	h.Samples, h.SlowSamples = 0, 0
	h.FailureRate, h.Slowness = 0, 0
}

func stale(now time.Duration, h *table.Health) bool {
	return now-h.SampledAt > staleAfter
}

// eject takes endpoint i out of use. Outcomes of requests already sent no longer count: only its
// trials decide on readmission.
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
	// Slowness starts at the limit, so that the trials alone decide whether it rises or falls.
	h.Slowness = s.limits.SlowFactor * s.medianSlowness
	s.out = append(s.out, Event{Endpoint: i, Kind: Ejection, Why: why, Clears: ejectionClears, Until: h.TrialAt})
}

// ejectionTime returns the duration of an ejection that follows the given number of successive
// ejections.
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
