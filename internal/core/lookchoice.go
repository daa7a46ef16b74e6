package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// looked is an endpoint with a fresh look as a choice for a request.
type looked struct {
	// index is the endpoint's, -1 for none.
	index int
	// after is when it is expected to answer, from now; cost is what the choice costs,
	// in the same unit.
	after, cost time.Duration
	// worth says that the request should go there rather than wait.
	worth bool
}

// bestLooked returns the best choice among the endpoints with a fresh look and room.
func (c *Core) bestLooked(now time.Duration, r *request) looked {
	p := r.pool
	best := looked{index: -1}
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if e.State != table.EndpointLive || r.tried.Has(i) || !e.Look.Seen || e.Look.At < r.look.began-lookFresh || !e.MayQueue() ||
			r.look.ownOnly && e.Domain != c.cfg.Self.Domain {
			continue
		}
		choice := looked{index: i, after: c.expected(now, r, e)}
		choice.cost = choice.after + c.wayCost(r, e)
		choice.worth = c.worthwhile(now, r, e, choice.after)
		if choice.before(best) {
			best = choice
		}
	}
	return best
}

// before reports whether l is a better choice than other.
func (l looked) before(other looked) bool {
	switch {
	case other.index < 0:
		return true
	case l.worth != other.worth:
		return l.worth
	}
	return l.cost < other.cost
}

// wayCost is what the bytes of a request and its answer cost on the way into another
// failure domain, where an endpoint of the own one could be in time as well.
func (c *Core) wayCost(r *request, e *table.Endpoint) time.Duration {
	if e.Domain == c.cfg.Self.Domain {
		return 0
	}
	return time.Duration(r.service.kilobytes * float64(perKilobyte))
}

// crowded reports whether most endpoints of which something is known had no room when
// last heard of. What is sent to them blindly queues up there, and all later requests,
// which could have waited here for the first free slot, find them full.
func (c *Core) crowded(now time.Duration, p *pool) bool {
	known, full := 0, 0
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if e.State != table.EndpointLive || !e.Look.Seen || now-e.Look.At > fullLasts {
			continue
		}
		known++
		if !e.HasRoom() {
			full++
		}
	}
	return known > 0 && full*2 >= known
}

// blindChoice returns an endpoint when none told its load: the budget is spent, or
// nobody answers. The one with the fewest own requests is the best guess.
func (c *Core) blindChoice(now time.Duration, r *request) int {
	p := r.pool
	best, bestRank := -1, 0.0
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		full := e.Look.Seen && now-e.Look.At < fullLasts && !e.HasRoom()
		if e.State != table.EndpointLive || r.tried.Has(i) || e.Outstanding >= max(1, e.Slots) || full || seemsSlow(now, e) {
			continue
		}
		if rank := c.askRank(now, r, e); best < 0 || rank < bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

// seemsSlow reports whether an endpoint's VM stays slow, or was slow a moment ago.
func seemsSlow(now time.Duration, e *table.Endpoint) bool {
	return e.Paces.Lasting(now) >= slowPace || e.Look.Seen && now-e.Look.At < lookRemembered && pace(&e.Look) >= slowPace
}

const (
	// littleSharing is up to where nearly full endpoints work about as fast as others.
	littleSharing = 1.2
	// perKilobyte is the later answer that a kilobyte between failure domains is worth.
	// An upload of 60 KB goes to another domain only when it would be late in its own.
	perKilobyte = 2 * time.Millisecond
)

// isIdle reports whether an endpoint told that it has nothing to do, at the usual pace.
func isIdle(e *table.Endpoint) bool { return e.Look.Load() == 0 && pace(&e.Look) <= 1 }

// worthwhile reports whether r should go to an endpoint that would answer after the
// expected time. A request that can be in time elsewhere waits for that; one that is
// late by now takes no slot beside another request, which would be late as well then,
// nor one on a slow VM, which it would hold for as long as several that are in time.
// None goes where it would not be answered at all.
func (c *Core) worthwhile(now time.Duration, r *request, e *table.Endpoint, expected time.Duration) bool {
	switch {
	case now+expected >= r.deadline:
		return false
	case r.policy.Objective == 0:
		return true
	case r.late:
		return e.HasRoom() && (!fills(e.Look.Load(), max(1, e.Look.Slots)) || r.pool.sharing < littleSharing) &&
			pace(&e.Look) < slowPace*e.Paces.Lasting(now)
	}
	return now+expected <= r.arrived-r.age+r.policy.Objective
}

// avoidedCost is how many times its work a request may take elsewhere before an
// avoided endpoint is tried.
const avoidedCost = 10
