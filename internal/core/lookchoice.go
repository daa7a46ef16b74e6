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
		if e.State != table.EndpointLive || r.tried.Has(i) || !e.Look.Seen || e.Look.At < r.look.began-lookFresh || !e.MayQueue() {
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
		if e.State != table.EndpointLive || r.tried.Has(i) || e.Outstanding >= max(1, e.Slots) || full {
			continue
		}
		if rank := c.askRank(now, r, e); best < 0 || rank < bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

// typicalWork is how long a request of the service commonly takes at an endpoint
// that has nothing else to do. Latencies at busy ones must not count: under load they
// grow, and everything would be taken to be late already.
func (r *request) typicalWork() time.Duration {
	if t := r.service.work.typical(); t > 0 {
		return t
	}
	if r.policy.Objective > 0 {
		return r.policy.Objective / 3
	}
	return time.Duration(r.pool.serviceNanos)
}

const (
	// paceLasts is how long the pace of a VM commonly lasts from the moment at
	// which it is seen; beyond it the usual mean pace holds.
	paceLasts = 150 * time.Millisecond
	// meanPace is the pace over longer times.
	meanPace = 1.3
	// nearlyFull is the occupancy from which on some endpoints work more slowly.
	nearlyFull = 0.8
	// firstSharing is by how much longer work is taken to take there before it was
	// measured, and sharingMost bounds what is measured.
	firstSharing = 1.3
	sharingMost  = 4.0
	// sharingWeight is the weight of a new measurement.
	sharingWeight = 0.08
	// littleSharing is up to where nearly full endpoints work about as fast as others.
	littleSharing = 1.2
	// perKilobyte is the later answer that a kilobyte between failure domains is worth.
	// An upload of 60 KB goes to another domain only when it would be late in its own.
	perKilobyte = 2 * time.Millisecond
)

// expected estimates when an endpoint would answer r, as a duration from now. What r
// would cost the request beside it counts as well: a slot that slows both down is
// worth its use only where both can bear it.
func (c *Core) expected(now time.Duration, r *request, e *table.Endpoint) time.Duration {
	lasting := e.Paces.Lasting(now)
	work := float64(r.typicalWork()) * lasting
	pace := max(1, pace(&e.Look)/lasting)
	load, slots := e.Look.Load(), max(1, e.Look.Slots)
	own, harm := work, 0.0
	if fills(load, slots) {
		own *= r.pool.sharing
		harm = (r.pool.sharing - 1) * work
	}
	own = paced(own, pace) + harm
	if ahead := load - slots + 1; ahead > 0 {
		own += paced(work, pace) * (float64(ahead) - 0.5) / float64(slots)
	}
	own += e.DoubtAfter(now) * 2 * work
	if now < e.AvoidUntil || e.Missing {
		own += avoidedCost * work
	}
	return time.Duration(own)
}

// fills reports whether one more request makes an endpoint nearly full.
func fills(load, slots int32) bool {
	return load > 0 && float64(load+1) >= nearlyFull*float64(slots)
}

// noteSharing learns by how much longer work takes at endpoints that are nearly full.
func (p *pool) noteSharing(latency, work time.Duration) {
	if work <= 0 {
		return
	}
	times := min(max(float64(latency)/float64(work), 1), sharingMost)
	p.sharing += sharingWeight * (times - p.sharing)
}

// worthwhile reports whether r should go to an endpoint that would answer after the
// expected time. A request that can be in time elsewhere waits for that; one that is
// late by now takes no slot beside another request, which would be late as well then.
// None goes where it would not be answered at all.
func (c *Core) worthwhile(now time.Duration, r *request, e *table.Endpoint, expected time.Duration) bool {
	switch {
	case now+expected >= r.deadline:
		return false
	case r.policy.Objective == 0:
		return true
	case r.late:
		return e.HasRoom() && (!fills(e.Look.Load(), max(1, e.Look.Slots)) || r.pool.sharing < littleSharing)
	}
	return now+expected <= r.arrived-r.age+r.policy.Objective
}

// avoidedCost is how many times its work a request may take elsewhere before an
// avoided endpoint is tried.
const avoidedCost = 10

// paced is how long work takes that begins at a pace which lasts for a while.
func paced(work, pace float64) float64 {
	lasts := float64(paceLasts)
	if work*pace <= lasts {
		return work * pace
	}
	return lasts + (work-lasts/pace)*meanPace
}
