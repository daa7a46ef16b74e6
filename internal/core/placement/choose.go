package placement

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// Choice is an endpoint with a fresh look as a choice for a request.
type Choice struct {
	// Index is the endpoint's, -1 for none.
	Index int
	// Expected is when it is expected to answer, from now; cost is what the choice costs,
	// in the same unit.
	Expected, cost time.Duration
	// Worthwhile says that the request should go there rather than wait.
	Worthwhile bool
	// near says that it lies in the own failure domain and will be in time almost surely.
	near bool
}

// worstCaseFactor is how many times the expected time an answer takes in the worst of about
// twenty cases: how long requests of one service work differs that much.
const worstCaseFactor = 1.5

const (
	// costPerKilobyte is the later answer that a kilobyte between failure domains is worth.
	// An upload of 60 KB goes to another domain only when it would be late in its own.
	costPerKilobyte = 2 * time.Millisecond
	// smallExchangeKilobytes is the size in kilobytes of a request with its answer from
	// which on the way into another failure domain counts.
	smallExchangeKilobytes = 1.0
)

// Best returns the best choice among the endpoints with a fresh look and room.
func (v *View) Best() Choice {
	best := Choice{Index: -1}
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		if !v.eligible(i) || !e.Probed.Seen || e.Probed.At < v.Request.RoundStart-FreshFor || !e.MayQueue() {
			continue
		}
		choice := Choice{Index: i, Expected: v.Expected(e)}
		choice.cost = choice.Expected + v.transferCost(e)
		choice.Worthwhile = v.worthwhile(e, choice.Expected)
		choice.near = choice.Worthwhile && v.isNear(e) && v.surelyInTime(choice.Expected)
		if choice.before(best) {
			best = choice
		}
	}
	return best
}

// surelyInTime reports whether an answer that is expected after a time will be in time,
// also if it takes longer than most.
func (v *View) surelyInTime(after time.Duration) bool {
	r := &v.Request
	return r.Objective > 0 && !r.Late && v.Now+time.Duration(worstCaseFactor*float64(after)) <= r.FirstTry+r.Objective
}

// before reports whether c is a better choice than other.
func (c Choice) before(other Choice) bool {
	switch {
	case other.Index < 0:
		return true
	case c.Worthwhile != other.Worthwhile:
		return c.Worthwhile
	case c.near != other.near:
		return c.near
	}
	return c.cost < other.cost
}

// transferCost is what the bytes of a request and its answer cost on the way into another
// failure domain, where an endpoint of the own one could be in time as well.
func (v *View) transferCost(e *table.Endpoint) time.Duration {
	if v.isNear(e) {
		return 0
	}
	return time.Duration(v.Request.Kilobytes * float64(costPerKilobyte))
}

// worthwhile reports whether the request should go to an endpoint that would answer after
// the expected time. A request that can be in time elsewhere waits for that; one that is
// late by now takes no slot while others that could be in time find none, none beside
// another request, which would be late as well then, nor one on a slow VM, which it would
// hold for as long as several that are in time.
// None goes where it would not be answered at all, nor where it takes more from the
// others than it brings.
func (v *View) worthwhile(e *table.Endpoint, expected time.Duration) bool {
	r := &v.Request
	switch {
	case v.Now+expected >= r.Deadline, v.Learned.overfills(v.Now, e):
		return false
	case r.Objective == 0:
		return true
	case r.Late:
		return !v.Learned.isShort(v.Now) && e.HasRoom() && (!MakesNearlyFull(e) || v.Learned.slowdown < littleSlowdown) && Pace(&e.Probed) < SlowPace
	}
	return v.Now+expected <= r.FirstTry+r.Objective
}

// Perfect reports whether no other endpoint could be a better choice than e.
func (v *View) Perfect(e *table.Endpoint) bool {
	return v.granted(e) && HasEasyRoom(e) && v.Now >= e.AvoidUntil && !e.Missing &&
		e.CurrentDoubt(v.Now) < SlightDoubt && (v.isNear(e) || v.Request.Kilobytes < smallExchangeKilobytes)
}

// WithoutLoad returns the index of an endpoint to choose when none told its load, because the
// budget is spent or nobody answers; -1 for none. The one with the fewest own requests is
// the best guess.
func (v *View) WithoutLoad() int {
	best, bestRank := -1, 0.0
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		full := e.Probed.Seen && v.Now-e.Probed.At < fullFor && !e.HasRoom()
		if !v.granted(e) || v.Request.Tried.Has(i) || e.Outstanding >= max(1, e.Slots) || full || v.seemsSlow(e) {
			continue
		}
		if rank := v.rank(e); best < 0 || rank < bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

// seemsSlow reports whether an endpoint's VM was slow a moment ago.
func (v *View) seemsSlow(e *table.Endpoint) bool {
	return e.Probed.Seen && v.Now-e.Probed.At < RememberedFor && Pace(&e.Probed) >= SlowPace
}
