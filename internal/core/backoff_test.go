package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/route"
)

// row returns the row of an endpoint of pool "p".
func (h *entryHarness) row(name string) *table.Endpoint {
	p := h.pools["p"]
	return &p.Endpoints[p.find(name, 0)]
}

// beginBackoff makes an endpoint refuse a request, and all later ones, with the given Retry-After,
// and returns when its backoff began.
func (h *entryHarness) beginBackoff(name string, wait time.Duration) time.Duration {
	h.Helper()
	ep := h.endpoint(name)
	ep.refuses, ep.retryAfter = true, wait
	for range 200 {
		h.sendRequest(route.Idempotent, 3*sec)
		h.run(20 * ms)
		if quota.InBackoff(h.now, h.row(name)) {
			return h.row(name).Backoff.Until - wait
		}
	}
	h.Fatalf("%s got no request to refuse", name)
	return 0
}

// Guards against an endpoint that gets requests or load probes within the time for which it asked
// for none: first attempts, second attempts after another endpoint refused, requests that waited
// for a slot, and requests of each kind.
func TestEndpointGetsNothingWhileItBacksOff(t *testing.T) {
	for _, c := range []struct {
		name   string
		count  int
		others func(ep *simEndpoint)
		kind   route.Kind
	}{
		{"others are idle", 4, func(*simEndpoint) {}, route.Idempotent},
		{"others are full", 3, func(ep *simEndpoint) { ep.running, ep.waiting = 2, 4 }, route.Idempotent},
		{"others refuse now and then", 4, func(ep *simEndpoint) { ep.refuses = ep.name == "d0-1" }, route.Idempotent},
		{"others are silent", 3, func(ep *simEndpoint) { ep.silent = true }, route.Idempotent},
		{"requests that must not run twice", 4, func(*simEndpoint) {}, route.NonIdempotent},
		{"uploads", 4, func(*simEndpoint) {}, route.Upload},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newEntryHarness(t, idleEndpoints(c.count, "d0")...)
			h.learnServiceTime(8)
			h.serviceTime = 100 * ms
			h.run(2 * sec)
			began := h.beginBackoff("d0-0", 3*sec)
			for _, ep := range h.endpoints[1:] {
				c.others(ep)
			}
			h.run(5 * ms) // what is under way arrives
			h.probed = nil
			from := h.now
			for h.now < began+3*sec-20*ms {
				h.sendRequest(c.kind, 3*sec)
				h.run(10 * ms)
			}
			if n := h.sentSince("d0-0", from); n > 0 || slices.Contains(h.probed, "d0-0") {
				t.Errorf("the endpoint got %d requests, probed %v", n, slices.Contains(h.probed, "d0-0"))
			}
		})
	}
}

// Guards against senders that a policy adds, such as trials of ejected endpoints and hedges, which
// send to an endpoint within the time for which it asked for none.
func TestNoPolicySendsToEndpointThatBacksOff(t *testing.T) {
	for _, policy := range balance.Policies() {
		t.Run(policy, func(t *testing.T) {
			h := newClusterHarness(t, 0)
			h.config = func(cfg *Config) { cfg.Policy, cfg.LargestFleet = policy, 8 }
			n := h.start(0)
			h.publishVMs(1, sixEndpoints...)
			h.run(3 * sec)
			h.tick = 2 * ms
			h.setReactions(reaction{})
			h.sendTraffic(Arrival{Service: "counts"}, 10*ms, 12*sec) // past the cold start
			visits, calls := map[string][]time.Duration{}, time.Duration(0)
			h.endpoint = func(name string, _ Arrival) reaction {
				if calls++; name != "c2" && name != "c3" {
					return reaction{after: 10*ms + calls%5*15*ms}
				}
				visits[name] = append(visits[name], h.now)
				return reaction{after: ms, head: Head{Status: 503, NotRun: true, RetryAfter: 3 * sec, Load: Load{Known: true, Slots: 2}}}
			}
			probes := len(n.probes)
			h.sendTraffic(Arrival{Service: "hedged"}, 8*ms, 8*sec)
			if n.counters.Hedged == 0 {
				t.Error("no request was hedged")
			}
			for _, name := range []string{"c2", "c3"} {
				if len(visits[name]) == 0 {
					t.Errorf("%s got no request", name)
				}
				for i, at := range visits[name] {
					within := 0
					for _, later := range visits[name][i+1:] {
						if later > at+10*ms && later < at+3*sec {
							within++
						}
					}
					if within > 0 {
						t.Errorf("%s got %d requests within the 3s after its refusal at %v", name, within, at)
						break
					}
				}
			}
			for i, p := range n.probes[probes:] {
				at := h.probedAt[probes+i]
				if refused := visits[p.Endpoint]; len(refused) > 0 && at > refused[0]+10*ms && at < refused[0]+3*sec {
					t.Errorf("%s was probed %v after its refusal", p.Endpoint, at-refused[0])
					break
				}
			}
		})
	}
}

