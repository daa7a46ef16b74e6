package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/health"
	"github.com/tealhall/tealhall/internal/core/placement"
	"github.com/tealhall/tealhall/internal/core/queue"
	"github.com/tealhall/tealhall/internal/core/table"
)

const (
	// peerSlotsSilence is how long a peer's counts stay valid without an update.
	peerSlotsSilence = 2 * time.Second
	// serviceTimeTTL is how long the measured service time of an endpoint stays valid while it gets
	// no requests.
	serviceTimeTTL = time.Minute
)

// peerSlots are the slots of a pool's endpoints that peers report as in use.
type peerSlots struct {
	// byPeer has each peer's counts, by the index of the endpoint.
	byPeer map[uint64][]int32
	// total has the sum of all peers' counts, by the index of the endpoint.
	total []int32
}

// set records a peer's count for one endpoint.
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

// forgetRow drops all counts for a row that is used again for another endpoint.
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

// at returns how many slots of an endpoint the peers use.
func (s *peerSlots) at(index int) int32 {
	if index >= len(s.total) {
		return 0
	}
	return s.total[index]
}

// expirePeerSlots drops the counts of peers that are silent or gone. Otherwise slots that are no
// longer in use would stay closed to requests of low priority.
func (c *Core) expirePeerSlots(now time.Duration) {
	for _, p := range c.poolRows {
		for incarnation := range p.peerSlots.byPeer {
			status, ok := c.fleet.peers[incarnation]
			if !ok || now-status.heardAt > peerSlotsSilence {
				p.peerSlots.forget(incarnation)
			}
		}
	}
}

// slotsInUse counts the pool's slots that this entry or its peers use.
func (p *pool) slotsInUse() int {
	inUse := 0
	for i := range p.Endpoints {
		if e := &p.Endpoints[i]; e.TakesWork() {
			inUse += int(min(e.Slots, e.Outstanding+p.peerSlots.at(i)))
		}
	}
	return inUse
}

// withinShare reports whether a service may occupy one more slot. It restricts a service only while
// another service of the pool has a higher priority; it then also subtracts the slots that peers
// use from capacity.Free. The service's share of the pool is divided among the entries that serve
// it. Beyond its part an entry may use free slots as long as all slots in use in the pool stay
// within the service's share.
//
// Without the fleet-wide bound each entry would keep within a share of its own while all of them
// together fill the pool, and urgent requests would wait for whole bulk requests.
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

// yieldsToOthers reports whether another slot user has a higher priority.
func yieldsToOthers(users []queue.SlotUser, index int) bool {
	for i := range users {
		if users[i].Priority > users[index].Priority {
			return true
		}
	}
	return false
}

// ageEndpoints updates what changes with time at the active endpoints, and ends the activity of those at
// which nothing does.
func (p *pool) ageEndpoints(now time.Duration) {
	p.Active(func(_ int, e *table.Endpoint) {
		forgetOldServiceTime(now, e)
		placement.AdvanceSlowStart(now, e)
	})
	p.Deactivate(func(e *table.Endpoint) bool {
		return e.ServiceNanos == 0 && e.SlowUntil == 0 && !health.IsRated(e)
	})
}

// forgetOldServiceTime drops the measured service time of an endpoint that got no request for a long
// time. Otherwise a straggler would keep its measured time after the cause is gone: an endpoint
// that counts as slow gets no request while others suffice, so nothing would correct the time, and
// its slots would be missing at the next peak.
func forgetOldServiceTime(now time.Duration, e *table.Endpoint) {
	if e.Outstanding == 0 && now-e.Health.SampledAt > serviceTimeTTL {
		e.ServiceNanos = 0
	}
}
