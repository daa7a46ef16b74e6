package core

import "time"

// A request that may run twice is looked after once it has been sent: an endpoint
// whose VM has turned slow, or that lost the request, shows in a look at it, and
// an idle endpoint elsewhere can answer within the latency objective still. It is
// paid from the same budgets as retries.
const (
	// overdueAfter is after how many times the typical work an attempt is looked
	// after, and overdueStep the time between two looks, in the same unit.
	overdueAfter = 1.3
	overdueStep  = 0.5
	// decisionTime is how long before the latest moment a second attempt is decided on:
	// a look and a tick.
	decisionTime = 10 * time.Millisecond
	// watchChecks bounds the looks after one request.
	watchChecks = 5
	// slowPace is from when on a VM counts as slow.
	slowPace = 2.0
)

// watchedAttempt is a request whose attempt is looked after at a time.
type watchedAttempt struct {
	id     RequestID
	at     time.Duration
	checks int
}

// watchAttempt notes a request that may get a second attempt.
func (c *Core) watchAttempt(now time.Duration, r *request) {
	if !r.harmless || !r.replayable || r.nested() || r.policy.MaxAttempts < 2 || r.policy.RetryBudget == 0 {
		return
	}
	c.watched = append(c.watched, watchedAttempt{id: r.arrival.ID, at: r.nextCheck(now, overdueAfter)})
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

// lookAfterAttempts looks after the attempts that are due.
func (c *Core) lookAfterAttempts(now time.Duration, out *Actions) {
	kept := c.watched[:0]
	due := c.dueAttempts[:0]
	for _, w := range c.watched {
		r, ok := c.requests[w.id]
		switch {
		case !ok || r.phase != phaseActive || r.committed != 0 || r.dispatches != 1:
			continue
		case now < w.at:
			kept = append(kept, w)
			continue
		}
		due = append(due, w.id)
		if w.checks++; w.checks < watchChecks {
			w.at = r.nextCheck(now, overdueStep)
			kept = append(kept, w)
		}
	}
	c.watched, c.dueAttempts = kept, due
	for _, id := range due {
		if r, ok := c.requests[id]; ok {
			c.lookAfter(now, r, out)
		}
	}
}

// lookAfter asks the endpoint at work, and others that could take over.
func (c *Core) lookAfter(now time.Duration, r *request, out *Actions) {
	if r.look.active || r.live() != 1 || !c.mayPayRepeat(now, r) {
		return
	}
	a := &r.attempts[1]
	e := r.pool.endpointAt(a.index, a.incarnation)
	if e == nil {
		return
	}
	if r.pool.looks.TrySpend(now, len(r.pool.Endpoints), c.fleet.part) {
		c.counters.Looks++
		out.Probes = append(out.Probes, Probe{Pool: r.pool.Name, Endpoint: e.Name, Incarnation: e.Incarnation, Address: e.Address,
			Path: r.pool.probePath, Wait: 4 * lookWait})
	}
	c.startLooks(now, r, true, out)
}

// decideSecond sends a second attempt if the first looks lost or slow and an idle
// endpoint would answer earlier. One that is at work is left alone: where all are,
// second attempts would take the slots of first ones.
func (c *Core) decideSecond(now time.Duration, r *request, best looked, out *Actions) {
	if best.index < 0 || r.phase != phaseActive || r.committed != 0 || r.live() != 1 || r.dispatches != 1 {
		c.endLook(r)
		return
	}
	e := &r.pool.Endpoints[best.index]
	if e.Look.Load() > 0 || pace(&e.Look) > 1 || !c.overdue(now, r, best.after) || !c.dispatchLooked(now, r, best.index, out) {
		c.endLook(r)
	}
}

// overdue judges the running attempt by what its endpoint says now.
func (c *Core) overdue(now time.Duration, r *request, expected time.Duration) bool {
	a := &r.attempts[1]
	e := r.pool.endpointAt(a.index, a.incarnation)
	if e == nil {
		return true
	}
	elapsed, work := now-a.at, r.typicalWork()
	told := e.Look.Seen && e.Look.At >= r.look.began
	switch {
	case now >= r.latestInTime()-decisionTime && now <= r.latestInTime()+decisionTime:
		return true // the last moment at which a second attempt can be in time
	case !told:
		return true // it did not even answer a look
	case e.Look.Load() == 0:
		return true // it holds no request: this one was lost
	case pace(&e.Look) < slowPace:
		return false
	}
	// How much work is left is not known; at the slow pace the typical request
	// would have come this far only.
	left := float64(work) - float64(elapsed)/pace(&e.Look)
	return paced(max(left, 0.3*float64(work)), pace(&e.Look)) > float64(expected)
}
