package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

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
)

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
