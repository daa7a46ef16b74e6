package core

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tealhall/tealhall/internal/core/budget"
)

// newBoundedCluster starts a fleet of four entries with a bound on repeats, and returns the state of
// their paths to all endpoints, as newRelayCluster does.
func newBoundedCluster(t *testing.T) (*clusterHarness, map[*node]paths) {
	h, states := newRelayCluster(t, 4)
	h.boundRepeats(budget.RepeatBound{Share: 0.2, Window: 10 * sec})
	return h, states
}

func (h *clusterHarness) boundRepeats(bound budget.RepeatBound) {
	for _, n := range h.nodes {
		for _, p := range n.poolRows {
			p.repeats = budget.NewRepeats(bound, len(h.nodes), 0)
		}
	}
}

// counted returns the requests and repeats that all entries count for the bound on repeats.
func (h *clusterHarness) counted() (requests, repeats int) {
	for _, n := range h.nodes {
		for _, p := range n.poolRows {
			own, spent := p.repeats.Counted(h.now - n.started)
			requests += own
			repeats += spent
		}
	}
	return requests, repeats
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
		counted, _ := h.counted()
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
	if counted, _ := h.counted(); counted != sent {
		t.Errorf("%d requests were counted of %d sent", counted, sent)
	}
}

// Guards against attempts beyond the first of a request that reach an endpoint without being spent from
// the fleet's bound on repeats, whichever entries and endpoints fail in between.
func TestEachRepeatIsSpentFromTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h, states := newRelayCluster(t, 4)
		h.boundRepeats(budget.RepeatBound{Share: 10, Window: time.Hour})
		h.tick = 10 * ms
		kinds := []string{"answers", "refuses", "not dialled", "not sent", "lost", "silent", "answers 500", "slow"}
		arrived := map[string]int{}
		cut := rapid.IntRange(0, 3).Draw(rt, "cut for good")
		for range rapid.IntRange(3, 12).Draw(rt, "steps") {
			kindOf := map[string]string{}
			for _, name := range []string{"s1", "s2", "s3", "s4", "c1", "c2", "c3", "c4", "c5", "c6"} {
				kindOf[name] = rapid.SampledFrom(kinds).Draw(rt, name)
			}
			h.endpoint = func(name string, a Arrival) reaction {
				re := reactions[kindOf[name]]
				if re.end.Kind != EndNotWritten {
					arrived[requestText(a)]++
				}
				return re
			}
			for i, n := range h.nodes {
				states[n] = pathsRefuse
				if i >= cut {
					states[n] = rapid.SampledFrom([]paths{pathsWork, pathsWork, pathsRefuse, pathsSilent}).Draw(rt, "paths")
				}
				for _, service := range []string{"photos", "checks", "hedged"} {
					h.sendRequest(n, Arrival{Service: service, Caller: uint64(i)})
				}
				h.run(time.Duration(rapid.IntRange(1, 40).Draw(rt, "gap")) * ms)
			}
		}
		clear(states)
		h.run(5 * sec)
		beyond := 0
		for _, n := range arrived {
			beyond += n - 1
		}
		if _, spent := h.counted(); beyond > spent {
			rt.Fatalf("%d attempts beyond the first of their request reached endpoints, %d were spent", beyond, spent)
		}
	})
}
