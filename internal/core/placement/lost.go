package placement

import "time"

// All endpoints of a failure domain may fail at once. An entry probes the endpoints of its own
// domain first, and avoids a failed endpoint only for a short time. Without the rules below, each
// entry would discover the failure of each endpoint separately and repeatedly, and requests would
// be sent to endpoints that are gone while others have room.

const (
	// lostFailures is how many consecutive contacts with endpoints of a failure domain must fail,
	// with no success between them, for the domain to count as lost.
	lostFailures = 3
	// lostMin is how long a domain counts as lost at first. The time doubles with each further
	// failure, up to lostMax. After that the next request probes the domain first again.
	lostMin = 250 * time.Millisecond
	lostMax = 2 * time.Second
)

// domainState is what the entry has learned about a pool's endpoints in one failure domain.
type domainState struct {
	// failures counts consecutive failed contacts.
	failures  int
	lostUntil time.Duration
	// noHeadroomProbes counts consecutive load probes that found no headroom, the latest at
	// noHeadroomAt.
	noHeadroomProbes int
	noHeadroomAt     time.Duration
}

// domain returns the state of a failure domain, creating it if needed.
func (p *PoolState) domain(name string) *domainState {
	if p.domains == nil {
		p.domains = make(map[string]*domainState)
	}
	d := p.domains[name]
	if d == nil {
		d = &domainState{}
		p.domains[name] = d
	}
	return d
}

// NoteContact records whether an endpoint of a failure domain could be reached.
func (p *PoolState) NoteContact(now time.Duration, name string, reached bool) {
	d := p.domain(name)
	if reached {
		d.failures, d.lostUntil = 0, 0
		return
	}
	if now < d.lostUntil {
		return // the contact began before the domain counted as lost
	}
	if d.failures++; d.failures >= lostFailures {
		d.lostUntil = now + min(lostMin<<min(d.failures-lostFailures, 8), lostMax)
	}
}

// isLost reports whether a failure domain counts as lost.
func (p *PoolState) isLost(now time.Duration, name string) bool {
	d := p.domains[name]
	return d != nil && now < d.lostUntil
}