// Guards against a backoff that ends early: by a later, shorter one, by an answer to a request that
// was sent before, or because the list lost the endpoint for a while. Another incarnation of the
// endpoint is not bound by it.
func TestBackoffLastsUntilItsEnd(t *testing.T) {
	withoutFirst := func(h *entryHarness, revision uint64) published.VMList {
		list := h.vmList(revision)
		list.VMs = list.VMs[1:]
		return list
	}
	for name, c := range map[string]struct {
		first     time.Duration
		meanwhile func(h *entryHarness, running Directive)
		lasts     time.Duration
	}{
		"nothing":              {3 * sec, func(*entryHarness, Directive) {}, 3 * sec},
		"a shorter one":        {3 * sec, func(h *entryHarness, d Directive) { h.refuse(d, sec) }, 3 * sec},
		"a longer one":         {3 * sec, func(h *entryHarness, d Directive) { h.refuse(d, 5*sec) }, 5 * sec},
		"a refusal without":    {3 * sec, func(h *entryHarness, d Directive) { h.refuse(d, 0) }, 3 * sec},
		"an absurdly long one": {3 * sec, func(h *entryHarness, d Directive) { h.refuse(d, 24*time.Hour) }, time.Hour},
		"an answer":            {3 * sec, func(h *entryHarness, d Directive) { h.answer(d.ID, d.Attempt, 200) }, 3 * sec},
		"a gap in the list": {60 * sec, func(h *entryHarness, _ Directive) {
			before := h.pools["p"].find("d0-0", 0)
			h.offerList(withoutFirst(h, 2))
			h.run(35 * sec)
			if h.pools["p"].find("d0-0", 0) == before {
				h.Error("the endpoint was not removed")
			}
			h.offerList(h.vmList(3))
		}, 60 * sec},
		"a refusal that arrives in a gap of the list": {sec, func(h *entryHarness, d Directive) {
			h.offerList(withoutFirst(h, 2))
			h.run(35 * sec)
			h.refuse(d, 60*sec)
			h.offerList(h.vmList(3))
		}, 95 * sec},
		"a refusal that arrives after a gap of the list": {sec, func(h *entryHarness, d Directive) {
			h.offerList(withoutFirst(h, 2))
			h.run(35 * sec)
			h.offerList(h.vmList(3))
			h.refuse(d, 60*sec)
		}, 95 * sec},
		"another incarnation": {3 * sec, func(h *entryHarness, _ Directive) {
			list := h.vmList(2)
			list.VMs[0].Incarnation = 2
			h.offerList(list)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newEntryHarness(t, idleEndpoints(2, "d0")...)
			h.learnServiceTime(8)
			h.endpoint("d0-1").running, h.endpoint("d0-1").waiting = 2, 4
			h.sendRequest(route.Idempotent, 3*sec)
			id := h.sendRequest(route.Idempotent, 3*sec)
			h.run(20 * ms)
			running, ok := h.open[id][1]
			if !ok || running.Endpoint != "d0-0" {
				t.Fatalf("the request runs at %+v", h.open[id])
			}
			other := h.open[id-1][1]
			at := h.now
			h.refuse(other, c.first)
			c.meanwhile(h, running)
			if lasts := max(h.row("d0-0").Backoff.Until-at, 0); lasts != c.lasts {
				t.Errorf("the backoff lasts %v, want %v", lasts, c.lasts)
			}
		})
	}
}

