package placement

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// Some workloads keep all endpoints of one failure domain busy while other domains have room.
// Endpoints of the entry's own domain are probed first; in a domain with far more endpoints than
// are probed for one request, some endpoints are always left unprobed. Without the rules below,
// requests that other domains could serve in time would be refused.

const (
	// busyProbes is how many consecutive load probes in a failure domain must find no headroom,
	// together with a request that found no room at all, for the domain to count as busy.
	busyProbes = 3
	// busyFor is how long the domain counts as busy after the latest of these probes.
	busyFor = 500 * time.Millisecond
)

// NoteHeadroom records the result of a load probe of an endpoint for the busy state of its failure
// domain.
func (p *PoolState) NoteHeadroom(now time.Duration, e *table.Endpoint) {
	d := p.domain(e.Domain)
	if HasHeadroom(e) {
		d.noHeadroomProbes = 0
		return
	}
	d.noHeadroomProbes++
	d.noHeadroomAt = now
}

// isBusy reports whether the latest load probes in a failure domain found no headroom.
func (p *PoolState) isBusy(now time.Duration, name string) bool {
	d := p.domains[name]
	return d != nil && d.noHeadroomProbes >= busyProbes && now-d.noHeadroomAt < busyFor
}

// leavesOwnDomain reports whether endpoints of other failure domains are probed like those of the
// entry's own domain. A request that can probe all endpoints of its entry's domain does that first.
func (v *View) leavesOwnDomain() bool {
	if !v.PoolState.IsShort(v.Now) || !v.PoolState.isBusy(v.Now, v.Domain) {
		return false
	}
	near := 0
	for i := range v.Endpoints {
		if e := &v.Endpoints[i]; v.isNear(e) && v.granted(e) {
			near++
		}
	}
	return near > v.Request.MaxProbes
}
