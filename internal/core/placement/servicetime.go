package placement

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

const (
	// queuedPace is the pace assumed for a request that first waits at an endpoint: the VM has its
	// usual pace in three of four cases and is five times as slow in the others, in which the
	// request would be late whatever is chosen.
	queuedPace = 1.3
	// remainingSlotShare is the time that a request waits for the first free slot of an endpoint,
	// as a share of the time that requests take there, multiplied by the number of slots. The
	// running requests have done a part of their work already, and a long one is more likely to be
	// among them. With two slots the wait was 0.4 and 0.46 of the time of a request.
	remainingSlotShare = 0.9
	// avoidedCost is how many times its work a request may take elsewhere before an avoided
	// endpoint is tried.
	avoidedCost = 10
)

// Expected estimates when an endpoint would answer, as a duration from now. It includes the time by
// which the request would delay another request at the endpoint: a slot in which both slow
// each other down is worth using only if both have the time.
func (v *View) Expected(e *table.Endpoint) time.Duration {
	work := float64(v.Request.Work)
	after := float64(v.ServiceTime(e))
	if MakesNearlyFull(e) {
		after += (v.PoolState.slowdown - 1) * work
	}
	after += e.CurrentDoubt(v.Now) * 2 * work
	if v.Now < e.AvoidUntil || e.Missing {
		after += avoidedCost * work
	}
	return time.Duration(after)
}

// ServiceTime estimates how long an endpoint would take, by the load and pace that it reported
// last. The pace at the start of a request lasts until its end: of the requests that began at five
// times the usual pace half took at least 4.9 times as long as usual, and of those that began at
// the usual pace 99 in 100 took less than 2.9 times as long.
func (v *View) ServiceTime(e *table.Endpoint) time.Duration {
	pace := Pace(&e.Probed)
	load, slots := e.Probed.Load(), max(1, e.Probed.Slots)
	own, wait := float64(v.Request.Work), 0.0
	if makesNearlyFull(load, slots) {
		own *= v.PoolState.slowdown
	}
	if ahead := load - slots + 1; ahead > 0 {
		wait = float64(v.SlotTime) * pace * (float64(ahead-1) + remainingSlotShare) / float64(slots)
		pace = queuedPace
	}
	return time.Duration(wait + own*pace)
}
