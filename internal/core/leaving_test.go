package core

import (
	"slices"
	"testing"

	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/route"
)

// An entry has just started when an endpoint drains, and the VM list cannot be read. The endpoint
// refuses the first read because it is leaving, and the caller got the outcome not-run although two
// endpoints were idle: the retry was charged to the budget that successes earn, and this entry had
// no successes yet.
func TestLeavingEndpointRefusalIsRetriedWithoutBudget(t *testing.T) {
	h := newServingCluster(t, 1, "counts/c1", "counts/c2", "counts/c3")
	n := h.nodes[0]
	refusals := 0
	h.endpoint = func(name string, _ Arrival) reaction {
		if name != "c1" {
			return reaction{after: 5 * ms}
		}
		refusals++
		return reaction{after: 5 * ms, head: Head{NotRun: true, Draining: true}}
	}
	const together = 6 // as many as all endpoints have slots
	for range together {
		h.sendRequest(n, Arrival{Service: "counts", Caller: 1})
	}
	h.run(200 * ms)
	for range together {
		h.sendRequest(n, Arrival{Service: "counts", Caller: 1})
	}
	h.run(200 * ms)
	for id := range h.nextID {
		if got := n.replies[id+1]; got.Outcome != OutcomeDone {
			t.Errorf("request %d: outcome %v (%v)", id+1, got.Outcome, got.Reason)
		}
	}
	if refusals == 0 || refusals > 2 {
		t.Errorf("the leaving endpoint refused %d requests, want 1 or 2: those already under way", refusals)
	}
}

// Guards against an endpoint that is live again because its answer arrived after the list had lost
// it for a while.
func TestEndpointThatLeavesDuringGapInListGetsNoRequests(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(2, "d0")...)
	h.learnServiceTime(8)
	id := h.sendRequest(route.Idempotent, 3*sec)
	h.run(20 * ms)
	d := h.open[id][1]
	list := h.vmList(2)
	list.VMs = slices.DeleteFunc(list.VMs, func(vm published.VM) bool { return vm.Name == d.Endpoint })
	h.offerList(list)
	h.run(35 * sec)
	h.do(func(out *Actions) { h.Head(h.now, Head{ID: id, Attempt: 1, Status: 200, Draining: true}, out) })
	h.offerList(h.vmList(3))
	h.serviceTime = 20 * ms
	from := h.now
	h.sendReads(10*ms, sec)
	if n := h.sentSince(d.Endpoint, from); n > 0 {
		t.Errorf("the endpoint got %d requests", n)
	}
}

// Guards against an endpoint that gets requests after it has said in the answer to a load probe
// that it is leaving, and against a fleet that is not told.
func TestEndpointThatLeavesInProbeAnswerGetsNoRequests(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(3, "d0")...)
	h.learnServiceTime(8)
	h.endpoint("d0-0").leaving = true
	h.serviceTime = 20 * ms
	h.sendReads(10*ms, sec)
	if n := h.sentSince("d0-0", 0); n > 0 {
		t.Errorf("the endpoint got %d requests", n)
	}
	if !slices.ContainsFunc(h.notes, func(n Note) bool { return n.Action == "endpoint-leaving" }) {
		t.Errorf("the trail does not show that the endpoint leaves: %+v", h.notes)
	}
}
