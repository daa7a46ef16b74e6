package placement

import (
	"math"
	"time"

	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
)

const (
	// nearlyFull is the occupancy from which on some endpoints work more slowly.
	nearlyFull = 0.8
	// firstSharing is by how much longer work is taken to take there before it was
	// measured, as if by firstSharings measurements: so much that no endpoint with several
	// slots is filled, since a peak that fills all of them at its beginning keeps them full.
	// sharingMost bounds what is measured.
	firstSharing  = 1.6
	firstSharings = 3
	sharingMost   = 4.0
	// Until enoughSharings were measured, one request in trialEvery is sent to an endpoint
	// that it makes nearly full nevertheless: where that costs nothing, all slots are used
	// from then on.
	enoughSharings = 6
	trialEvery     = 10 * time.Second
	// sharingWeight is the weight of a new measurement. The first ones weigh more: while
	// load is low few requests make an endpoint nearly full, and what that costs would be
	// learned only when a peak has filled all of them.
	sharingWeight = 0.08
	// littleSharing is up to where nearly full endpoints work about as fast as others.
	littleSharing = 1.2
)

// Pool is what an entry learns of a pool's endpoints. Make it with NewPool.
type Pool struct {
	// sharing is by how much longer work takes at endpoints that are nearly full, by so
	// many measurements.
	sharing  float64
	sharings int
	// trialAt is when an endpoint may be filled next to learn what that costs.
	trialAt time.Duration
	// easy is the smoothed part of looks that found easy room.
	easy float64
	// shortAt is when a request that could be in time last found no room, 0 for never.
	shortAt time.Duration
	// arrivedAt is when the latest request came, and gap the smoothed time between two, in
	// nanoseconds.
	arrivedAt time.Duration
	gap       float64
	// domains are the failure domains in which the latest contact failed.
	domains map[string]*domain
}

// NewPool returns what is known before anything was learned.
func NewPool() Pool { return Pool{sharing: firstSharing, easy: firstEasy} }

const (
	// mostAsked is how many endpoints are asked at a time at most.
	mostAsked = 3
	// firstEasy is the part of looks taken to find easy room before any was made, and
	// easyWeight the weight of a new one.
	firstEasy  = 0.5
	easyWeight = 0.05
)

// NoteProbe learns from a look at an endpoint.
func (p *Pool) NoteProbe(e *table.Endpoint) {
	found := 0.0
	if HasEasyRoom(e) {
		found = 1
	}
	p.easy += easyWeight * (found - p.easy)
}

// Batch is how many endpoints to ask at a time: as many as it commonly takes to find one
// with easy room. A further round of looks costs a round trip, a fraction of a millisecond
// in the own domain, and a look that was not needed costs the endpoint one.
func (p *Pool) Batch() int {
	return int(min(max(math.Round(1/max(p.easy, 1.0/mostAsked)), 1), mostAsked))
}

// Sharing returns by how much longer work takes at endpoints that are nearly full.
func (p *Pool) Sharing() float64 { return p.sharing }

// NoteSharing learns from an answer of an endpoint that the request made nearly full; work
// is what it commonly takes elsewhere.
func (p *Pool) NoteSharing(latency, work time.Duration) {
	if work <= 0 {
		return
	}
	times := min(max(float64(latency)/float64(work), 1), sharingMost)
	p.sharings++
	p.sharing += max(sharingWeight, 1/float64(firstSharings+p.sharings)) * (times - p.sharing)
}

// fills reports whether one more request makes an endpoint nearly full.
func fills(load, slots int32) bool {
	return load > 0 && float64(load+1) >= nearlyFull*float64(slots)
}

// Fills reports whether one more request makes the endpoint nearly full by what it told.
func Fills(e *table.Endpoint) bool { return fills(e.Probed.Load(), max(1, e.Probed.Slots)) }

// wellUsed is how many requests an endpoint holds at most without being nearly full.
func wellUsed(slots int32) int32 { return max(1, int32(math.Ceil(nearlyFull*float64(slots)))-1) }

// overfills reports whether one more request would make an endpoint nearly full, where
// nearly full ones get less done altogether than those with a slot to spare. With six slots
// and work that takes 1.7 times as long at five and six requests, four at a time get 4 done
// and six get 3.5. Guards against a peak of which the load alone could be borne, and that
// goes on for as long as it lasts because every endpoint was filled at its beginning.
func (p *Pool) overfills(now time.Duration, e *table.Endpoint) bool {
	if !Fills(e) || p.sharings < enoughSharings && now >= p.trialAt {
		return false
	}
	slots := max(1, e.Probed.Slots)
	return float64(slots)/p.sharing <= float64(wellUsed(slots))
}

// NoteFill notes that a request was sent to an endpoint that it makes nearly full.
func (p *Pool) NoteFill(now time.Duration) { p.trialAt = now + trialEvery }

// HasEasyRoom reports whether an endpoint told that it would begin one more request at
// once, at the usual pace, and without being nearly full then. With six slots one is
// hardly ever idle and mostly has easy room: asked for an idle one, a request used up all
// its looks, six on a quiet day.
func HasEasyRoom(e *table.Endpoint) bool {
	return e.HasRoom() && Pace(&e.Probed) <= 1 && !Fills(e)
}

// full reports whether an endpoint told that it has no room that is worth taking.
func (p *Pool) full(now time.Duration, e *table.Endpoint) bool {
	return !e.HasRoom() || p.overfills(now, e)
}

// Fullness counts the endpoints that take work, those of them that told their load within
// the last moment, and those that told then that they are full.
func (p *Pool) Fullness(now time.Duration, endpoints []table.Endpoint) (live, told, full int) {
	for i := range endpoints {
		e := &endpoints[i]
		if !e.TakesWork() {
			continue
		}
		live++
		if !e.Probed.Seen || now-e.Probed.At > fullLasts || quota.IsLimited(e) {
			continue // idle as it may seem, one that names a limit is no room for others
		}
		told++
		if p.full(now, e) {
			full++
		}
	}
	return live, told, full
}

// Crowded reports whether most endpoints of which something is known had no room when
// last heard of. What is sent to them blindly queues up there, and all later requests,
// which could have waited here for the first free slot, find them full.
func (v *View) Crowded() bool {
	_, told, full := v.Learned.Fullness(v.Now, v.Endpoints)
	return told > 0 && full*2 >= told
}
