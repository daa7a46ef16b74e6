package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

const (
	// holdShare is the part of its latency objective that a request may wait in the
	// entry for an endpoint with room.
	holdShare = 0.6
	// holdLeast is the shortest such wait, and holdMost the longest as a share of
	// the request's deadline.
	holdLeast = 60 * time.Millisecond
	holdMost  = 0.3
)

// holdUntil is until when a request waits for room. Who can't be sent by then is
// told at once when to come back: the wait would end as late as the refusal, and a
// request that is held until its deadline keeps its caller from trying elsewhere.
func (c *Core) holdUntil(now time.Duration, r *request) time.Duration {
	hold := time.Duration(holdShare * float64(r.policy.Objective))
	hold = max(hold, holdLeast)
	hold = min(hold, time.Duration(holdMost*float64(r.deadline-r.arrived)))
	r.queuedOnce = true
	return max(r.arrived+hold, now+time.Millisecond)
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
func (p *pool) noteSize(bytes int64) {
	kilobytes := float64(bytes) / 1024
	if p.kilobytes == 0 {
		p.kilobytes = kilobytes
		return
	}
	p.kilobytes += serviceWeight * (kilobytes - p.kilobytes)
}
