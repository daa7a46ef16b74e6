package core

import (
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
)

// maxBackoffs bounds the number of backoffs of removed endpoints.
const maxBackoffs = 4096

// noteRetryAfter records for how long an endpoint that refused a request or a probe wants no
// requests from this entry, 0 if it did not say so.
func (c *Core) noteRetryAfter(now time.Duration, e *table.Endpoint, wait time.Duration) {
	if wait <= 0 {
		return
	}
	c.counters.Backoffs++
	quota.BeginBackoff(now, e, wait)
	if e.State != table.EndpointGone {
		return
	}
	// The answer to an earlier attempt may arrive after the endpoint was removed and added again.
	if ref, ok := c.fleet.rows[e.Name]; !ok {
		c.keepBackoff(now, e)
	} else if current := ref.pool.endpointAt(ref.index, e.Incarnation); current != nil {
		quota.BeginBackoff(now, current, wait)
	}
}

// keepBackoff keeps the backoff of an endpoint that is removed. The list may name the same
// incarnation again, for example after its registration lapsed while the store was down.
func (c *Core) keepBackoff(now time.Duration, e *table.Endpoint) {
	if quota.InBackoff(now, e) && len(c.backoffs) < maxBackoffs {
		c.backoffs[endpointID{e.Name, e.Incarnation}] = e.Backoff
	}
}

// takeBackoff gives an endpoint that was added the backoff that was kept for it.
func (c *Core) takeBackoff(e *table.Endpoint) {
	id := endpointID{e.Name, e.Incarnation}
	e.Backoff = c.backoffs[id]
	delete(c.backoffs, id)
}

// forgetBackoffs drops the kept backoffs that have ended.
func (c *Core) forgetBackoffs(now time.Duration) {
	for id, b := range c.backoffs {
		if now >= b.Until {
			delete(c.backoffs, id)
		}
	}
}

// backoffEnd returns when the first endpoint of the pool ends its backoff, 0 if one that takes work
// is in none now. ok is false if no endpoint takes work.
func (p *pool) backoffEnd(now time.Duration) (end time.Duration, ok bool) {
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		switch {
		case !e.TakesWork():
			continue
		case !quota.InBackoff(now, e):
			return 0, true
		case !ok || e.Backoff.Until < end:
			end, ok = e.Backoff.Until, true
		}
	}
	return end, ok
}

// backingOff counts the endpoints that want no requests from this entry now.
func (p *pool) backingOff(now time.Duration) (n int) {
	for i := range p.Endpoints {
		if e := &p.Endpoints[i]; e.TakesWork() && quota.InBackoff(now, e) {
			n++
		}
	}
	return n
}

// unservable returns why no endpoint of its pool can take r while r waits, or ReasonNone. While all
// endpoints back off, a request waits only if it can still be in time after the end of a backoff, and
// no more requests wait than endpoints return until then.
func (c *Core) unservable(now time.Duration, r *request) Reason {
	switch end, ok := r.pool.backoffEnd(now); {
	case !ok:
		return ReasonNoEndpoint
	case end > now && end > r.latestUsefulStart():
		return ReasonBackoff
	case end > now && r.phase != phaseQueued && r.pool.queue.Len() >= r.pool.backoffsEndedBy(r.latestUsefulStart()):
		return ReasonBackoff
	}
	return ReasonNone
}

// backoffsEndedBy counts the endpoints whose backoff has ended at a time. Each of them gets one
// request at first, and more only after it has accepted that one.
func (p *pool) backoffsEndedBy(at time.Duration) (n int) {
	for i := range p.Endpoints {
		if e := &p.Endpoints[i]; e.TakesWork() && e.Backoff.Until <= at {
			n++
		}
	}
	return n
}

// latestUsefulStart is the latest time at which an endpoint can begin r so that its answer is in
// time, or comes within the usual wait of a request without a latency objective.
func (r *request) latestUsefulStart() time.Duration {
	if r.policy.Objective == 0 {
		return r.arrived + r.longestWait()
	}
	return r.latestInTime()
}

// refuseUnservable refuses the requests that wait for an endpoint of the pool in vain since its
// endpoints began to back off.
func (c *Core) refuseUnservable(now time.Duration, p *pool, out *Actions) {
	if p.queue.Len() == 0 {
		return
	}
	if end, ok := p.backoffEnd(now); !ok || end == 0 {
		return
	}
	var refused []RequestID
	for id, r := range c.requests {
		if r.pool == p && r.phase == phaseQueued && c.unservable(now, r) != ReasonNone {
			refused = append(refused, id)
		}
	}
	slices.Sort(refused)
	for _, id := range refused {
		if r, ok := c.requests[id]; ok {
			c.fail(now, r, ReasonBackoff, out)
		}
	}
}

// backoffDelay returns when the caller of a request that was refused because of backoffs should try
// again: after the first of them has ended, at a random time so that callers don't return together.
func (c *Core) backoffDelay(now time.Duration, r *request) time.Duration {
	end, _ := r.pool.backoffEnd(now)
	return min(max(end-now, 0), maxRetryAfter) + c.retryDelay()
}
