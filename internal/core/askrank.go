package core

import (
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// nextToAsk returns the endpoint to look at next, or -1: those of the own failure
// domain first, and of these the ones that were idle when last heard of.
func (c *Core) nextToAsk(now time.Duration, r *request) int {
	p := r.pool
	best, bestRank := -1, 0.0
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if e.State != table.EndpointLive || r.tried.Has(i) || slices.Contains(r.look.asked, i) ||
			r.look.ownOnly && e.Domain != c.cfg.Self.Domain {
			continue
		}
		rank := c.askRank(now, r, e)
		if best < 0 || rank < bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

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

// askRank orders the endpoints to ask: a lower one goes first.
func (c *Core) askRank(now time.Duration, r *request, e *table.Endpoint) float64 {
	rank := c.rng.Float64() + rankHeld*float64(e.Outstanding) + rankDoubt*max(0, e.DoubtAfter(now)-slightDoubt)
	if e.Domain != c.cfg.Self.Domain {
		rank += rankRemote + min(r.service.kilobytes, rankRemote)
	}
	if now < e.AvoidUntil {
		rank += rankAvoided
	}
	if e.Missing {
		rank += rankMissing
	}
	if e.Paces.Lasting(now) >= slowPace {
		rank += rankSlow
	}
	if age := now - e.Look.At; e.Look.Seen && age < lookRemembered {
		part := 1 - float64(age)/float64(lookRemembered)
		rank += part * (rankHeld*float64(e.Look.Running+e.Look.Waiting) + rankPace*float64(pace(&e.Look)-1))
	}
	return rank
}
