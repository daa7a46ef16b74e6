package placement

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

const (
	// queuedPace is the pace that a request is taken to start at which first waits at an
	// endpoint: usual in three of four cases, five times as slow in the others, of
	// which it would be late whatever is chosen.
	queuedPace = 1.3
	// remainingSlotShare is what a request that waits for the first of an endpoint's slots to
	// free up has still to wait, as a part of what requests take there, times slots:
	// those at work have done a part already, and the longer ones are met more often.
	// Measured: 0.4 and 0.46 of the time of a request at two slots.
	remainingSlotShare = 0.9
	// avoidedCost is how many times its work a request may take elsewhere before an
	// avoided endpoint is tried.
	avoidedCost = 10
)

// Expected estimates when an endpoint would answer, as a duration from now. What the
// request would cost the one beside it counts as well: a slot that slows both down is
// worth its use only where both can bear it.
func (v *View) Expected(e *table.Endpoint) time.Duration {
	work := float64(v.Request.Work)
	after := float64(v.ServiceTime(e))
	if MakesNearlyFull(e) {
		after += (v.Learned.slowdown - 1) * work
	}
	after += e.CurrentDoubt(v.Now) * 2 * work
	if v.Now < e.AvoidUntil || e.Missing {
		after += avoidedCost * work
	}
	return time.Duration(after)
}

// ServiceTime estimates how long an endpoint would take, by its load and pace as it told them
// last. The pace at the start of a request holds until its end: of those that began at
// five times the usual pace half took 4.9 times as long as usual or longer, and of those
// that began at the usual one 99 in 100 less than 2.9 times as long.
func (v *View) ServiceTime(e *table.Endpoint) time.Duration {
	pace := Pace(&e.Probed)
	load, slots := e.Probed.Load(), max(1, e.Probed.Slots)
	own, wait := float64(v.Request.Work), 0.0
	if makesNearlyFull(load, slots) {
		own *= v.Learned.slowdown
	}
	if ahead := load - slots + 1; ahead > 0 {
		wait = float64(v.SlotTime) * pace * (float64(ahead-1) + remainingSlotShare) / float64(slots)
		pace = queuedPace
	}
	return time.Duration(wait + own*pace)
}
