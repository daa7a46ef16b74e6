package placement

import "time"

// The load that this answers: for some seconds more requests come than endpoints can
// answer in time. Each slot that a late one takes is missing to one that comes a moment
// later and could be in time.

// A pool counts as short of room for a while after a request that could be in time found
// none: about as long as endpoints keep a state, and until some more requests have come,
// since an entry that sees a few requests a second hardly ever sees two within that time.
const (
	shortMin      = 200 * time.Millisecond
	shortArrivals = 4
	shortMax      = 2 * time.Second
	// gapWeight is the weight of a new time between two requests.
	gapWeight = 0.1
)

// NoteArrival notes a request for the pool.
func (p *PoolState) NoteArrival(now time.Duration) {
	if p.arrivedAt > 0 {
		p.gap += gapWeight * (float64(min(now-p.arrivedAt, shortMax)) - p.gap)
	}
	p.arrivedAt = now
}

// shortFor is for how long the pool counts as short.
func (p *PoolState) shortFor() time.Duration {
	return min(max(shortMin, time.Duration(shortArrivals*p.gap)), shortMax)
}

// NoteShort notes that a request that could be in time found no room.
func (p *PoolState) NoteShort(now time.Duration) { p.shortAt = now }

// isShort reports whether a request that could be in time found no room a moment ago.
func (p *PoolState) isShort(now time.Duration) bool {
	return p.shortAt > 0 && now-p.shortAt < p.shortFor()
}
