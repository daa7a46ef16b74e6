package core

import "time"

// loadProbeEarnFactor is how many times its looks a request earns: those for the first
// choice, and as many for a second look when there was no room, or after it.
const loadProbeEarnFactor = 2

// The load that this answers: more requests than endpoints can answer within the
// latency objective, for seconds. Whoever can still be answered in time goes first;
// one that can't any more waits behind all of those for a while, since a late answer
// is worth something, and is then told when to come back. Without the two ranks the
// late ones, which are the oldest, take the slots, and everybody is late. Among those who can
// be in time the newest goes first: it has time left if it takes longer than most.
const (
	// lateWaitShare is how long a request that is late by now waits for a slot that nobody
	// else wants, as a share of its latency objective.
	lateWaitShare = 0.5
	// lateMaxShare bounds that wait as a share of the time that the request has left.
	lateMaxShare = 0.2
	// inTimeRank is what lifts those who can be in time above all others.
	inTimeRank = 100
	// plainWait is the share of its time for which a request without an objective
	// waits.
	plainWait = 0.3
)

// queueUntil returns until when a request waits in the entry for an endpoint with room,
// and with which rank. A wait that ended as late as the request's deadline would keep
// its caller from trying elsewhere.
func (c *Core) queueUntil(now time.Duration, r *request) (until time.Duration, rank int) {
	r.queuedOnce = true
	if r.policy.Objective == 0 {
		return max(r.arrived+time.Duration(plainWait*float64(r.deadline-r.arrived)), now+time.Millisecond), r.policy.Priority
	}
	if until = r.latestInTime(); now < until {
		return until, inTimeRank + r.policy.Priority
	}
	if !r.late {
		r.late = true
		wait := time.Duration(lateWaitShare * float64(r.policy.Objective))
		r.lateUntil = now + min(wait, time.Duration(lateMaxShare*float64(r.deadline-now)))
	}
	return max(r.lateUntil, now+time.Millisecond), r.policy.Priority
}

// latestInTime is the latest start at which r would commonly be answered within its
// latency objective, counted from its caller's first try.
func (r *request) latestInTime() time.Duration {
	placed := r.placementRequest()
	return placed.LatestInTime()
}

// typicalWork is how long a request of the service commonly takes at an endpoint
// that has nothing else to do. Latencies at busy ones must not count: under load they
// grow, and everything would be taken to be late already.
func (r *request) typicalWork() time.Duration {
	if t := r.service.work.Typical(); t > 0 {
		return t
	}
	if r.policy.Objective > 0 {
		return r.policy.Objective / 3
	}
	return time.Duration(r.pool.serviceNanos)
}

// slotTime is what the requests that a full endpoint of the pool holds commonly take there,
// those of all its services, in which long ones are met as often as they are long.
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
	return time.Duration(p.learned.Sharing() * sum / slots)
}

// estimateAge estimates how long ago the caller first tried: most callers of a service
// begin with the same patience, and a later try has less of it left. The patience is
// a running median, since a few callers wait for far longer than the others.
func (sv *service) estimateAge(left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	sv.callerTimeout.Observe(left)
	return max(0, sv.callerTimeout.Typical()-left)
}

// Retry-After of a refusal: a random time within bounds, so that those who were refused
// together don't return together. After a refusal under load it is time for the peak to
// ebb; where endpoints turned the request away although they have room, there is no queue
// to wait for, and it is only time for others to come between.
const (
	retryLeast      = 150 * time.Millisecond
	retryMost       = 500 * time.Millisecond
	shortRetryLeast = 5 * time.Millisecond
	shortRetryMost  = 40 * time.Millisecond
)

// retryDelay is when a caller that found no room should try again.
func (c *Core) retryDelay() time.Duration { return c.randomBetween(retryLeast, retryMost) }

// retryDelayAfter is when the caller of a refused request should try again.
func (c *Core) retryDelayAfter(now time.Duration, r *request, reason Reason) time.Duration {
	if view := c.placementView(now, r); reason == ReasonEndpointsRefuse && !view.Crowded() {
		return c.randomBetween(shortRetryLeast, shortRetryMost)
	}
	return c.retryDelay()
}

func (c *Core) randomBetween(least, most time.Duration) time.Duration {
	return least + time.Duration(c.rng.Int64N(int64(most-least)))
}

// noteSize takes in the size of a request and its answer in bytes.
func (sv *service) noteSize(bytes int64) {
	kilobytes := float64(bytes) / 1024
	if sv.kilobytes == 0 {
		sv.kilobytes = kilobytes
		return
	}
	sv.kilobytes += sampleWeight * (kilobytes - sv.kilobytes)
}
