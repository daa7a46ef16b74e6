package placement

import "time"

// The load that this answers: all endpoints of a failure domain go down at once. Those of the own
// domain are asked first, and each entry finds each of them out for itself, again after every short
// while for which it leaves one alone: requests end at endpoints that are gone while others have room.

const (
	// lostFailures is how many endpoints of a failure domain that can't be reached in a row, none
	// answering between, make it count as lost.
	lostFailures = 3
	// lostMin is for how long it counts so at first; twice as long with each further one, up
	// to lostMax. After that the next request asks it first again.
	lostMin = 250 * time.Millisecond
	lostMax = 2 * time.Second
)

// domainState is what is known of the endpoints of a pool in a failure domain.
type domainState struct {
	// failures counts contacts in a row that failed.
	failures  int
	lostUntil time.Duration
	// busy counts looks in a row that found no easy room, the latest at busyAt.
	busy   int
	busyAt time.Duration
}

// domainState returns what is known of a failure domain.
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

// NoteContact takes in whether an endpoint of a failure domain could be reached.
func (p *PoolState) NoteContact(now time.Duration, name string, reached bool) {
	d := p.domain(name)
	if reached {
		d.failures, d.lostUntil = 0, 0
		return
	}
	if now < d.lostUntil {
		return // contacts that were begun before
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
