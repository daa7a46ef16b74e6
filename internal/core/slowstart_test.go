package core

import "testing"

// slowStart is the span of a slow start in package placement.
const slowStart = 5 * sec

// A new endpoint joins a busy pool with cold caches. It is idle, so it would look best and get as
// many requests at once as any other endpoint, all of them slow. It must get one at a time at first
// and its full share after the slow start. In a pool whose endpoints all start together, no
// endpoint is limited.
func TestNewEndpointStartsSlowly(t *testing.T) {
	h := newServingCluster(t, 1, "counts/c1", "counts/c2")
	p := h.nodes[0].pools["counts"]
	if p.Slots() != 4 {
		t.Fatalf("a pool whose endpoints start together has %d slots, want 4", p.Slots())
	}
	h.run(2 * slowStart)
	h.publishVMs(2, "counts/c1", "counts/c2", "counts/c3")
	h.run(sec)
	most := int32(0)
	h.endpoint = func(name string, _ Arrival) reaction {
		if name == "c3" {
			most = max(most, p.Endpoints[p.find("c3", 0)].Outstanding)
		}
		return reaction{after: 30 * ms, head: Head{Load: Load{Known: true, Slots: 2}}}
	}
	h.sendTraffic(Arrival{Service: "counts"}, 6*ms, slowStart/4)
	if most != 1 || p.Slots() != 5 {
		t.Errorf("the new endpoint had up to %d requests at a time and %d slots in all, want 1 and 5", most, p.Slots())
	}
	h.run(slowStart)
	h.sendTraffic(Arrival{Service: "counts"}, 6*ms, slowStart/4)
	if most != 2 || p.Slots() != 6 {
		t.Errorf("after the slow start it had up to %d and %d slots in all, want 2 and 6", most, p.Slots())
	}
}
