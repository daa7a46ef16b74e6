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
		r := newClusterHarness(t, entries)
		r.probeTime = r.probeTime + slow
		r.publishVMs(1, sixCounts...)
		r.cut = func(from, to *node) bool { return r.now < 10*sec || r.now > 30*sec && separatesHalves(from, to) }
		for range 6 {
			r.run(5 * sec)
		}
		r.start(3)
		r.run(30 * sec)
		total := 0
		for first := range r.probedAt {
			spent := time.Duration(0)
			for _, at := range r.probedAt[first:] {
				if at-r.probedAt[first] >= 10*sec {
					break
				}
				spent += r.probeTime
			}
			if limit := time.Duration(share * slots * float64(10*sec)); spent > limit {
				t.Fatalf("%v of slot time in 10 s from %v on, the budget is %v", spent, r.probedAt[first], limit)
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
	r := newClusterHarness(t, 1)
	var names []string
	for i := range 9 {
		names = append(names, fmt.Sprintf("waste/w%d", i+1))
	}
	r.publishVMs(1, names...)
	r.run(2 * time.Minute)
	seen := map[string]int{}
	for _, p := range r.nodes[0].probes {
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
