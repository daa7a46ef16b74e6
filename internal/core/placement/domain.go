package placement

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

// PrefersOwnDomain reports whether endpoints of the own failure domain alone should be
// asked: the bytes of the request are worth the wait on the way into another one, and it
// can be in time after the next round of looks, which follows after gap.
func (v *View) PrefersOwnDomain(gap time.Duration) bool {
	r := &v.Request
	patience := time.Duration(r.Kilobytes * float64(perKilobyte))
	if patience < ownDomainLeast || r.Late || r.Objective == 0 {
		return false
	}
	latest := min(r.Arrived+patience, r.LatestInTime()-r.Work/2)
	return v.Now+gap <= latest && v.anyNearAndWell()
}

func (v *View) anyNearAndWell() bool {
	if v.Learned.isLost(v.Now, v.Domain) {
		return false
	}
	for i := range v.Endpoints {
		if v.nearAndWell(&v.Endpoints[i]) {
			return true
		}
	}
	return false
}

// nearAndWell reports whether an endpoint of the own failure domain is worth waiting for.
func (v *View) nearAndWell(e *table.Endpoint) bool {
	return v.isNear(e) && v.granted(e) && !e.Missing && v.Now >= e.AvoidUntil &&
		e.DoubtAfter(v.Now) < SlightDoubt
}
