package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/queue"
)

const (
	// peerSlotsSilence is how long a peer's counts are believed without news.
	peerSlotsSilence = 2 * time.Second
	// serviceTimeTTL is how long the measured time of an endpoint that gets no
	// request is believed.
	serviceTimeTTL = time.Minute
)

// peerSlots are what other entries say of their own attempts at the endpoints of
// a pool.
type peerSlots struct {
	// byPeer are each peer's counts, by the index of the endpoint.
	byPeer map[uint64][]int32
	// total adds them up.
	total []int32
}

// set takes in a peer's count at one endpoint.
func (s *peerSlots) set(peer uint64, index int, count int32) {
	if s.byPeer == nil {
		s.byPeer = make(map[uint64][]int32)
	}
	counts := s.byPeer[peer]
	for len(counts) <= index {
		counts = append(counts, 0)
	}
	for len(s.total) <= index {
		s.total = append(s.total, 0)
	}
	s.total[index] += count - counts[index]
	counts[index] = count
	s.byPeer[peer] = counts
}

// forget drops a peer's counts.
func (s *peerSlots) forget(peer uint64) {
	for index, count := range s.byPeer[peer] {
		s.total[index] -= count
	}
	delete(s.byPeer, peer)
}

// forgetRow drops all counts at an index, which another endpoint takes.
func (s *peerSlots) forgetRow(index int) {
	if index >= len(s.total) {
		return
	}
	s.total[index] = 0
	for _, counts := range s.byPeer {
		if index < len(counts) {
			counts[index] = 0
		}
	}
}

// at returns what the peers hold at an endpoint.
func (s *peerSlots) at(index int) int32 {
	if index >= len(s.total) {
		return 0
	}
	return s.total[index]
}

// expirePeerSlots drops the counts of peers that are silent or gone. Guards
// against slots that nobody holds any more and that would stay closed to work
// of low priority.
func (c *Core) expirePeerSlots(now time.Duration) {
	for _, p := range c.poolRows {
		for incarnation := range p.peerSlots.byPeer {
			known, ok := c.fleet.peers[incarnation]
			if !ok || now-known.heard > peerSlotsSilence {
				p.peerSlots.forget(incarnation)
			}
		}
	}
}

// slotsInUse counts the pool's slots that this entry or its peers hold.
func (p *pool) slotsInUse() int {
	inUse := 0
	for i := range p.Endpoints {
		if e := &p.Endpoints[i]; e.TakesWork() {
			inUse += int(min(e.Slots, e.Outstanding+p.peerSlots.at(i)))
		}
	}
	return inUse
}

// withinShare says whether a service that others go before may take one more
// slot as far as the whole fleet is concerned, and lowers the free slots by what
// peers hold. Its share of the pool is divided among the entries that serve it;
// beyond its part it may use what nobody holds, as long as all slots held in the
// pool together are within its share.
//
// It guards against entries that each keep within a share of their own and fill
// the pool together: urgent requests would wait for whole bulk requests.
func (p *pool) withinShare(users []queue.SlotUser, index int, capacity *queue.Capacity) bool {
	if !yieldsToOthers(users, index) {
		return true
	}
	inUse := p.slotsInUse()
	capacity.Free = min(capacity.Free, capacity.Slots-inUse)
	share := int(users[index].Share * float64(capacity.Slots))
	ownShare := max(1, share/max(1, p.services[index].entries))
	return users[index].InUse < ownShare || inUse < share
}

// yieldsToOthers says whether another holder goes before.
func yieldsToOthers(users []queue.SlotUser, index int) bool {
	for i := range users {
		if users[i].Priority > users[index].Priority {
			return true
		}
	}
	return false
}

// forgetOldServiceTimes drops the measured time of endpoints that got no request for
// long. Guards against a straggler's time that outlives the straggler: an
// endpoint that is taken to be slow gets no request while others suffice, so
// nothing would correct it, and its slots would be missing at the next rush.
func (p *pool) forgetOldServiceTimes(now time.Duration) {
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if e.Outstanding == 0 && now-e.Health.SampledAt > serviceTimeTTL {
			e.ServiceNanos = 0
		}
	}
}
