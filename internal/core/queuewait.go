package core

import "time"

// loadProbeEarnFactor is how many rounds of load probes a request adds to the budget: one for the
// first choice of an endpoint, the other for a second round when there was no room, or for
// supervision.
const loadProbeEarnFactor = 2

// Queue waits handle overload: for seconds, more requests arrive than endpoints can answer within
// the latency objective. Requests that can still be answered in time go first, the newest of them
// ahead, because it has time left if it takes longer than usual. Late requests wait behind all of
// these for a while, since a late answer still has some value, and are then refused with a
// Retry-After. Without the two ranks, the late requests, which are the oldest, would use the slots
// and make every request late.
const (
	// lateWaitShare is how long a late request waits for a slot that no other request needs, as a
	// share of its latency objective.
	lateWaitShare = 0.5
	// lateDeadlineShare bounds that wait as a share of the time left until the request's deadline.
	lateDeadlineShare = 0.2
	// inTimeRank is added to the priority of requests that can be in time, which puts them before
	// all late ones.
	inTimeRank = 100
	// noObjectiveWaitShare is how long a request without a latency objective waits, as a share of
	// the time from its arrival to its deadline.
	noObjectiveWaitShare = 0.3
)

// queueUntil returns until when a request waits in the entry for an endpoint with room, and with
// which rank. The wait ends before the request's deadline, so that its caller can still try another
// entry.
func (c *Core) queueUntil(now time.Duration, r *request) (until time.Duration, rank int) {
	r.queuedOnce = true
	if r.policy.Objective == 0 {
		return max(r.arrived+r.longestWait(), now+time.Millisecond), r.policy.Priority
	}
	if until = r.latestInTime(); now < until {
		return until, inTimeRank + r.policy.Priority
	}
	if !r.late {
		r.late = true
		wait := time.Duration(lateWaitShare * float64(r.policy.Objective))
		r.lateUntil = now + min(wait, time.Duration(lateDeadlineShare*float64(r.deadline-now)))
	}
	return max(r.lateUntil, now+time.Millisecond), r.policy.Priority
}

// longestWait is how long a request without a latency objective waits.
func (r *request) longestWait() time.Duration {
	return time.Duration(noObjectiveWaitShare * float64(r.deadline-r.arrived))
}

// latestInTime is the latest start at which r is typically answered within its latency objective,
// counted from the caller's first try. An objective that is longer than the caller's time counts as
// none: r would wait until its caller gives up.
func (r *request) latestInTime() time.Duration {
	placed := r.placementRequest()
	latest := placed.LatestInTime()
	if placed.FirstTry+placed.Objective > r.deadline {
		latest = min(latest, r.arrived+r.longestWait())
	}
	return latest
}

// isLate reports whether r can no longer be in time. A request that came back after a refusal may be
// late when it arrives, before it has waited here.
func (r *request) isLate(now time.Duration) bool {
	return r.late || r.policy.Objective > 0 && now > r.latestInTime()
}

// typicalWork is how long a request of the service typically takes at an endpoint without other
// work. Latencies at busy endpoints are left out: they grow under load, and all requests would
// count as late.
func (r *request) typicalWork() time.Duration {
	if t := r.service.work.Typical(); t > 0 {
		return t
	}
	if r.policy.Objective > 0 {
		return r.policy.Objective / 3
	}
	return time.Duration(r.pool.serviceNanos)
}

// slotTime is how long a request typically occupies a slot of a full endpoint. It is averaged over
// the services of the pool by the slots that each uses, since longer requests use slots for a
// larger part of the time.
func (p *pool) slotTime(now time.Duration) time.Duration {
	sum, slots := 0.0, 0.0
	for _, sv := range p.services {
		busy := sv.demand.Slots(now)
		sum += busy * float64(sv.work.Typical())
		slots += busy
	}
	if slots <= 0 || sum <= 0 {
		return time.Duration(p.serviceNanos)
	}
	return time.Duration(p.placementState.Slowdown() * sum / slots)
}

// estimateAge estimates how long ago the caller first tried: most callers of a service start with
// the same timeout, and a later try has less of it left. The typical timeout is a running median,
// since a few callers wait far longer than the others.
func (sv *service) estimateAge(left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	sv.callerTimeout.Observe(left)
	return max(0, sv.callerTimeout.Typical()-left)
}

// The Retry-After of a refusal is random within these bounds, so that callers that were refused
// together do not return together. After a refusal under load, the bounds give the peak time to
// pass. If endpoints refused the request although they have room, there is no queue to wait for,
// and the shorter bounds apply, which only let some other requests go first.
const (
	minRetryDelay      = 150 * time.Millisecond
	maxRetryDelay      = 500 * time.Millisecond
	minShortRetryDelay = 5 * time.Millisecond
	maxShortRetryDelay = 40 * time.Millisecond
)

// retryDelay returns when a caller whose request found no room should try again.
func (c *Core) retryDelay() time.Duration { return c.randomBetween(minRetryDelay, maxRetryDelay) }

// retryDelayAfter returns when the caller of a refused request should try again.
func (c *Core) retryDelayAfter(now time.Duration, r *request, reason Reason) time.Duration {
	if view := c.placementView(now, r); reason == ReasonEndpointsRefuse && !view.MostlyFull() {
		return c.randomBetween(minShortRetryDelay, maxShortRetryDelay)
	}
	return c.retryDelay()
}

func (c *Core) randomBetween(least, most time.Duration) time.Duration {
	return least + time.Duration(c.rng.Int64N(int64(most-least)))
}

// noteSize adds the size of a request and its answer, in bytes, to the service's smoothed size.
func (sv *service) noteSize(bytes int64) {
	kilobytes := float64(bytes) / 1024
	if sv.kilobytes == 0 {
		sv.kilobytes = kilobytes
		return
	}
	sv.kilobytes += sampleWeight * (kilobytes - sv.kilobytes)
}
