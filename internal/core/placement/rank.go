package placement

import (
	"slices"

	"github.com/tealhall/tealhall/internal/core/table"
)

// The weights of what is known of an endpoint before it is asked; chance decides
// between endpoints that differ by less than 1.
const (
	rankAvoided = 1000
	// rankRemote puts endpoints of other failure domains behind those of the own one
	// that may be idle, and before those that were full a moment ago.
	rankRemote  = 12
	rankMissing = 5000
	rankHeld    = 10
	rankDoubt   = 50
	rankPace    = 5
	// rankSlow puts VMs that stay slow behind all that may be idle, those of other
	// failure domains included. They are asked again once that is forgotten.
	rankSlow = 30
)

// NextToAsk returns the index of the endpoint to look at next, or -1: those of the own
// failure domain first, and of these the ones that were idle when last heard of.
func (v *View) NextToAsk() int {
	best, bestRank := -1, 0.0
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		if !v.eligible(i) || slices.Contains(v.Request.Asked, i) {
			continue
		}
		rank := v.rank(e)
		if best < 0 || rank < bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

// eligible reports whether the request may go to the endpoint at an index at all.
func (v *View) eligible(i int) bool {
	e := &v.Endpoints[i]
	return e.State == table.EndpointLive && !v.Request.Tried.Has(i) && (!v.Request.OwnOnly || v.isNear(e))
}

// rank orders the endpoints to ask: a lower one goes first.
func (v *View) rank(e *table.Endpoint) float64 {
	rank := v.Rand.Float64() + rankHeld*float64(e.Outstanding) + rankDoubt*max(0, e.DoubtAfter(v.Now)-SlightDoubt)
	if !v.isNear(e) {
		rank += rankRemote + min(v.Request.Kilobytes, rankRemote)
	}
	if v.Now < e.AvoidUntil {
		rank += rankAvoided
	}
	if e.Missing {
		rank += rankMissing
	}
	if e.Paces.Lasting(v.Now) >= SlowPace {
		rank += rankSlow
	}
	if age := v.Now - e.Look.At; e.Look.Seen && age < Remembered {
		part := 1 - float64(age)/float64(Remembered)
		rank += part * (rankHeld*float64(e.Look.Running+e.Look.Waiting) + rankPace*(Pace(&e.Look)-1))
	}
	return rank
}
