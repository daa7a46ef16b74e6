package core

import (
	"testing"

	"github.com/tealhall/tealhall/internal/core/budget"
)

// newBoundedCluster starts a fleet of four entries with a bound on repeats, and returns the state of
// their paths to all endpoints, as newRelayCluster does.
func newBoundedCluster(t *testing.T) (*clusterHarness, map[*node]paths) {
	h, states := newRelayCluster(t, 4)
	for _, n := range h.nodes {
		for _, p := range n.poolRows {
			p.repeats = budget.NewRepeats(budget.RepeatBound{Share: 0.2, Window: 10 * sec}, len(h.nodes), 0)
		}
	}
	return h, states
}

// countedRequests returns the requests that all entries count for the bound on repeats.
func (h *clusterHarness) countedRequests() (counted int) {
	for _, n := range h.nodes {
		for _, p := range n.poolRows {
			requests, _ := p.repeats.Counted(h.now - n.started)
			counted += requests
		}
	}
	return counted
}

// Guards against a request that counts for the fleet's bound on repeats at the entry that took it and
// at the helpers as well: the bound then allows repeats that no request has earned.
func TestRelayedRequestsCountOnceForTheBoundOnRepeats(t *testing.T) {
	for _, state := range []paths{pathsSilent, pathsRefuse} {
		h, states := newBoundedCluster(t)
		sent, relayed := 0, uint64(0)
		for step := range 16 {
			// Two entries lose their paths again and again, so that many requests arrive there before the
			// cut is known.
			clear(states)
			for _, n := range h.nodes[:2] {
				if step%2 == 0 {
					states[n] = state
				}
			}
			for range 5 {
				for _, n := range h.nodes {
					h.sendRequest(n, Arrival{Service: "photos", Caller: uint64(h.nextID)})
					sent++
				}
				h.run(100 * ms)
			}
		}
		for _, n := range h.nodes {
			relayed += n.Counters().RelayedHere
		}
		counted := h.countedRequests()
		if t.Logf("state %v: %d sent, %d relayed, %d counted", state, sent, relayed, counted); counted > sent || relayed < 20 {
			t.Errorf("%d requests were counted of %d sent, %d were relayed", counted, sent, relayed)
		}
	}
}

// Guards against a request with a key that counts for the fleet's bound on repeats at the entry that
// took it and at the home of its key as well.
func TestForwardedRequestsCountOnceForTheBoundOnRepeats(t *testing.T) {
	h, _ := newBoundedCluster(t)
	const sent = 10
	for range sent {
		h.sendRequest(h.nodes[0], Arrival{Service: "waste", Key: h.key(h.nodes[1]), HasKey: true})
		h.run(100 * ms)
	}
	if counted := h.countedRequests(); counted != sent {
		t.Errorf("%d requests were counted of %d sent", counted, sent)
	}
}
