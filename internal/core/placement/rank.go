package placement

import (
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
)

// Probing an endpoint of another failure domain, and sending requests there, is expensive, and the
// entry's own domain almost always has an endpoint with room. So all endpoints of that domain are
// probed first, except those that are known to be of no use now. The other domains follow when no
// endpoint of it is left, and at once if it has no endpoint.
//
// The constants weigh the properties of an endpoint that are known before it is probed. Endpoints
// whose ranks differ by less than 1 are ordered at random.
const (
	// rankFull is the weight of an endpoint's occupancy: an endpoint whose slots are all in use
	// gets all of it.
	rankFull  = 20
	rankPace  = 5
	rankDoubt = 100
	// rankRemote ranks endpoints of other failure domains after endpoints of the entry's own domain
	// that may have room. rankBusy ranks an endpoint of the entry's domain even later if it
	// reported a moment ago that it has no room or is slow.
	rankRemote  = 60
	rankBusy    = 70
	rankLost    = 500
	rankAvoided = 1000
	rankMissing = 5000
	// rankConnected ranks endpoints that this entry has contacted lately before otherwise equal
	// ones. rankEarned ranks a limited endpoint before these: no other entry may use the request
	// that this one has earned for it.
	rankConnected = 1
	rankEarned    = 2
)

// Each of many entries may see only a few requests per second while many endpoints have room. If
// the choice were random, the connection to an endpoint would be closed before the endpoint is
// chosen again, and every other request would open a new one.
const (
	// connectedFor is how long after the latest answer a connection is likely to be still open.
	connectedFor = 8 * time.Second
	// exploreShare is the share of the choices that ignore connections, so that an endpoint that
	// has just joined gets its part.
	exploreShare = 0.125
)

// prefersConnected reports whether endpoints with a connection rank first in this choice. They do
// not while the pool is short of room: each entry would then find the endpoints full that it is
// connected to.
func (v *View) prefersConnected() bool {
	return !v.PoolState.IsShort(v.Now) && v.Rand.Float64() >= exploreShare
}

// busySlotTimes, multiplied by the time in which an endpoint usually frees a slot, is how long a
// full endpoint is assumed to stay full.
const busySlotTimes = 2

// NextToProbe returns the index of the endpoint to probe next, or -1: endpoints of the entry's own
// failure domain first, and among these the endpoint with the most room by its last probed load.
func (v *View) NextToProbe() int {
	best, bestRank := -1, 0.0
	preferConnected, leaveOwnDomain := v.prefersConnected(), v.leavesOwnDomain()
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		if !v.eligible(i) || slices.Contains(v.Request.Probed, i) {
			continue
		}
		rank := v.rank(e)
		if leaveOwnDomain && !v.isNear(e) {
			rank -= rankRemote
		}
		if preferConnected && e.Probed.Seen && v.Now-e.Probed.At < connectedFor {
			rank -= rankConnected
		}
		if best < 0 || rank < bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

// eligible reports whether the request may be sent to the endpoint at index i at all.
func (v *View) eligible(i int) bool {
	e := &v.Endpoints[i]
	return v.granted(e) && !v.Request.Tried.Has(i) && (!v.Request.OwnDomainOnly || v.isNear(e))
}

// rank returns the rank of an endpoint that may get a request, for probing; the lowest rank goes
// first.
func (v *View) rank(e *table.Endpoint) float64 {
	slots := float64(max(1, e.Slots))
	rank := v.Rand.Float64() + rankFull*float64(e.Outstanding)/slots + rankDoubt*max(0, e.CurrentDoubt(v.Now)-SlightDoubt)
	if v.Now < e.AvoidUntil {
		rank += rankAvoided
	}
	if e.Missing {
		rank += rankMissing
	}
	if quota.IsLimited(e) {
		rank -= rankEarned
	}
	if age := v.Now - e.Probed.At; e.Probed.Seen && age < RememberedFor {
		weight := 1 - float64(age)/float64(RememberedFor)
		rank += weight * (rankFull*float64(e.Probed.Running+e.Probed.Waiting)/slots + rankPace*(Pace(&e.Probed)-1))
	}
	if v.PoolState.isLost(v.Now, e.Domain) {
		rank += rankLost
	}
	switch {
	case !v.isNear(e):
		rank += rankRemote
	case v.reportedBusy(e):
		rank += rankBusy
	}
	return rank
}

// reportedBusy reports whether an endpoint reported a moment ago that it would not answer in time:
// its VM is slow, or all of its slots are in use and none is likely to be free yet.
func (v *View) reportedBusy(e *table.Endpoint) bool {
	age := v.Now - e.Probed.At
	if !e.Probed.Seen || age >= RememberedFor {
		return false
	}
	freed := time.Duration(busySlotTimes * float64(v.SlotTime) / float64(max(1, e.Slots)))
	return Pace(&e.Probed) >= SlowPace || !e.HasRoom() && age < freed
}
