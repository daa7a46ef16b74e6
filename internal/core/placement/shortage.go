package placement

import "time"

// For some seconds more requests may arrive than endpoints can answer in time. Each slot that a
// late request uses is then missing for a request that arrives a moment later and could be in
// time.

// A pool counts as short of room for a while after a request that could be in time found none: for
// about as long as the load and the pace of an endpoint usually last, and until some more requests
// have arrived, since an entry with a few requests per second hardly ever sees two within that
// time.
const (
	shortMin      = 200 * time.Millisecond
	shortArrivals = 4
	shortMax      = 2 * time.Second
	// gapWeight is the weight of a new time between two arrivals.
	gapWeight = 0.1
)

// NoteArrival records the arrival of a request for the pool.
func (p *PoolState) NoteArrival(now time.Duration) {
	if p.arrivedAt > 0 {
		p.arrivalGap += gapWeight * (float64(min(now-p.arrivedAt, shortMax)) - p.arrivalGap)
	}
	p.arrivedAt = now
}

// shortFor returns how long the pool counts as short of room.
func (p *PoolState) shortFor() time.Duration {
	return min(max(shortMin, time.Duration(shortArrivals*p.arrivalGap)), shortMax)
}

// NoteShortage records that a request that could be in time found no room.
func (p *PoolState) NoteShortage(now time.Duration) { p.shortAt = now }

// IsShort reports whether a request that could be in time found no room a moment ago.
func (p *PoolState) IsShort(now time.Duration) bool {
	return p.shortAt > 0 && now-p.shortAt < p.shortFor()
}
