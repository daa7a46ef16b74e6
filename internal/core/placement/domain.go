package placement

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// Some failure domains have only one or two endpoints for uploads of tens of kilobytes. Whenever
// these are busy, or slow for a moment because of other VMs, an upload would go to another domain
// at once, although its objective leaves time to wait for an endpoint nearby. On a quiet day such
// uploads were a quarter of the bytes between domains; the price of the bytes between domains was
// 0.0239 with them and 0.0172 without them.

// minOwnDomainWait is the shortest wait for an endpoint of the entry's own failure domain that is
// worth its load probes: the wait that is accepted for a request and answer of ten kilobytes.
const minOwnDomainWait = 20 * time.Millisecond

// PrefersOwnDomain reports whether only endpoints of the entry's own failure domain should be
// probed: avoiding the transfer to another domain is worth the wait, and the request can still be
// in time if it is sent after the next probe round, which begins after the time gap.
func (v *View) PrefersOwnDomain(gap time.Duration) bool {
	r := &v.Request
	maxWait := time.Duration(r.Kilobytes * float64(costPerKilobyte))
	if maxWait < minOwnDomainWait || r.Late || r.Objective == 0 {
		return false
	}
	latest := min(r.Arrived+maxWait, r.LatestInTime()-r.Work/2)
	return v.Now+gap <= latest && v.anyUsableNearby()
}

func (v *View) anyUsableNearby() bool {
	if v.PoolState.isLost(v.Now, v.Domain) {
		return false
	}
	for i := range v.Endpoints {
		if v.usableNearby(&v.Endpoints[i]) {
			return true
		}
	}
	return false
}

// usableNearby reports whether an endpoint is in the entry's own failure domain and worth waiting
// for.
func (v *View) usableNearby(e *table.Endpoint) bool {
	return v.isNear(e) && v.granted(e) && !e.Missing && v.Now >= e.AvoidUntil &&
		e.CurrentDoubt(v.Now) < SlightDoubt
}
