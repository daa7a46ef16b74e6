package placement

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// The load that this answers: the endpoints of a failure domain are at work while others have
// room. Those of the own domain are asked first, and in a domain with far more of them than are
// asked for a request there is always one that was not asked yet: requests that others could
// serve in time are refused.

const (
	// busyProbes is how many looks at a failure domain that find no easy room in a row, together
	// with a request that found no room at all, make it count as busy.
	busyProbes = 3
	// busyFor is for how long it does after the latest of them.
	busyFor = 500 * time.Millisecond
)

// NoteRoom takes in what a look at an endpoint found.
func (p *PoolState) NoteRoom(now time.Duration, e *table.Endpoint) {
	d := p.domain(e.Domain)
	if HasEasyRoom(e) {
		d.busy = 0
		return
	}
	d.busy++
	d.busyAt = now
}

// isBusy reports whether the latest looks in a failure domain found no room.
func (p *PoolState) isBusy(now time.Duration, name string) bool {
	d := p.domains[name]
	return d != nil && d.busy >= busyProbes && now-d.busyAt < busyFor
}

// leavesOwnDomain reports whether endpoints of other failure domains are asked like those of
// the own one. Where a request can ask all of its own domain it does that first.
func (v *View) leavesOwnDomain() bool {
	if !v.Learned.isShort(v.Now) || !v.Learned.isBusy(v.Now, v.Domain) {
		return false
	}
	near := 0
	for i := range v.Endpoints {
		if e := &v.Endpoints[i]; v.isNear(e) && e.TakesWork() {
			near++
		}
	}
	return near > v.Request.MaxProbes
}
