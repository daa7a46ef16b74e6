package placement

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// Choice is an endpoint with a fresh probed load to which a request could be sent.
type Choice struct {
	// Index is the endpoint's index, -1 for none.
	Index int
	// Expected is the time from now in which the endpoint is expected to answer. cost is the cost
	// of the choice as a time.
	Expected, cost time.Duration
	// Worthwhile says that the request should be sent there rather than wait.
	Worthwhile bool
	// nearInTime says that the endpoint is in the entry's own failure domain and almost certainly
	// answers in time.
	nearInTime bool
}

// worstCaseFactor is the ratio of the longest of about twenty answers to the expected time: the
// service times of requests of one service differ that much.
const worstCaseFactor = 1.5

const (
	// costPerKilobyte is the delay of the answer that is accepted to avoid a transfer of one
	// kilobyte between failure domains. An upload of 60 KB goes to another domain only when it
	// would be late in its own.
	costPerKilobyte = 2 * time.Millisecond
	// smallExchangeKilobytes is the size of a request with its answer from which on the transfer
	// to another failure domain counts.
	smallExchangeKilobytes = 1.0
)

// Best returns the best choice among the endpoints with a fresh probed load and room.
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
		choice.nearInTime = choice.Worthwhile && v.isNear(e) && v.surelyInTime(choice.Expected)
		if choice.before(best) {
			best = choice
		}
	}
	return best
}

// surelyInTime reports whether an answer that is expected in the given time is in time even if it
// takes longer than most.
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
	case c.nearInTime != other.nearInTime:
		return c.nearInTime
	}
	return c.cost < other.cost
}

// transferCost returns the cost of sending the request and its answer to another failure domain, as
// the additional delay that is accepted at an endpoint of the entry's own domain.
func (v *View) transferCost(e *table.Endpoint) time.Duration {
	if v.isNear(e) {
		return 0
	}
	return time.Duration(v.Request.Kilobytes * float64(costPerKilobyte))
}

// worthwhile reports whether the request should be sent to an endpoint that is expected to answer
// in the given time. A request that would be late there, but could be in time at another endpoint,
// waits. A request that is already late gets no slot while the pool is short of room for requests
// that could be in time, no slot whose use slows the endpoint's other requests down so that they
// may be late as well, and no slot on a slow VM, where it would use the slot for as long as several
// timely requests. No request is sent to an endpoint that would not answer before the deadline, nor
// where it would slow the other requests down by more than it gains.
func (v *View) worthwhile(e *table.Endpoint, expected time.Duration) bool {
	r := &v.Request
	switch {
	case v.Now+expected >= r.Deadline, v.PoolState.overfills(v.Now, e):
		return false
	case r.Objective == 0:
		return true
	case r.Late:
		return !v.PoolState.IsShort(v.Now) && e.HasRoom() && (!MakesNearlyFull(e) || v.PoolState.slowdown < littleSlowdown) && Pace(&e.Probed) < SlowPace
	}
	return v.Now+expected <= r.FirstTry+r.Objective
}

// IsOptimal reports whether no other endpoint could be a better choice than e. While the pool is
// short of room there is no optimal endpoint for a late request, which may have to wait instead.
func (v *View) IsOptimal(e *table.Endpoint) bool {
	if v.Request.Late && v.PoolState.IsShort(v.Now) {
		return false
	}
	return v.granted(e) && HasHeadroom(e) && v.Now >= e.AvoidUntil && !e.Missing &&
		e.CurrentDoubt(v.Now) < SlightDoubt && (v.isNear(e) || v.Request.Kilobytes < smallExchangeKilobytes)
}

// WithoutLoad returns the index of an endpoint to choose when no endpoint has reported its load,
// because the probe budget is spent or no probe is answered; -1 for none. It prefers the endpoint
// with the fewest own requests.
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
