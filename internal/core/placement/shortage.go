package placement

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// The load that this answers: for some seconds more requests come than endpoints can
// answer in time. Each request that finds a slot takes it, whatever it is worth, and those
// of a high priority find none as often as the others.

// priorities is how many there are; a higher one goes first.
const priorities = 10

// A pool counts as short of room for a while after a request that could be in time found
// none: about as long as endpoints keep a state, and until some more requests have come,
// since an entry that sees a few requests a second hardly ever sees two within that time.
const (
	shortLasts    = 200 * time.Millisecond
	shortArrivals = 4
	shortMost     = 2 * time.Second
	// gapWeight is the weight of a new time between two requests.
	gapWeight = 0.1
)

// NoteArrival notes a request for the pool.
func (p *Pool) NoteArrival(now time.Duration) {
	if p.arrivedAt > 0 {
		p.gap += gapWeight * (float64(min(now-p.arrivedAt, shortMost)) - p.gap)
	}
	p.arrivedAt = now
}

// shortFor is for how long the pool counts as short.
func (p *Pool) shortFor() time.Duration {
	return min(max(shortLasts, time.Duration(shortArrivals*p.gap)), shortMost)
}

// NoteShort notes that a request of a priority that could be in time found no room.
func (p *Pool) NoteShort(now time.Duration, priority int) {
	p.shortAt[min(max(priority, 0), priorities-1)] = now
}

// shortFrom reports whether requests of a priority or a higher one found no room a moment
// ago.
func (p *Pool) shortFrom(now time.Duration, priority int) bool {
	lasts := p.shortFor()
	for _, at := range p.shortAt[min(max(priority, 0), priorities):] {
		if at > 0 && now-at < lasts {
			return true
		}
	}
	return false
}

// keeps reports whether the last slot of an endpoint that can be used well is kept for
// requests of a higher priority than the given one, which found none a moment ago. One
// that has a single such slot keeps none: the lower ones would get nothing at all.
func (p *Pool) keeps(now time.Duration, priority int, e *table.Endpoint) bool {
	most := wellUsed(max(1, e.Look.Slots))
	return most > 1 && e.Look.Load() >= most-1 && p.shortFrom(now, priority+1)
}
