package balance

import (
	"slices"
	"time"
)

// peerLoads combines two sources of the foreign load: each peer's count of its own attempts, which
// is exact but some milliseconds old, and the endpoint's load reported with an answer, which
// counts the requests of all entries.
type peerLoads struct {
	// mean is the smoothed foreign load of an endpoint as reported.
	mean float64
	// oldest is the earliest heard time of the valid peers, as of the latest call of expire.
	oldest    time.Duration
	endpoints []endpointLoad
	peers     []peerState
	// counts[i*len(peers)+j] is peer j's count at endpoint i.
	counts []int32
}

// endpointLoad is the foreign load of one endpoint.
type endpointLoad struct {
	// sum is the total of the valid peers' counts.
	sum int32
	// extra is the reported load beyond sum, negative if the report shows less.
	extra   int32
	extraAt time.Duration
}

// peerState says when a peer's counts were last true, and whether they are still used.
type peerState struct {
	heard time.Duration
	valid bool
}

func (l *peerLoads) reset(endpoints, peers int) {
	l.endpoints = cleared(l.endpoints, endpoints)
	l.peers = cleared(l.peers, peers)
	l.counts = cleared(l.counts, endpoints*peers)
}

// cleared returns n zero elements, in the memory of s if that is large enough.
func cleared[T any](s []T, n int) []T {
	s = slices.Grow(s[:0], n)[:n]
	clear(s)
	return s
}

// setPeerCount records a peer's count of its own attempts at endpoint i. If the peer's count
// changed in the direction in which the endpoint's report differs from the sum of the counts, that
// difference is reduced by the change.
func (l *peerLoads) setPeerCount(i int, load PeerLoad) {
	if load.From < 0 || load.From >= len(l.peers) {
		return
	}
	l.noteHeard(load.From, load.At)
	at := i*len(l.peers) + load.From
	change := load.Attempts - l.counts[at]
	l.counts[at] = load.Attempts
	e := &l.endpoints[i]
	e.sum += change
	switch {
	case e.extra > 0 && change > 0:
		e.extra -= min(e.extra, change)
	case e.extra < 0 && change < 0:
		e.extra -= max(e.extra, change)
	}
}

// noteHeard records that a peer's counts were true at the given time, whether they changed or not.
func (l *peerLoads) noteHeard(from int, at time.Duration) {
	if from < 0 || from >= len(l.peers) {
		return
	}
	peer := &l.peers[from]
	peer.valid = true
	peer.heard = max(peer.heard, at)
}

// setReported records the whole foreign load as an endpoint reported it.
func (l *peerLoads) setReported(at time.Duration, i int, foreign int32) {
	e := &l.endpoints[i]
	e.extra = foreign - e.sum
	e.extraAt = at
	l.mean += meanWeight * (float64(foreign) - l.mean)
}

// expire drops the counts of peers from which nothing was heard for longer than silence.
func (l *peerLoads) expire(now, silence time.Duration) {
	l.oldest = now
	for j := range l.peers {
		peer := &l.peers[j]
		if !peer.valid {
			continue
		}
		if now-peer.heard > silence {
			l.forget(j)
			continue
		}
		l.oldest = min(l.oldest, peer.heard)
	}
}

func (l *peerLoads) forget(j int) {
	l.peers[j].valid = false
	for i := range l.endpoints {
		at := i*len(l.peers) + j
		l.endpoints[i].sum -= l.counts[at]
		l.counts[at] = 0
	}
}

// foreign estimates the foreign load at endpoint i. The known load decays towards zero with the
// service time, so that an entry that gets no further reports does not consider the pool full
// forever. This optimistic estimate is for requests that the endpoint refuses if no slot is idle: a
// wrong estimate then costs one round trip.
func (l *peerLoads) foreign(now time.Duration, i int, service float64) float64 {
	load, _ := l.known(now, i, service)
	return load
}

// expected estimates the foreign load as well, but the known load decays towards the mean. For a
// request that would have to queue, an endpoint of which nothing is known must not look better
// than an endpoint that reported little load.
func (l *peerLoads) expected(now time.Duration, i int, service float64) float64 {
	load, left := l.known(now, i, service)
	return load + l.mean*(1-left)
}

// known returns the foreign load at endpoint i after its decay, and the share of its weight that
// the decay has left. Peers' counts stay valid for a part of the service time, as an attempt lasts
// that long, and then decay fast. A report decays from the start, since it does not say how long
// the attempts have been running.
func (l *peerLoads) known(now time.Duration, i int, service float64) (load, left float64) {
	e := &l.endpoints[i]
	reported := service / (service + float64(max(0, now-e.extraAt)))
	age := float64(max(0, now-l.oldest)) / service
	counted := 1 / (1 + age*age)
	load = max(0, float64(e.sum)*counted+float64(e.extra)*reported)
	if e.sum == 0 {
		return load, reported
	}
	return load, max(counted, reported)
}

// meanWeight is the weight of one report in the mean.
const meanWeight = 0.05
