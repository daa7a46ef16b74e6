package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/queue"
)

const (
	// peerSlotsSilence is how long a peer's counts are believed without news.
	peerSlotsSilence = 2 * time.Second
	// timeMemory is how long the measured time of an endpoint that gets no
	// request is believed.
	timeMemory = time.Minute
)

// peerSlots are what other entries say of their own attempts at the endpoints of
// a pool.
type peerSlots struct {
	// own are each peer's counts, by the index of the endpoint.
	own map[uint64][]int32
	// sum adds them up.
	sum []int32
}

// set takes in a peer's count at one endpoint.
func (h *peerSlots) set(peer uint64, index int, own int32) {
	if h.own == nil {
		h.own = make(map[uint64][]int32)
	}
	counts := h.own[peer]
	for len(counts) <= index {
		counts = append(counts, 0)
	}
	for len(h.sum) <= index {
		h.sum = append(h.sum, 0)
	}
	h.sum[index] += own - counts[index]
	counts[index] = own
	h.own[peer] = counts
}

// forget drops a peer's counts.
func (h *peerSlots) forget(peer uint64) {
	for index, own := range h.own[peer] {
		h.sum[index] -= own
	}
	delete(h.own, peer)
}

// forgetRow drops all counts at an index, which another endpoint takes.
func (h *peerSlots) forgetRow(index int) {
	if index >= len(h.sum) {
		return
	}
	h.sum[index] = 0
	for _, counts := range h.own {
		if index < len(counts) {
			counts[index] = 0
		}
	}
}

// at returns what the peers hold at an endpoint.
func (h *peerSlots) at(index int) int32 {
	if index >= len(h.sum) {
		return 0
	}
	return h.sum[index]
}

// expirePeerSlots drops the counts of peers that are silent or gone. Guards
// against slots that nobody holds any more and that would stay closed to work
// of low priority.
func (c *Core) expirePeerSlots(now time.Duration) {
	for _, p := range c.poolRows {
		for incarnation := range p.peerSlots.own {
			known, ok := c.fleet.peers[incarnation]
			if !ok || now-known.heard > peerSlotsSilence {
				p.peerSlots.forget(incarnation)
			}
		}
	}
}

// slotsInUse counts the pool's slots that this entry or its peers hold.
func (p *pool) slotsInUse() int {
	taken := 0
	for i := range p.Endpoints {
		if e := &p.Endpoints[i]; e.TakesWork() {
			taken += int(min(e.Slots, e.Outstanding+p.peerSlots.at(i)))
		}
	}
	return taken
}

// withinShare says whether a service that others go before may take one more
// slot as far as the whole fleet is concerned, and lowers the free slots by what
// peers hold. Its share of the pool is divided among the entries that serve it;
// beyond its part it may use what nobody holds, as long as all slots held in the
// pool together are within its share.
//
// It guards against entries that each keep within a share of their own and fill
// the pool together: urgent requests would wait for whole bulk requests.
func (p *pool) withinShare(holders []queue.SlotUser, me int, capacity *queue.Capacity) bool {
	if !yields(holders, me) {
		return true
	}
	taken := p.slotsInUse()
	capacity.Free = min(capacity.Free, capacity.Slots-taken)
	share := int(holders[me].Share * float64(capacity.Slots))
	part := max(1, share/max(1, p.services[me].entries))
	return holders[me].InUse < part || taken < share
}

// yields says whether another holder goes before.
func yields(holders []queue.SlotUser, me int) bool {
	for i := range holders {
		if holders[i].Priority > holders[me].Priority {
			return true
		}
	}
	return false
}

// forgetOldTimes drops the measured time of endpoints that got no request for
// long. Guards against a straggler's time that outlives the straggler: an
// endpoint that is taken to be slow gets no request while others suffice, so
// nothing would correct it, and its slots would be missing at the next rush.
func (p *pool) forgetOldTimes(now time.Duration) {
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if e.Outstanding == 0 && now-e.Health.SampledAt > timeMemory {
			e.ServiceNanos = 0
		}
	}
}
