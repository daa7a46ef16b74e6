package core

import (
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/placement"
	"github.com/tealhall/tealhall/internal/core/quota"
)

// A request that may run twice is supervised once it has been sent: a load probe shows if its
// endpoint lost it or went silent, and an idle endpoint elsewhere can still answer within the
// latency objective. Supervision uses the same budgets as retries.
const (
	// firstCheckAfter is when an attempt is first checked, and checkInterval the time between two
	// checks, both in multiples of the typical work.
	firstCheckAfter = 1.3
	checkInterval   = 0.5
	// decisionLead is how long before the latest useful start of a second attempt the attempt is
	// decided on: the time of a load probe and a tick.
	decisionLead = 10 * time.Millisecond
	// maxChecks bounds the checks of one request.
	maxChecks = 5
	// minRemaining is the least time that a running attempt is assumed to need still, as a share of
	// its expected duration. After longOverdueFactor times that duration it is assumed to need as
	// long again as it has taken.
	minRemaining      = 0.3
	longOverdueFactor = 2.0
)

// supervisedAttempt is a request whose running attempt is next checked at the time at; checks
// counts the checks so far.
type supervisedAttempt struct {
	id     RequestID
	at     time.Duration
	checks int
}

// superviseLater schedules supervision for a request that may get a second attempt.
func (c *Core) superviseLater(now time.Duration, r *request) {
	if !r.mayRunTwice || !r.replayable || r.nested() || r.policy.MaxAttempts < 2 || r.policy.RetryBudget == 0 {
		return
	}
	c.supervised = append(c.supervised, supervisedAttempt{id: r.arrival.ID, at: r.nextCheck(now, firstCheckAfter)})
}

// nextCheck returns when to check the attempt: after factor times the typical work, or right before
// a second attempt would be too late if that comes first.
func (r *request) nextCheck(now time.Duration, factor float64) time.Duration {
	next := now + time.Duration(factor*float64(r.typicalWork()))
	if last := r.latestInTime() - decisionLead; now < last && last < next {
		return last
	}
	return next
}

// superviseDue checks the attempts that are due.
func (c *Core) superviseDue(now time.Duration, out *Actions) {
	kept := c.supervised[:0]
	due := c.dueAttempts[:0]
	for _, s := range c.supervised {
		r, ok := c.requests[s.id]
		switch {
		case !ok || r.phase != phaseActive || r.committed != 0 || r.dispatches != 1:
			continue
		case now < s.at:
			kept = append(kept, s)
			continue
		}
		due = append(due, s.id)
		if s.checks++; s.checks < maxChecks {
			s.at = r.nextCheck(now, checkInterval)
			kept = append(kept, s)
		}
	}
	c.supervised, c.dueAttempts = kept, due
	for _, id := range due {
		if r, ok := c.requests[id]; ok {
			c.supervise(now, r, out)
		}
	}
}

// supervise probes the endpoint that runs r and other endpoints that could take over.
func (c *Core) supervise(now time.Duration, r *request, out *Actions) {
	if r.probeRound.active || r.live() != 1 || !c.maySpendRepeat(now, r) || c.isSuspect(now, r) {
		return
	}
	a := &r.attempts[1]
	if r.pool.endpointAt(a.index, a.incarnation) == nil {
		return
	}
	c.startLoadProbes(now, r, true, out)
}

// probeRunning probes the endpoint that runs r, unless that is backing off. The first batch of load probes to other endpoints
// follows at once.
func (c *Core) probeRunning(now time.Duration, r *request, out *Actions) {
	a := &r.attempts[1]
	e := r.pool.endpointAt(a.index, a.incarnation)
	if e != nil && !quota.InBackoff(now, e) && r.pool.loadProbes.TrySpend(now, r.pool.countLive(), c.fleet.ownShare) {
		c.probeLoad(r, a.index, out)
	}
}

// secondAttemptProbeEnd continues after a load probe for a second attempt. It decides only after
// all probes of the batch have ended, including that of the endpoint that runs the request: most
// attempts that take longer than usual end by themselves, and an idle endpoint is no reason to send
// a request twice.
func (c *Core) secondAttemptProbeEnd(now time.Duration, r *request, out *Actions) {
	switch {
	case r.probeRound.pending > 0:
	case c.secondAttemptDecided(now, r):
		c.decidePlacement(now, r, out)
	default:
		c.probeNextBatch(now, r, out)
	}
}

// secondAttemptDecided reports whether the load probes so far decide on a second attempt: none is
// needed, or an idle endpoint was found.
func (c *Core) secondAttemptDecided(now time.Duration, r *request) bool {
	best := c.bestChoice(now, r)
	if best.Index < 0 {
		return !c.overdue(now, r, r.typicalWork())
	}
	return placement.HasHeadroom(&r.pool.Endpoints[best.Index]) || !c.overdue(now, r, best.Expected)
}

// decideSecondAttempt sends a second attempt if the first looks lost or slow and an idle endpoint
// would answer earlier. Endpoints that have work get no second attempt: if all have work, second
// attempts would take slots from first attempts.
func (c *Core) decideSecondAttempt(now time.Duration, r *request, best placement.Choice, out *Actions) {
	if best.Index < 0 || r.phase != phaseActive || r.committed != 0 || r.live() != 1 || r.dispatches != 1 {
		c.endProbeRound(r)
		return
	}
	if !placement.HasHeadroom(&r.pool.Endpoints[best.Index]) || !c.overdue(now, r, best.Expected) || !c.dispatchProbed(now, r, best.Index, out) {
		c.endProbeRound(r)
	}
}

// overdue reports whether the running attempt would end later than a second attempt that takes the
// expected time, judged by the latest report of the endpoint that runs it.
func (c *Core) overdue(now time.Duration, r *request, expected time.Duration) bool {
	a := &r.attempts[1]
	e := r.pool.endpointAt(a.index, a.incarnation)
	if e == nil {
		return true
	}
	elapsed := now - a.sentAt
	loadKnown := e.Probed.Seen && e.Probed.At >= r.probeRound.began
	switch {
	case now >= r.latestInTime()-decisionLead && now <= r.latestInTime()+decisionLead:
		return true // the last moment at which a second attempt can still be in time
	case !loadKnown:
		// Silence counts only if the endpoint was probed: the bound on load probes may have denied
		// the probe.
		return slices.Contains(r.probeRound.probed, a.index)
	case e.Probed.Load() == 0:
		return true // the endpoint has no request, so it lost this one
	}
	// The pace that the endpoint reports now does not apply to a request that began at another
	// pace: the duration expected at the start counts.
	remaining := max(a.expectedDuration-elapsed, time.Duration(minRemaining*float64(a.expectedDuration)))
	if elapsed > time.Duration(longOverdueFactor*float64(a.expectedDuration)) {
		remaining = elapsed
	}
	return remaining > expected
}
