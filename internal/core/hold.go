package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// looksEarned is how many times its looks a request earns: those for the first
// choice, and as many for a second look when there was no room, or after it.
const looksEarned = 2

// The load that this answers: more requests than endpoints can answer within the
// latency objective, for seconds. Whoever can still be answered in time goes first;
// one that can't any more waits behind all of those for a while, since a late answer
// is worth something, and is then told when to come back. Without the two ranks the
// late ones, which are the oldest, take the slots, and everybody is late.
const (
	// lateWait is how long a request that is late by now waits for a slot that nobody
	// else wants, as a share of its latency objective.
	lateWait = 0.5
	// lateMost bounds that wait as a share of the time that the request has left.
	lateMost = 0.2
	// inTimeRank is what lifts those who can be in time above all others.
	inTimeRank = 100
	// plainHold is the share of its time for which a request without an objective
	// waits.
	plainHold = 0.3
)

// hold returns until when a request waits in the entry for an endpoint with room,
// and with which rank. A wait that ended as late as the request's deadline would keep
// its caller from trying elsewhere.
func (c *Core) hold(now time.Duration, r *request) (until time.Duration, rank int) {
	r.queuedOnce = true
	if r.policy.Objective == 0 {
		return max(r.arrived+time.Duration(plainHold*float64(r.deadline-r.arrived)), now+time.Millisecond), r.policy.Priority
	}
	if until = r.latestInTime(); now < until {
		return until, inTimeRank + r.policy.Priority
	}
	if !r.late {
		r.late = true
		wait := time.Duration(lateWait * float64(r.policy.Objective))
		r.lateUntil = now + min(wait, time.Duration(lateMost*float64(r.deadline-now)))
	}
	return max(r.lateUntil, now+time.Millisecond), r.policy.Priority
}

// latestInTime is the latest start at which r would commonly be answered within its
// latency objective, counted from its caller's first try.
func (r *request) latestInTime() time.Duration {
	return r.arrived - r.age + r.policy.Objective - r.typicalWork()
}

// ageOf estimates how long ago the caller first tried: most callers of a service
// begin with the same patience, and a later try has less of it left. The patience is
// a running median, since a few callers wait for far longer than the others.
func (sv *service) ageOf(left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	sv.patience.observe(left)
	return max(0, sv.patience.typical()-left)
}

// Retry-After of a refusal under load: a random time within these bounds, so that
// those who were refused together don't return together.
const (
	returnLeast = 150 * time.Millisecond
	returnMost  = 500 * time.Millisecond
)

// comeBack is when a caller that found no room should try again.
func (c *Core) comeBack() time.Duration {
	return returnLeast + time.Duration(c.rng.Int64N(int64(returnMost-returnLeast)))
}

// The doubt about an endpoint: each attempt without an answer of use raises it by
// doubtStep of what is missing to 1, each good answer lowers it.
const (
	doubtStep = 0.35
	trustStep = 0.25
)

// noteOutcome takes in how an attempt at an endpoint ended.
func noteOutcome(now time.Duration, e *table.Endpoint, failed bool) {
	doubt := e.DoubtAfter(now)
	if failed {
		doubt += doubtStep * (1 - doubt)
	} else {
		doubt -= trustStep * doubt
	}
	e.Doubt, e.DoubtAt = doubt, now
}

// noteSize takes in the size of a request and its answer in bytes.
func (sv *service) noteSize(bytes int64) {
	kilobytes := float64(bytes) / 1024
	if sv.kilobytes == 0 {
		sv.kilobytes = kilobytes
		return
	}
	sv.kilobytes += serviceWeight * (kilobytes - sv.kilobytes)
}
