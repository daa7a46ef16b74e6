package balance

import "time"

// peerLoads joins two kinds of knowledge about foreign load: each peer's count
// of its own attempts, exact but some milliseconds old, and the endpoint's
// report on an answer, which counts everybody.
type peerLoads struct {
	// mean is the smoothed foreign load of an endpoint as reported.
	mean  float64
	rows  []peerRow
	peers []peerState
	// own[i*len(peers)+j] is peer j's count at endpoint i.
	own []int32
}

type peerRow struct {
	// sum of the counts of the peers that are believed.
	sum int32
	// extra is what a report showed beyond sum, negative if less.
	extra   int32
	extraAt time.Duration
	// toldAt is when the latest of the counts was true.
	toldAt time.Duration
}

type peerState struct {
	heard    time.Duration
	believed bool
}

func (l *peerLoads) reset(endpoints, peers int) {
	l.rows = make([]peerRow, endpoints)
	l.peers = make([]peerState, peers)
	l.own = make([]int32, endpoints*peers)
}

// told takes in a peer's count. What a report showed beyond the counts is
// explained by the peer's change, as far as both go the same way.
func (l *peerLoads) told(i int, load PeerLoad) {
	if load.From < 0 || load.From >= len(l.peers) {
		return
	}
	peer := &l.peers[load.From]
	peer.believed = true
	peer.heard = max(peer.heard, load.At)
	at := i*len(l.peers) + load.From
	change := load.Own - l.own[at]
	l.own[at] = load.Own
	row := &l.rows[i]
	row.sum += change
	row.toldAt = max(row.toldAt, load.At)
	switch {
	case row.extra > 0 && change > 0:
		row.extra -= min(row.extra, change)
	case row.extra < 0 && change < 0:
		row.extra -= max(row.extra, change)
	}
}

// sighted takes in the whole foreign load as an endpoint reported it.
func (l *peerLoads) sighted(at time.Duration, i int, foreign int32) {
	row := &l.rows[i]
	row.extra = foreign - row.sum
	row.extraAt = at
	l.mean += meanWeight * (float64(foreign) - l.mean)
}

// expire forgets the counts of peers that fell silent.
func (l *peerLoads) expire(now time.Duration) {
	for j := range l.peers {
		peer := &l.peers[j]
		if !peer.believed || now-peer.heard <= peerSilence {
			continue
		}
		peer.believed = false
		for i := range l.rows {
			at := i*len(l.peers) + j
			l.rows[i].sum -= l.own[at]
			l.own[at] = 0
		}
	}
}

// foreign estimates the foreign load at endpoint i. What is known fades with
// the service time, so that an entry that hears nothing more does not take the
// pool for full for ever. For a request that is refused at the cost of a round
// trip if the endpoint is not idle, this hopeful view is right.
func (l *peerLoads) foreign(now time.Duration, i int, service float64) float64 {
	load, _ := l.rows[i].known(now, service)
	return load
}

// expected estimates the foreign load as well, but what is known fades towards
// the mean. For a request that would have to queue, an endpoint of which nothing
// is known must not look better than one seen with little load.
func (l *peerLoads) expected(now time.Duration, i int, service float64) float64 {
	load, left := l.rows[i].known(now, service)
	return load + l.mean*(1-left)
}

// known returns what is left of the known foreign load and the share of the
// knowledge that is left. Peers' counts hold for a part of the service time, as
// an attempt does, and then fade fast; a report, which says nothing of the
// attempts' ages, fades from the start.
func (r *peerRow) known(now time.Duration, service float64) (load, left float64) {
	reported := service / (service + float64(max(0, now-r.extraAt)))
	age := float64(max(0, now-r.toldAt)) / service
	told := 1 / (1 + age*age)
	load = max(0, float64(r.sum)*told+float64(r.extra)*reported)
	return load, max(told, reported)
}

// meanWeight is the weight of a report in the mean.
const meanWeight = 0.05
