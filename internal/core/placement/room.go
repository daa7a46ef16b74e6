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
	// initialSlowdown is by how much longer work is taken to take there before it was
	// measured, as if by initialSlowdownSamples measurements: so much that no endpoint with several
	// slots is filled, since a peak that fills all of them at its beginning keeps them full.
	// maxSlowdown bounds what is measured.
	initialSlowdown        = 1.6
	initialSlowdownSamples = 3
	maxSlowdown            = 4.0
	// Until enoughSlowdownSamples were measured, one request in fillTrialEvery is sent to an endpoint
	// that it makes nearly full nevertheless: where that costs nothing, all slots are used
	// from then on.
	enoughSlowdownSamples = 6
	fillTrialEvery        = 10 * time.Second
	// slowdownWeight is the weight of a new measurement. The first ones weigh more: while
	// load is low few requests make an endpoint nearly full, and what that costs would be
	// learned only when a peak has filled all of them.
	slowdownWeight = 0.08
	// littleSlowdown is up to where nearly full endpoints work about as fast as others.
	littleSlowdown = 1.2
)

// PoolState is what an entry learns of a pool's endpoints. Make it with NewPoolState.
type PoolState struct {
	// slowdown is by how much longer work takes at endpoints that are nearly full, by so
	// many measurements.
	slowdown        float64
	slowdownSamples int
	// fillTrialAt is when an endpoint may be filled next to learn what that costs.
	fillTrialAt time.Duration
	// easyShare is the smoothed part of looks that found easy room.
	easyShare float64
	// shortAt is when a request that could be in time last found no room, 0 for never.
	shortAt time.Duration
	// arrivedAt is when the latest request came, and gap the smoothed time between two, in
	// nanoseconds.
	arrivedAt time.Duration
	gap       float64
	// domains are the failure domains in which the latest contact failed.
	domains map[string]*domainState
}

// NewPoolState returns what is known before anything was learned.
func NewPoolState() PoolState {
	return PoolState{slowdown: initialSlowdown, easyShare: initialEasyShare}
}

const (
	// maxBatch is how many endpoints are asked at a time at most.
	maxBatch = 3
	// initialEasyShare is the part of looks taken to find easy room before any was made, and
	// easyWeight the weight of a new one.
	initialEasyShare = 0.5
	easyWeight       = 0.05
)

// NoteProbe learns from a look at an endpoint.
func (p *PoolState) NoteProbe(e *table.Endpoint) {
	found := 0.0
	if HasEasyRoom(e) {
		found = 1
	}
	p.easyShare += easyWeight * (found - p.easyShare)
}

// Batch is how many endpoints to ask at a time: as many as it commonly takes to find one
// with easy room. A further round of looks costs a round trip, a fraction of a millisecond
// in the own domain, and a look that was not needed costs the endpoint one.
func (p *PoolState) Batch() int {
	return int(min(max(math.Round(1/max(p.easyShare, 1.0/maxBatch)), 1), maxBatch))
}

// Slowdown returns by how much longer work takes at endpoints that are nearly full.
func (p *PoolState) Slowdown() float64 { return p.slowdown }

// NoteSlowdown learns from an answer of an endpoint that the request made nearly full; work
// is what it commonly takes elsewhere.
func (p *PoolState) NoteSlowdown(latency, work time.Duration) {
	if work <= 0 {
		return
	}
	sample := min(max(float64(latency)/float64(work), 1), maxSlowdown)
	p.slowdownSamples++
	p.slowdown += max(slowdownWeight, 1/float64(initialSlowdownSamples+p.slowdownSamples)) * (sample - p.slowdown)
}

// makesNearlyFull reports whether one more request makes an endpoint nearly full.
func makesNearlyFull(load, slots int32) bool {
	return load > 0 && float64(load+1) >= nearlyFull*float64(slots)
}

// MakesNearlyFull reports whether one more request makes the endpoint nearly full by what it told.
func MakesNearlyFull(e *table.Endpoint) bool {
	return makesNearlyFull(e.Probed.Load(), max(1, e.Probed.Slots))
}

// maxBelowNearlyFull is how many requests an endpoint holds at most without being nearly full.
func maxBelowNearlyFull(slots int32) int32 {
	return max(1, int32(math.Ceil(nearlyFull*float64(slots)))-1)
}

// overfills reports whether one more request would make an endpoint nearly full, where
// nearly full ones get less done altogether than those with a slot to spare. With six slots
// and work that takes 1.7 times as long at five and six requests, four at a time get 4 done
// and six get 3.5. Guards against a peak of which the load alone could be borne, and that
// goes on for as long as it lasts because every endpoint was filled at its beginning.
func (p *PoolState) overfills(now time.Duration, e *table.Endpoint) bool {
	if !MakesNearlyFull(e) || p.slowdownSamples < enoughSlowdownSamples && now >= p.fillTrialAt {
		return false
	}
	slots := max(1, e.Probed.Slots)
	return float64(slots)/p.slowdown <= float64(maxBelowNearlyFull(slots))
}

// NoteFill notes that a request was sent to an endpoint that it makes nearly full.
func (p *PoolState) NoteFill(now time.Duration) { p.fillTrialAt = now + fillTrialEvery }

// HasEasyRoom reports whether an endpoint told that it would begin one more request at
// once, at the usual pace, and without being nearly full then. With six slots one is
// hardly ever idle and mostly has easy room: asked for an idle one, a request used up all
// its looks, six on a quiet day.
func HasEasyRoom(e *table.Endpoint) bool {
	return e.HasRoom() && Pace(&e.Probed) <= 1 && !MakesNearlyFull(e)
}

// full reports whether an endpoint told that it has no room that is worth taking.
func (p *PoolState) full(now time.Duration, e *table.Endpoint) bool {
	return !e.HasRoom() || p.overfills(now, e)
}

// Fullness counts the endpoints that take work, those of them that told their load within
// the last moment, and those that told then that they are full.
func (p *PoolState) Fullness(now time.Duration, endpoints []table.Endpoint) (live, known, full int) {
	for i := range endpoints {
		e := &endpoints[i]
		if !e.TakesWork() {
			continue
		}
		live++
		if !e.Probed.Seen || now-e.Probed.At > fullFor || quota.IsLimited(e) {
			continue // idle as it may seem, one that names a limit is no room for others
		}
		known++
		if p.full(now, e) {
			full++
		}
	}
	return live, known, full
}

// Crowded reports whether most endpoints of which something is known had no room when
// last heard of. What is sent to them blindly queues up there, and all later requests,
// which could have waited here for the first free slot, find them full.
func (v *View) Crowded() bool {
	_, known, full := v.Learned.Fullness(v.Now, v.Endpoints)
	return known > 0 && full*2 >= known
}
