package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// sentSince counts the attempts sent to an endpoint from a given time on.
func (h *entryHarness) sentSince(name string, since time.Duration) (n int) {
	for i, to := range h.sent {
		if to == name && h.sentAt[i] >= since {
			n++
		}
	}
	return n
}

// Guards against an endpoint that gets more than its reported rate limit, by first attempts, by
// requests that waited for a slot, or because no other endpoint has room; and against an endpoint
// that gets too little after it has stopped reporting a limit.
func TestLimitedEndpointStaysWithinItsRate(t *testing.T) {
	for _, c := range []struct {
		name   string
		count  int
		others func(ep *simEndpoint)
	}{
		{"others are idle", 4, func(*simEndpoint) {}},
		{"others are full", 2, func(ep *simEndpoint) { ep.running, ep.waiting = 2, 4 }},
		{"no other endpoints", 1, func(*simEndpoint) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newEntryHarness(t, idleEndpoints(c.count, "d0")...)
			h.learnServiceTime(8)
			h.run(2 * sec)
			limited := h.endpoint("d0-0")
			limited.limit = 2
			for _, ep := range h.endpoints[1:] {
				c.others(ep)
			}
			h.sendReads(20*ms, sec)
			from := h.now
			h.sendReads(20*ms, 4*sec)
			if n := h.sentSince("d0-0", from); n > 9 || n < 5 {
				t.Errorf("the endpoint got %d requests in four seconds, its limit allows 8", n)
			}
			limited.limit = 0
			h.sendReads(20*ms, 2*sec)
			from = h.now
			h.sendReads(20*ms, 4*sec)
			if n := h.sentSince("d0-0", from); n < 30 {
				t.Errorf("the endpoint got only %d requests in four seconds after its limit ended", n)
			}
		})
	}
}

// Guards against a limit that is dropped because of an answer that does not report it: a refusal,
// a failure, an answer that was under way before, or an answer to a load probe.
func TestLimitStaysUntilAnAnswerChangesIt(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(2, "d0")...)
	h.learnServiceTime(8)
	h.run(2 * sec)
	e := &h.pools["p"].Endpoints[0]
	answer := func(status int, notRun bool, limit float64) {
		var out Actions
		r := &request{pool: h.pools["p"], service: h.services["idempotent"]}
		a := &attempt{index: 0, incarnation: e.Incarnation}
		h.observeHead(h.now, r, a, Head{Status: status, NotRun: notRun, Load: Load{RateLimit: limit}}, &out)
	}
	probe := func(limit float64) {
		end := ProbeEnd{Probe: Probe{Pool: "p", Endpoint: e.Name, Incarnation: e.Incarnation, Path: "/h"}, OK: true,
			Load: Load{Known: true, Slots: 2, RateLimit: limit}}
		h.do(func(out *Actions) { h.ProbeEnd(h.now, end, out) })
	}
	answer(200, false, 3)
	answer(200, false, 0) // the answer was under way already
	h.run(sec)
	answer(503, true, 0)
	answer(500, false, 0)
	probe(0)
	if e.Limit.Rate != 3 {
		t.Fatalf("limit %v", e.Limit.Rate)
	}
	answer(503, true, 0.5)
	if e.Limit.Rate != 0.5 {
		t.Errorf("limit %v after a refusal with a lower limit", e.Limit.Rate)
	}
	h.run(sec)
	probe(0.25)
	if e.Limit.Rate != 0.25 {
		t.Errorf("limit %v after a load probe with a lower limit", e.Limit.Rate)
	}
	h.run(sec)
	probe(0)
	if e.Limit.Rate != 0 {
		t.Errorf("limit %v after a load probe without a limit, when earlier ones had one", e.Limit.Rate)
	}
	answer(200, false, 5)
	h.run(sec)
	answer(200, false, 0)
	if e.Limit.Rate != 0 {
		t.Errorf("limit %v after an answer without a limit", e.Limit.Rate)
	}
}

// Guards against entries that are not notified of a limit, or are notified before they know the
// endpoint, and against older evidence that replaces newer evidence.
func TestLimitSpreadsToFleet(t *testing.T) {
	h := newServingCluster(t, 3, "counts/c1", "counts/c2")
	limitOf := func(n *node, name string) float64 {
		ref, found := n.fleet.rows[name]
		if !found {
			return -1
		}
		return ref.pool.Endpoints[ref.index].Limit.Rate
	}
	limit := 2.5
	h.endpoint = func(name string, _ Arrival) reaction {
		if name == "c1" {
			return reaction{after: 5 * ms, head: Head{Load: Load{RateLimit: limit}}}
		}
		return reaction{after: 5 * ms}
	}
	sendRequests := func(d time.Duration) {
		for end := h.now + d; h.now < end; h.run(20 * ms) {
			for _, n := range h.nodes {
				h.sendRequest(n, Arrival{Service: "counts", Caller: 1})
			}
		}
	}
	checkLimits := func(rate float64) {
		t.Helper()
		for _, n := range h.nodes {
			if got := limitOf(n, "c1"); got != rate {
				t.Errorf("%s: limit %v, want %v", n.hello.Name, got, rate)
			}
			if got := limitOf(n, "c2"); got != 0 {
				t.Errorf("%s: limit %v of the other endpoint", n.hello.Name, got)
			}
		}
	}
	sendRequests(sec)
	checkLimits(2.5)
	late := h.start(3)
	h.publishVMs(2, "counts/c1", "counts/c2")
	h.run(4 * sec)
	if got := limitOf(late, "c1"); got != 2.5 {
		t.Errorf("started entry: limit %v", got)
	}
	before := h.written["c1"]
	sendRequests(4 * sec)
	if got := h.written["c1"] - before; got > 11 || got == 0 {
		t.Errorf("the endpoint got %d requests in four seconds, its limit allows 10", got)
	}
	limit = 0.4
	sendRequests(6 * sec)
	checkLimits(0.4)
	old := message.Update{From: h.nodes[0].hello.Incarnation, Sequence: 1 << 40, Evidence: []message.Evidence{{VM: limitSubject + "c1", Incarnation: 1,
		Kind: message.EvidenceLimit, Limit: message.Limit{Rate: 99, Version: 1}}}}
	h.do(h.nodes[1], func(now time.Duration, out *Actions) { h.nodes[1].PeerUpdate(now, &old, out) })
	checkLimits(0.4)
	limit = 0
	sendRequests(12 * sec)
	checkLimits(0)
	if h.nodes[1].limits[endpointID{"c1", 1}].Rate != 0 {
		t.Error("the end of the limit did not reach the entry")
	}
}

// Guards against limits of endpoints that are gone, or never existed, which would fill the memory.
func TestLimitsOfUnknownEndpointsExpire(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(1, "d0")...)
	var evidence []message.Evidence
	for i := range maxLimits + 100 {
		evidence = append(evidence, message.Evidence{VM: limitSubject + fmt.Sprint("x", i), Incarnation: 1, Kind: message.EvidenceLimit,
			Limit: message.Limit{Rate: 1, Version: 1}})
	}
	h.do(func(out *Actions) { h.processLimits(h.now, evidence, out) })
	if len(h.limits) != maxLimits {
		t.Errorf("%d limits are kept, want %d", len(h.limits), maxLimits)
	}
	h.forgetLimits(h.now + limitRetention)
	if len(h.limits) != 0 {
		t.Errorf("%d limits of unknown endpoints are never dropped", len(h.limits))
	}
}
