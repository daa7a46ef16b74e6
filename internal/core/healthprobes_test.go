package core

import (
	"fmt"
	"testing"
	"time"
)

// All entries start at once with empty views. Each believes for a while that it is alone and has to
// probe every endpoint; the fleet splits, an entry is replaced, and endpoints answer probes slowly.
// Without a bound, probes would keep endpoints busy at the callers' cost. Over a minute of that,
// all entries together spend at most the budgeted share of slot time in every window of 10 s, since
// each spends its fixed part of a budget for the largest fleet.
func TestHealthProbesStayWithinBudget(t *testing.T) {
	const entries, share, slots = 8, 0.04, 12
	for _, slow := range []time.Duration{0, 50 * ms} {
		h := newClusterHarness(t, entries)
		h.probeTime = h.probeTime + slow
		h.publishVMs(1, sixEndpoints...)
		h.cut = func(from, to *node) bool { return h.now < 10*sec || h.now > 30*sec && separatesHalves(from, to) }
		for range 6 {
			h.run(5 * sec)
		}
		h.start(3)
		h.run(30 * sec)
		total := 0
		for first := range h.probedAt {
			spent := time.Duration(0)
			for _, at := range h.probedAt[first:] {
				if at-h.probedAt[first] >= 10*sec {
					break
				}
				spent += h.probeTime
			}
			if limit := time.Duration(share * slots * float64(10*sec)); spent > limit {
				t.Fatalf("%v of slot time in 10 s from %v on, the budget is %v", spent, h.probedAt[first], limit)
			}
			total++
		}
		if total < 60 {
			t.Errorf("only %d probes in a minute", total)
		}
	}
}

// One entry is left, and the budget allows fewer probes than there are idle endpoints. Guards
// against probes that go to the first rows of the table again and again while nothing is known of
// the last ones: the endpoint seen longest ago is probed first.
func TestEveryEndpointIsProbedInTurn(t *testing.T) {
	h := newClusterHarness(t, 1)
	var names []string
	for i := range 9 {
		names = append(names, fmt.Sprintf("waste/w%d", i+1))
	}
	h.publishVMs(1, names...)
	h.run(2 * time.Minute)
	seen := map[string]int{}
	for _, p := range h.nodes[0].probes {
		seen[p.Endpoint]++
	}
	least, most := 1000, 0
	for _, name := range names {
		n := seen[name[len("waste/"):]]
		least, most = min(least, n), max(most, n)
	}
	if most > least+1 {
		t.Errorf("probes: %v", seen)
	}
}
