package placement

import (
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// The load that this answers: a look at an endpoint of another failure domain, and what is
// then sent there, is dear, and the own domain has somebody with room almost always. So
// all of the own domain are asked first but those that are known to be of no use now; the
// others are asked as soon as these are all that is left, and at once where the domain has
// nobody.
//
// The weights of what is known of an endpoint before it is asked; chance decides
// between endpoints that differ by less than 1.
const (
	// rankFull is the rank of an endpoint whose slots are all taken.
	rankFull  = 20
	rankPace  = 5
	rankDoubt = 100
	// rankRemote puts endpoints of other failure domains behind those of the own one that
	// may have room, and rankBusy those of the own one behind them that have none, or are
	// slow, by what they told a moment ago.
	rankRemote  = 60
	rankBusy    = 70
	rankLost    = 500
	rankAvoided = 1000
	rankMissing = 5000
	// rankConnected puts endpoints with which this entry has spoken lately before those that
	// are alike but for that.
	rankConnected = 1
)

// The load that this answers: a few requests a second at each of many entries, before many
// endpoints with room. Chosen by chance, an endpoint comes round when its connection has been
// closed, and every other request opens a new one.
const (
	// connectedFor is how long after the latest answer a connection is likely to be open still.
	connectedFor = 8 * time.Second
	// otherShare is how often endpoints without a connection are asked like all others, so that
	// one that has just joined gets its part.
	otherShare = 0.125
)

// prefersConnected reports whether endpoints with a connection go first in this choice. Where
// requests find no room they don't: each entry would find its own endpoints full.
func (v *View) prefersConnected() bool {
	return !v.Learned.isShort(v.Now) && v.Rand.Float64() >= otherShare
}

// busySlotTimes is for how many times the time in which an endpoint commonly frees a slot it
// is taken to stay full.
const busySlotTimes = 2

// NextToProbe returns the index of the endpoint to look at next, or -1: those of the own
// failure domain first, and of these the ones that had most room when last heard of.
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

// eligible reports whether the request may go to the endpoint at an index at all.
func (v *View) eligible(i int) bool {
	e := &v.Endpoints[i]
	return v.granted(e) && !v.Request.Tried.Has(i) && (!v.Request.OwnDomainOnly || v.isNear(e))
}

// rank orders the endpoints to ask: a lower one goes first.
func (v *View) rank(e *table.Endpoint) float64 {
	slots := float64(max(1, e.Slots))
	rank := v.Rand.Float64() + rankFull*float64(e.Outstanding)/slots + rankDoubt*max(0, e.CurrentDoubt(v.Now)-SlightDoubt)
	if v.Now < e.AvoidUntil {
		rank += rankAvoided
	}
	if e.Missing {
		rank += rankMissing
	}
	if age := v.Now - e.Probed.At; e.Probed.Seen && age < RememberedFor {
		weight := 1 - float64(age)/float64(RememberedFor)
		rank += weight * (rankFull*float64(e.Probed.Running+e.Probed.Waiting)/slots + rankPace*(Pace(&e.Probed)-1))
	}
	if v.Learned.isLost(v.Now, e.Domain) {
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

// reportedBusy reports whether an endpoint told a moment ago that it would not answer in time:
// its VM is slow, or its slots are all taken and none of them commonly frees up so soon.
func (v *View) reportedBusy(e *table.Endpoint) bool {
	age := v.Now - e.Probed.At
	if !e.Probed.Seen || age >= RememberedFor {
		return false
	}
	freed := time.Duration(busySlotTimes * float64(v.SlotTime) / float64(max(1, e.Slots)))
	return Pace(&e.Probed) >= SlowPace || !e.HasRoom() && age < freed
}
