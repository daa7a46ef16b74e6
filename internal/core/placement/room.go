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
	// initialSlowdown is the factor by which work is assumed to take longer at nearly full
	// endpoints before it was measured; it counts like initialSlowdownSamples measurements. It is
	// large enough that no endpoint with several slots is filled, since a peak that fills all of
	// them at its beginning keeps them full. maxSlowdown bounds a measurement.
	initialSlowdown        = 1.6
	initialSlowdownSamples = 3
	maxSlowdown            = 4.0
	// Until there are enoughSlowdownSamples measurements, one request per fillTrialEvery is sent to
	// an endpoint that it makes nearly full. If that causes no slowdown, all slots are used
	// afterwards.
	enoughSlowdownSamples = 6
	fillTrialEvery        = 10 * time.Second
	// slowdownWeight is the weight of a new measurement. The first ones weigh more: at low load
	// few requests make an endpoint nearly full, and the cost would otherwise be known only after
	// a peak has filled all endpoints.
	slowdownWeight = 0.08
	// littleSlowdown is the slowdown up to which nearly full endpoints count as about as fast as
	// others.
	littleSlowdown = 1.2
)

// PoolState is what an entry learns about the endpoints of a pool. Create it with NewPoolState.
type PoolState struct {
	// slowdown is the factor by which work takes longer at nearly full endpoints, by
	// slowdownSamples measurements.
	slowdown        float64
	slowdownSamples int
	// fillTrialAt is when an endpoint may next be made nearly full to measure the slowdown.
	fillTrialAt time.Duration
	// headroomShare is the smoothed share of load probes that found headroom.
	headroomShare float64
	// shortAt is when a request that could be in time last found no room, 0 for never.
	shortAt time.Duration
	// arrivedAt is when the latest request arrived, and arrivalGap the smoothed time between two
	// arrivals, in nanoseconds.
	arrivedAt  time.Duration
	arrivalGap float64
	// domains has the state of the failure domains by their names.
	domains map[string]*domainState
}

// NewPoolState returns the state before anything was learned.
func NewPoolState() PoolState {
	return PoolState{slowdown: initialSlowdown, headroomShare: initialHeadroomShare}
}

const (
	// maxBatch is the largest number of endpoints that are probed at a time.
	maxBatch = 3
	// initialHeadroomShare is the assumed share of load probes that find headroom before the first
	// probe, and headroomWeight the weight of one probe.
	initialHeadroomShare = 0.5
	headroomWeight       = 0.05
)

// NoteProbe records the result of a load probe of an endpoint.
func (p *PoolState) NoteProbe(e *table.Endpoint) {
	found := 0.0
	if HasHeadroom(e) {
		found = 1
	}
	p.headroomShare += headroomWeight * (found - p.headroomShare)
}

// Batch returns how many endpoints to probe at a time: as many as it usually takes to find one with
// headroom. A further probe round costs a round trip, a fraction of a millisecond in the entry's
// own domain; an unnecessary probe costs the endpoint the work of answering it.
func (p *PoolState) Batch() int {
	return int(min(max(math.Round(1/max(p.headroomShare, 1.0/maxBatch)), 1), maxBatch))
}

// HeadroomShare returns the smoothed share of load probes that found headroom.
func (p *PoolState) HeadroomShare() float64 { return p.headroomShare }

// Slowdown returns the factor by which work takes longer at nearly full endpoints.
func (p *PoolState) Slowdown() float64 { return p.slowdown }

// NoteSlowdown records the latency of a request that made its endpoint nearly full; work is the
// usual time at other endpoints.
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

// MakesNearlyFull reports whether one more request makes the endpoint nearly full, by its probed
// load.
func MakesNearlyFull(e *table.Endpoint) bool {
	return makesNearlyFull(e.Probed.Load(), max(1, e.Probed.Slots))
}

// maxBelowNearlyFull returns the largest number of requests with which an endpoint is not nearly
// full.
func maxBelowNearlyFull(slots int32) int32 {
	return max(1, int32(math.Ceil(nearlyFull*float64(slots)))-1)
}

// overfills reports whether one more request would make an endpoint nearly full where nearly full
// endpoints have less throughput than those with a free slot. With six slots and work that takes
// 1.7 times as long at five and six requests, four requests at a time complete 4 requests in the
// time in which six complete 3.5. The rule guards against a peak whose load the endpoints could
// serve, but which lasts because every endpoint was filled at its beginning.
func (p *PoolState) overfills(now time.Duration, e *table.Endpoint) bool {
	if !MakesNearlyFull(e) || p.slowdownSamples < enoughSlowdownSamples && now >= p.fillTrialAt {
		return false
	}
	slots := max(1, e.Probed.Slots)
	return float64(slots)/p.slowdown <= float64(maxBelowNearlyFull(slots))
}

// NoteFill records that a request was sent to an endpoint that it makes nearly full.
func (p *PoolState) NoteFill(now time.Duration) { p.fillTrialAt = now + fillTrialEvery }

// HasHeadroom reports whether an endpoint has headroom by its probed load: it would start one
// more request at once, at the usual pace, and would not be nearly full afterwards. An endpoint
// with six slots is seldom idle but usually has headroom: when probe rounds ended only at an idle
// endpoint, a request used all its load probes, six on a quiet day.
func HasHeadroom(e *table.Endpoint) bool {
	return e.HasRoom() && Pace(&e.Probed) <= 1 && !MakesNearlyFull(e)
}

// full reports whether an endpoint has no room that is worth using, by its probed load.
func (p *PoolState) full(now time.Duration, e *table.Endpoint) bool {
	return !e.HasRoom() || p.overfills(now, e)
}

// Fullness counts the endpoints that take work (live), how many of these have a recent probed load
// (known), and how many of the latter are full.
func (p *PoolState) Fullness(now time.Duration, endpoints []table.Endpoint) (live, known, full int) {
	for i := range endpoints {
		e := &endpoints[i]
		if !e.TakesWork() {
			continue
		}
		live++
		if !e.Probed.Seen || now-e.Probed.At > fullFor || quota.IsThrottled(e) {
			continue // a throttled endpoint may look idle but has no room for other requests
		}
		known++
		if p.full(now, e) {
			full++
		}
	}
	return live, known, full
}

// MostlyFull reports whether at least half of the endpoints with a known load have no room.
// Requests that are sent to them without a probe would queue there, and all later requests, which
// could have waited in the entry for the first free slot, would find the endpoints full.
func (v *View) MostlyFull() bool {
	_, known, full := v.PoolState.Fullness(v.Now, v.Endpoints)
	return known > 0 && full*2 >= known
}
