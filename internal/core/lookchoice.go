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
	// queuedPace is the pace that a request is taken to start at which first waits at an
	// endpoint: usual in three of four cases, five times as slow in the others, of
	// which it would be late whatever is chosen.
	queuedPace = 1.3
	// turnPart is what a request that waits for the first of an endpoint's slots to
	// free up has still to wait, as a part of what requests take there, times slots:
	// those at work have done a part already, and the longer ones are met more often.
	// Measured: 0.4 and 0.46 of the time of a request at two slots.
	turnPart = 0.9
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

// isIdle reports whether an endpoint told that it has nothing to do, at the usual pace.
func isIdle(e *table.Endpoint) bool { return e.Look.Load() == 0 && pace(&e.Look) <= 1 }

// expected estimates when an endpoint would answer r, as a duration from now. What r
// would cost the request beside it counts as well: a slot that slows both down is
// worth its use only where both can bear it.
func (c *Core) expected(now time.Duration, r *request, e *table.Endpoint) time.Duration {
	work := float64(r.typicalWork()) * e.Paces.Lasting(now)
	after := float64(c.takes(now, r, e))
	if fills(e.Look.Load(), max(1, e.Look.Slots)) {
		after += (r.pool.sharing - 1) * work
	}
	after += e.DoubtAfter(now) * 2 * work
	if now < e.AvoidUntil || e.Missing {
		after += avoidedCost * work
	}
	return time.Duration(after)
}

// takes estimates how long an endpoint would take for r, by its load and pace as it told
// them last. The pace at the start of a request holds until its end: of those that began
// at five times the usual pace half took 4.9 times as long as usual or longer, and of
// those that began at the usual one 99 in 100 less than 2.9 times as long.
func (c *Core) takes(now time.Duration, r *request, e *table.Endpoint) time.Duration {
	lasting := e.Paces.Lasting(now)
	pace := max(1, pace(&e.Look)/lasting)
	load, slots := e.Look.Load(), max(1, e.Look.Slots)
	own, wait := float64(r.typicalWork())*lasting, 0.0
	if fills(load, slots) {
		own *= r.pool.sharing
	}
	if ahead := load - slots + 1; ahead > 0 {
		wait = float64(r.pool.turn(now)) * lasting * pace * (float64(ahead-1) + turnPart) / float64(slots)
		pace = queuedPace
	}
	return time.Duration(wait + own*pace)
}

// turn is what the requests that a full endpoint of the pool holds commonly take there,
// those of all its services, in which long ones are met as often as they are long.
func (p *pool) turn(now time.Duration) time.Duration {
	sum, slots := 0.0, 0.0
	for _, sv := range p.services {
		busy := sv.demand.Slots(now)
		sum += busy * float64(sv.work.typical())
		slots += busy
	}
	if slots <= 0 || sum <= 0 {
		return time.Duration(p.serviceNanos)
	}
	return time.Duration(p.sharing * sum / slots)
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
