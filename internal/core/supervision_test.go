package core

import (
	"slices"
	"testing"

	"github.com/tealhall/tealhall/internal/route"
)

// An endpoint loses a read, or its VM becomes slow while the read runs. The caller would wait until
// its deadline although an idle endpoint could answer within the objective. A second attempt must
// be sent in time, but never for a request that may run only once, and not to an endpoint that has
// other work.
func TestSecondAttemptForSlowOrLostRequest(t *testing.T) {
	for _, c := range []struct {
		name  string
		kind  route.Kind
		fault func(first *simEndpoint, others []*simEndpoint)
		want  int
	}{
		{"the VM turned slow", route.Idempotent, func(first *simEndpoint, _ []*simEndpoint) { first.pace = 500 }, 2},
		{"the request was lost", route.Idempotent, func(first *simEndpoint, _ []*simEndpoint) { first.running = 0 }, 2},
		{"the endpoint went silent", route.Idempotent, func(first *simEndpoint, _ []*simEndpoint) { first.silent = true }, 2},
		{"a request that may run only once", route.NonIdempotent, func(first *simEndpoint, _ []*simEndpoint) { first.pace = 500 }, 1},
		{"no endpoint is idle", route.Idempotent, func(first *simEndpoint, others []*simEndpoint) {
			first.pace = 500
			for _, ep := range others {
				ep.running = 1
			}
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			endpoints := idleEndpoints(4, "d0")
			h := newEntryHarness(t, endpoints...)
			h.learnServiceTime(12)
			id := h.sendRequest(c.kind, 3*sec)
			h.run(20 * ms)
			first := h.endpoint(h.open[id][1].Endpoint)
			others := slices.DeleteFunc(slices.Clone(endpoints), func(ep *simEndpoint) bool { return ep == first })
			c.fault(first, others)
			h.run(320 * ms)
			if len(h.sent) != c.want || c.want == 2 && h.sent[1] == first.name {
				t.Errorf("attempts sent to %v, want %d attempts", h.sent, c.want)
			}
		})
	}
}

// An entry has just started, and the first endpoint that it sends a read to loses it. A budget that
// is earned by successes is empty at that time, and the read would fail although an idle endpoint
// is available and the fleet is far below its bound of repeats.
func TestFirstRequestsOfNewEntryAreRepeated(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(3, "d0")...)
	id := h.sendRequest(route.Idempotent, 3*sec)
	h.run(20 * ms)
	h.do(func(out *Actions) { h.End(h.now, End{ID: id, Attempt: 1, Kind: EndLost, Replayable: true}, out) })
	delete(h.open[id], 1)
	h.run(20 * ms)
	if len(h.open[id]) != 1 {
		t.Errorf("the request was not repeated: %+v", h.replies[id])
	}
}

// Many requests take longer than usual and the bound on load probes is reached, so the endpoint
// that runs one of them is not probed. Its lack of a report must not count as silence.
func TestUnprobedEndpointIsNotSilent(t *testing.T) {
	endpoints := idleEndpoints(3, "d0")
	h := newEntryHarness(t, endpoints...)
	h.learnServiceTime(12)
	id := h.sendRequest(route.Idempotent, 3*sec)
	h.run(120 * ms)
	r := h.requests[id]
	r.probeRound = loadProbeRound{began: h.now, second: true, active: true}
	if h.overdue(h.now, r, 100*ms) {
		t.Error("the attempt is overdue although its endpoint was not probed")
	}
	r.probeRound.probed = append(r.probeRound.probed, r.attempts[1].index)
	if !h.overdue(h.now, r, 100*ms) {
		t.Error("the attempt is not overdue although its endpoint was probed and is silent")
	}
}

// The VM of an endpoint becomes slow after a request has started there. The request continues at
// the pace at which it started, so a second attempt would only take a slot. A request that started
// at a slow pace that no load probe showed is overdue at twice its expected duration.
func TestRunningRequestKeepsItsPace(t *testing.T) {
	endpoints := idleEndpoints(3, "d0")
	h := newEntryHarness(t, endpoints...)
	h.learnServiceTime(12)
	h.sendRequest(route.Idempotent, 3*sec)
	h.run(20 * ms)
	h.endpoint(h.sent[0]).pace = 500
	h.run(130 * ms)
	if len(h.sent) != 1 {
		t.Errorf("a second attempt was sent at 1.5 times the usual work: %v", h.sent)
	}
	h.run(100 * ms)
	if len(h.sent) != 2 {
		t.Errorf("no second attempt was sent at 2.5 times the usual work: %v", h.sent)
	}
}
