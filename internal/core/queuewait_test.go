package core

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/budget"
	"github.com/tealhall/tealhall/internal/route"
)

// All endpoints are full for a second. Requests sent there would queue up and delay later requests
// long after slots become free. They wait in the entry instead, and the first free slot is used at
// once.
func TestFullEndpointsGetNoQueue(t *testing.T) {
	endpoints := idleEndpoints(3, "d0")
	h := newEntryHarness(t, endpoints...)
	h.learnServiceTime(8)
	setLoad(endpoints, 2, 1)
	var ids []RequestID
	for range 6 {
		ids = append(ids, h.sendRequest(route.Idempotent, 3*sec))
		h.run(10 * ms)
	}
	if len(h.sent) > 0 {
		t.Fatalf("requests were sent to full endpoints: %v", h.sent)
	}
	endpoints[1].running, endpoints[1].waiting = 0, 0
	h.run(100 * ms)
	if len(h.sent) == 0 || h.sent[0] != endpoints[1].name {
		t.Fatalf("a free slot was not used: %v", h.sent)
	}
	if h.replies[ids[0]].Reason != ReasonNone {
		t.Errorf("the first request was refused: %v", h.replies[ids[0]].Reason)
	}
}

// Endpoints stay full. A caller that waits until its deadline cannot use another entry, and a
// caller that returns at once adds to the load. Their requests are refused early, as not run and
// with a Retry-After, which differs between callers that were refused together.
func TestRequestsWithoutRoomAreRefusedEarly(t *testing.T) {
	endpoints := idleEndpoints(3, "d0")
	h := newEntryHarness(t, endpoints...)
	h.learnServiceTime(8)
	setLoad(endpoints, 2, 4)
	began := h.now
	var ids []RequestID
	for range 4 {
		ids = append(ids, h.sendRequest(route.Idempotent, 3*sec))
	}
	h.run(700 * ms)
	delays := map[time.Duration]bool{}
	for _, id := range ids {
		d, ok := h.replies[id]
		if !ok || d.Outcome != OutcomeNotRun || d.RetryAfter <= 0 || d.RetryAfter > sec {
			t.Fatalf("request %d after %v: %+v", id, h.now-began, d)
		}
		delays[d.RetryAfter] = true
	}
	if len(delays) < 3 {
		t.Errorf("too few different Retry-After values: %v", delays)
	}
	if len(h.sent) != 0 {
		t.Errorf("requests were sent to full endpoints: %v", h.sent)
	}
}

// A caller returns after a refusal, too late to be answered in time. Its request must not take a
// slot from a newer request that can still be in time.
func TestInTimeRequestsGoBeforeLateOnes(t *testing.T) {
	endpoints := idleEndpoints(2, "d0")
	h := newEntryHarness(t, endpoints...)
	h.learnServiceTime(12)
	setLoad(endpoints, 2, 1)
	late := h.sendRequest(route.Idempotent, 3*sec-900*ms)
	h.run(20 * ms)
	inTime := h.sendRequest(route.Idempotent, 3*sec)
	h.run(20 * ms)
	endpoints[0].running, endpoints[0].waiting = 1, 0
	h.run(80 * ms)
	if len(h.open[inTime]) == 0 {
		t.Error("the request that can be in time was not sent")
	}
	if len(h.open[late]) > 0 {
		t.Error("the late request was sent first")
	}
}

// Guards against a long Retry-After where there is no queue to wait for: endpoints refuse requests
// while they report idle slots. With a Retry-After of 150 to 500 ms, most of the callers that were
// answered after it were late. The delay must be short and random; where endpoints are full, the
// longer delay gives the load time to fall.
func TestRetryDelayDependsOnEndpointLoad(t *testing.T) {
	for _, c := range []struct {
		name    string
		running int
		most    time.Duration
	}{{"endpoints with room", 0, maxShortRetryDelay}, {"full endpoints", 2, maxRetryDelay}} {
		endpoints := idleEndpoints(4, "d0")
		h := newEntryHarness(t, endpoints...)
		h.learnServiceTime(12)
		h.poolRows[0].repeats = budget.NewRepeats(budget.RepeatBound{Share: 1e-6, Window: 10 * sec}, 1, 0) // an exhausted budget
		delays := map[time.Duration]bool{}
		for range 8 {
			id := h.sendRequest(route.NonIdempotent, 3*sec)
			h.run(5 * ms)
			for _, ep := range endpoints {
				ep.running, ep.waiting = c.running, c.running
			}
			p := h.poolRows[0]
			for i := range p.Endpoints {
				p.Endpoints[i].NoteProbed(probedLoadOf(h.now, Load{Known: true, InFlight: c.running, Queued: c.running, Slots: 2, Pace: 100}))
			}
			h.do(func(out *Actions) { h.End(h.now, End{ID: id, Attempt: 1, Kind: EndNotRun, Replayable: true}, out) })
			d := h.replies[id]
			if d.Reason != ReasonEndpointsRefuse || d.RetryAfter <= 0 || d.RetryAfter > c.most || c.running > 0 && d.RetryAfter < minRetryDelay {
				t.Fatalf("%s: %+v", c.name, d)
			}
			delays[d.RetryAfter] = true
			h.run(600 * ms)
			setLoad(endpoints, 0, 0)
		}
		if len(delays) < 4 {
			t.Errorf("%s: too few different Retry-After values: %v", c.name, delays)
		}
	}
}

// setLoad sets the load that all endpoints report.
func setLoad(endpoints []*simEndpoint, running, waiting int) {
	for _, ep := range endpoints {
		ep.running, ep.waiting = running, waiting
	}
}

// Guards against requests that wait past the end of their caller's time because their latency
// objective is longer: while endpoints are full, and while all of them back off.
func TestRequestsAreRefusedBeforeTheirCallersGiveUp(t *testing.T) {
	for _, c := range []struct {
		name  string
		state func(ep *simEndpoint)
	}{
		{"full endpoints", func(ep *simEndpoint) { ep.running, ep.waiting = 2, 4 }},
		{"endpoints that back off", func(ep *simEndpoint) { ep.refuses, ep.retryAfter = true, 8*sec }},
	} {
		t.Run(c.name, func(t *testing.T) {
			endpoints := idleEndpoints(3, "d0")
			h := newEntryHarness(t, endpoints...)
			d := harnessRoutes()
			for i := range d.Routes {
				d.Routes[i].Timeout, d.Routes[i].Objective = 20_000, 5_000
			}
			h.publish(2, d)
			h.learnServiceTime(8)
			for _, ep := range endpoints {
				c.state(ep)
			}
			const left = 2 * sec
			sent, answered := map[RequestID]time.Duration{}, map[RequestID]time.Duration{}
			for i := range 160 {
				if i < 40 {
					sent[h.sendRequest(route.Idempotent, left)] = h.now
				}
				h.run(50 * ms)
				for id := range h.replies {
					if _, known := answered[id]; !known {
						answered[id] = h.now
					}
				}
			}
			for id, at := range sent {
				if reply, ok := h.replies[id]; !ok || reply.Outcome != OutcomeNotRun || answered[id]-at >= left {
					t.Errorf("request %d: answered %v (%v) after %v", id, ok, reply.Reason, answered[id]-at)
				}
			}
		})
	}
}
