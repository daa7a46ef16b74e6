package balance

import "time"

// peerLoads joins two kinds of knowledge about foreign load: each peer's count
// of its own attempts, exact but some milliseconds old, and the endpoint's
// report on an answer, which counts everybody.
type peerLoads struct {
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

// foreign estimates the foreign load at endpoint i. Peers' counts hold until
// the peer is heard again or falls silent; what only a report showed fades with
// the service time, so that an entry that hears nothing more does not take the
// pool for full for ever.
func (l *peerLoads) foreign(now time.Duration, i int, service float64) float64 {
	row := &l.rows[i]
	left := service / (service + float64(max(0, now-row.extraAt)))
	return max(0, float64(row.sum)+float64(row.extra)*left)
}