// Guards against a request that is sent to an endpoint whose refusal arrived after the request was
// placed there and before it was written, and against one that is lost or refused by that.
func TestUnwrittenAttemptLeavesEndpointThatBacksOff(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(2, "d0")...)
	h.learnServiceTime(8)
	id := h.sendRequest(route.NonIdempotent, 3*sec)
	h.run(20 * ms)
	d := h.open[id][1]
	h.do(func(*Actions) { h.noteRetryAfter(h.now, h.row(d.Endpoint), sec) })
	if h.MaySend(h.now, id, 1) {
		t.Fatalf("the attempt may be sent to %s", d.Endpoint)
	}
	delete(h.open[id], 1)
	h.do(func(out *Actions) { h.End(h.now, End{ID: id, Attempt: 1, Kind: EndNotWritten, Replayable: true}, out) })
	h.run(100 * ms)
	next, ok := h.open[id][2]
	if !ok || next.Endpoint == d.Endpoint {
		t.Errorf("the request went to %+v, and the caller got %+v", next, h.replies[id])
	}
}

// Guards against requests that are held while all endpoints have asked for a time without requests,
// and against callers that are told to come back before it is over. A request that can still be in
// time afterwards waits and is served.
func TestRequestsWhileAllEndpointsBackOff(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(2, "d0")...)
	h.learnServiceTime(8)
	h.serviceTime = 100 * ms
	h.do(func(*Actions) {
		h.noteRetryAfter(h.now, h.row("d0-0"), 2*sec)
		h.noteRetryAfter(h.now, h.row("d0-1"), 5*sec)
	})
	end := h.now + 2*sec
	h.sent, h.probed = nil, nil
	for _, kind := range route.Kinds() {
		id := h.sendRequest(kind, 20*sec)
		got, refused := h.replies[id]
		if !refused || got.Outcome != OutcomeNotRun || got.Reason != ReasonBackoff {
			t.Errorf("%s: got %+v at once, want a refusal", kind, got)
		}
		if got.RetryAfter < end-h.now || got.RetryAfter > end-h.now+sec {
			t.Errorf("%s: told to come back after %v, the first endpoint is back in %v", kind, got.RetryAfter, end-h.now)
		}
		h.run(ms)
	}
	h.run(end - h.now - 100*ms)
	if len(h.sent)+len(h.probed) > 0 {
		t.Errorf("sent to %v, probed %v", h.sent, h.probed)
	}
	id := h.sendRequest(route.Idempotent, 20*sec)
	h.run(300 * ms)
	if got, refused := h.replies[id]; refused || len(h.sent) != 1 || h.sent[0] != "d0-0" {
		t.Errorf("a request that can still be in time got %+v and was sent to %v", got, h.sent)
	}
}

// Guards against requests that wait for the end of a backoff behind others: an endpoint gets one
// request after it, and where it refuses again all that waited learn only then that they are not
// served.
func TestFewRequestsWaitForEndOfBackoff(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(3, "d0")...)
	h.learnServiceTime(8)
	h.serviceTime = 100 * ms
	for _, ep := range h.endpoints {
		ep.refuses, ep.retryAfter = true, 2*sec
	}
	const requests = 800
	late := 0
	for range requests {
		id := h.sendRequest(route.Idempotent, 2*sec)
		h.run(10 * ms)
		if _, refused := h.replies[id]; !refused {
			late++
		}
	}
	// Three endpoints take one request each when their backoffs end, four times in 8 s.
	if late > 2*3*4 {
		t.Errorf("%d of %d requests waited in vain", late, requests)
	}
}

