package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// The load that this answers: uploads of tens of kilobytes arrive in a failure domain
// with one or two endpoints for them. Whenever these are busy, or neighbours slow their
// VMs down for a moment, the upload would go into another domain at once, although its
// objective leaves time to wait for an endpoint nearby. On Sabra's quiet day such uploads
// were a quarter of the bytes between domains (price 0.0239 with them, 0.0172 without).

// ownDomainLeast is the least wait for an endpoint of the own failure domain that is worth
// its looks: a request with its answer of ten kilobytes.
const ownDomainLeast = 20 * time.Millisecond

// laterLook is a request that waits for its next round of looks beside the queue.
type laterLook struct {
	id RequestID
	at time.Duration
}

// prefersOwnDomain reports whether r should ask endpoints of the own failure domain only: its
// bytes on the way into another one are worth the wait, and it can be in time after it.
func (c *Core) prefersOwnDomain(now time.Duration, r *request) bool {
	patience := time.Duration(r.service.kilobytes * float64(perKilobyte))
	if patience < ownDomainLeast || r.late || r.queuedOnce || r.policy.Objective == 0 {
		return false
	}
	latest := min(r.arrived+patience, r.latestInTime()-r.typicalWork()/2)
	return now+lookGap <= latest && c.anyNearAndWell(now, r.pool)
}

func (c *Core) anyNearAndWell(now time.Duration, p *pool) bool {
	for i := range p.Endpoints {
		if c.nearAndWell(now, &p.Endpoints[i]) {
			return true
		}
	}
	return false
}

// nearAndWell reports whether an endpoint of the own failure domain is worth waiting for.
func (c *Core) nearAndWell(now time.Duration, e *table.Endpoint) bool {
	return e.Domain == c.cfg.Self.Domain && e.State == table.EndpointLive && !e.Missing && now >= e.AvoidUntil &&
		e.DoubtAfter(now) < slightDoubt && e.Paces.Lasting(now) < slowPace
}

// lookLater begins the next round of looks for r after a while. It does not wait in the
// queue, where it would keep others back that need not wait.
func (c *Core) lookLater(now time.Duration, r *request) {
	c.later = append(c.later, laterLook{id: r.arrival.ID, at: now + lookGap})
}

// looksDue begins the rounds of looks that are due.
func (c *Core) looksDue(now time.Duration, out *Actions) {
	kept := c.later[:0]
	due := c.laterDue[:0]
	for _, l := range c.later {
		if now < l.at {
			kept = append(kept, l)
		} else {
			due = append(due, l.id)
		}
	}
	c.later, c.laterDue = kept, due
	for _, id := range due {
		if r, ok := c.requests[id]; ok && r.phase == phaseLooking && !r.look.active {
			c.startLooks(now, r, false, out)
		}
	}
}
