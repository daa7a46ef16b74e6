package core

import (
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/placement"
)

// A request that may run twice is looked after once it has been sent: an endpoint that
// lost it, or went silent, shows in a look at it, and an idle endpoint elsewhere can
// answer within the latency objective still. It is paid from the same budgets as
// retries.
const (
	// overdueAfter is after how many times the typical work an attempt is looked
	// after, and overdueStep the time between two looks, in the same unit.
	overdueAfter = 1.3
	overdueStep  = 0.5
	// decisionTime is how long before the latest moment a second attempt is decided on:
	// a look and a tick.
	decisionTime = 10 * time.Millisecond
	// maxChecks bounds the looks after one request.
	maxChecks = 5
	// leastLeft is what an attempt that is due has left at least, and longOverdue after
	// how many times what it was expected to take it is taken to need as long again.
	leastLeft   = 0.3
	longOverdue = 2.0
)

// supervisedAttempt is a request whose attempt is looked after at a time.
type supervisedAttempt struct {
	id     RequestID
	at     time.Duration
	checks int
}

// superviseLater notes a request that may get a second attempt.
func (c *Core) superviseLater(now time.Duration, r *request) {
	if !r.mayRunTwice || !r.replayable || r.nested() || r.policy.MaxAttempts < 2 || r.policy.RetryBudget == 0 {
		return
	}
	c.supervised = append(c.supervised, supervisedAttempt{id: r.arrival.ID, at: r.nextCheck(now, overdueAfter)})
}

// nextCheck returns when to look after the attempt: after so many times the typical
// work, and in any case right before a second attempt would be too late.
func (r *request) nextCheck(now time.Duration, works float64) time.Duration {
	next := now + time.Duration(works*float64(r.typicalWork()))
	if last := r.latestInTime() - decisionTime; now < last && last < next {
		return last
	}
	return next
}

// superviseDue looks after the attempts that are due.
func (c *Core) superviseDue(now time.Duration, out *Actions) {
	kept := c.supervised[:0]
	due := c.dueAttempts[:0]
	for _, w := range c.supervised {
		r, ok := c.requests[w.id]
		switch {
		case !ok || r.phase != phaseActive || r.committed != 0 || r.dispatches != 1:
			continue
		case now < w.at:
			kept = append(kept, w)
			continue
		}
		due = append(due, w.id)
		if w.checks++; w.checks < maxChecks {
			w.at = r.nextCheck(now, overdueStep)
			kept = append(kept, w)
		}
	}
	c.supervised, c.dueAttempts = kept, due
	for _, id := range due {
		if r, ok := c.requests[id]; ok {
			c.supervise(now, r, out)
		}
	}
}

// supervise asks the endpoint at work, and others that could take over.
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

// probeRunning asks the endpoint at work on r, together with the first others.
func (c *Core) probeRunning(now time.Duration, r *request, out *Actions) {
	a := &r.attempts[1]
	if r.pool.endpointAt(a.index, a.incarnation) != nil && r.pool.loadProbes.TrySpend(now, r.pool.countLive(), c.fleet.ownShare) {
		c.probeLoad(r, a.index, out)
	}
}

// secondProbeEnd goes on after a look for a second attempt. It is not decided on before the
// endpoint at work has answered, whatever others tell: most attempts that take longer
// than usual end by themselves, and an idle endpoint is no reason to send them twice.
func (c *Core) secondProbeEnd(now time.Duration, r *request, out *Actions) {
	switch {
	case r.probeRound.pending > 0:
	case c.secondSettled(now, r):
		c.decide(now, r, out)
	default:
		c.probeNextBatch(now, r, out)
	}
}

// secondSettled reports whether the looks so far decide on a second attempt: none is
// needed, or an idle endpoint was found.
func (c *Core) secondSettled(now time.Duration, r *request) bool {
	best := c.bestChoice(now, r)
	if best.Index < 0 {
		return !c.overdue(now, r, r.typicalWork())
	}
	return placement.HasEasyRoom(&r.pool.Endpoints[best.Index]) || !c.overdue(now, r, best.After)
}

// decideSecond sends a second attempt if the first looks lost or slow and an idle
// endpoint would answer earlier. One that is at work is left alone: where all are,
// second attempts would take the slots of first ones.
func (c *Core) decideSecond(now time.Duration, r *request, best placement.Choice, out *Actions) {
	if best.Index < 0 || r.phase != phaseActive || r.committed != 0 || r.live() != 1 || r.dispatches != 1 {
		c.endProbeRound(r)
		return
	}
	if !placement.HasEasyRoom(&r.pool.Endpoints[best.Index]) || !c.overdue(now, r, best.After) || !c.dispatchProbed(now, r, best.Index, out) {
		c.endProbeRound(r)
	}
}

// overdue judges the running attempt by what its endpoint says now.
func (c *Core) overdue(now time.Duration, r *request, expected time.Duration) bool {
	a := &r.attempts[1]
	e := r.pool.endpointAt(a.index, a.incarnation)
	if e == nil {
		return true
	}
	elapsed := now - a.sentAt
	told := e.Probed.Seen && e.Probed.At >= r.probeRound.began
	switch {
	case now >= r.latestInTime()-decisionTime && now <= r.latestInTime()+decisionTime:
		return true // the last moment at which a second attempt can be in time
	case !told:
		// Silence counts only where it was asked: the bound on looks may have denied that.
		return slices.Contains(r.probeRound.asked, a.index)
	case e.Probed.Load() == 0:
		return true // it holds no request: this one was lost
	}
	// What the endpoint tells of its pace now says nothing of a request that began at
	// another: it counts what was expected then.
	left := max(a.due-elapsed, time.Duration(leastLeft*float64(a.due)))
	if elapsed > time.Duration(longOverdue*float64(a.due)) {
		left = elapsed
	}
	return left > expected
}