// Guards against requests that wait for a slot until it is too late for them after the last
// endpoint has begun to back off.
func TestWaitingRequestsAreRefusedWhenLastEndpointBacksOff(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(1, "d0")...)
	h.learnServiceTime(8)
	first := h.sendRequest(route.Idempotent, 20*sec)
	h.run(10 * ms)
	h.endpoint("d0-0").running, h.endpoint("d0-0").waiting = 2, 4
	waiting := h.sendRequest(route.Idempotent, 20*sec)
	h.run(50 * ms)
	if _, replied := h.replies[waiting]; replied {
		t.Fatal("the request does not wait")
	}
	h.refuse(h.open[first][1], 3*sec)
	h.run(40 * ms)
	for _, id := range []RequestID{first, waiting} {
		if got := h.replies[id]; got.Reason != ReasonBackoff || got.Outcome != OutcomeNotRun {
			t.Errorf("request %d got %+v, want a refusal", id, got)
		}
	}
}

// Guards against all waiting requests that are sent at once to an endpoint whose backoff has just
// ended and that still refuses everything.
func TestEndpointGetsOneRequestAfterBackoff(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(2, "d0")...)
	h.learnServiceTime(8)
	h.endpoint("d0-1").running, h.endpoint("d0-1").waiting = 2, 4
	began := h.beginBackoff("d0-0", sec)
	h.run(began + sec - h.now - 50*ms)
	for range 10 {
		h.sendRequest(route.Idempotent, 3*sec)
	}
	from := h.now
	h.run(200 * ms)
	if n := h.sentSince("d0-0", from); n != 1 {
		t.Errorf("%d requests were sent after the backoff, want 1 until it is answered", n)
	}
	h.endpoint("d0-0").refuses = false
	h.serviceTime = 50 * ms
	h.run(sec)
	from = h.now
	for range 4 {
		h.sendRequest(route.Idempotent, 3*sec)
		h.run(20 * ms)
	}
	if n := h.sentSince("d0-0", from); n < 2 || h.row("d0-0").Backoff.HalfOpen {
		t.Errorf("%d of 4 requests were sent after the endpoint had accepted one: %s", n, fmt.Sprintf("%+v", h.row("d0-0").Backoff))
	}
}

// Guards against health probes, crash probes and the load probes of supervision that are sent to an
// endpoint within the time for which it asked for no requests.
func TestEndpointThatBacksOffIsNotProbed(t *testing.T) {
	t.Run("health probe", func(t *testing.T) {
		h := newServingCluster(t, 1, "counts/c1", "counts/c2")
		n := h.nodes[0]
		p := n.pools["counts"]
		quota.BeginBackoff(h.now-n.started, &p.Endpoints[p.find("c1", 0)], 5*sec)
		n.probes = nil
		h.run(5 * sec)
		probed := map[string]int{}
		for _, probe := range n.probes {
			probed[probe.Endpoint]++
		}
		if probed["c1"] > 0 || probed["c2"] == 0 {
			t.Errorf("probes %v, want some of c2 and none of c1", probed)
		}
	})
	t.Run("crash probe", func(t *testing.T) {
		h := newEntryHarness(t, idleEndpoints(2, "d0")...)
		h.learnServiceTime(8)
		id := h.sendContent(7)
		h.run(20 * ms)
		name := h.open[id][1].Endpoint
		h.do(func(*Actions) { h.noteRetryAfter(h.now, h.row(name), 3*sec) })
		h.probed = nil
		h.breakConnection(id, 1, false)
		h.run(2 * sec)
		if slices.Contains(h.probed, name) {
			t.Errorf("%s was probed", name)
		}
	})
	t.Run("supervision", func(t *testing.T) {
		h := newEntryHarness(t, idleEndpoints(2, "d0")...)
		h.learnServiceTime(8)
		id := h.sendRequest(route.Idempotent, 3*sec)
		h.run(20 * ms)
		name := h.open[id][1].Endpoint
		h.do(func(*Actions) { h.noteRetryAfter(h.now, h.row(name), 3*sec) })
		h.probed = nil
		h.run(350 * ms)
		if slices.Contains(h.probed, name) || len(h.probed) == 0 {
			t.Errorf("probed %v, want others than %s", h.probed, name)
		}
	})
}
