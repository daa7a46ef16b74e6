package core

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/route"
)

// At an endpoint that slows down when it is full, two requests that share it both use up most of
// their latency objective. The entry must learn the slowdown from the latency of answers, and a
// request that would be late there must wait for an idle endpoint.
func TestSlowdownAtSharedEndpointIsLearned(t *testing.T) {
	for _, c := range []struct {
		name     string
		took     time.Duration
		wantSent bool
	}{
		{"small slowdown", 100 * ms, true},
		{"large slowdown", 380 * ms, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			endpoints := idleEndpoints(1, "d0")
			h := newEntryHarness(t, endpoints...)
			h.learnServiceTime(8)
			for range 40 {
				endpoints[0].running = 1
				id := h.sendRequest(route.Idempotent, 3*sec)
				h.run(20 * ms)
				if len(h.open[id]) == 0 {
					break
				}
				h.run(c.took)
				h.answer(id, 1, 200)
			}
			endpoints[0].running = 1
			id := h.sendRequest(route.Idempotent, 3*sec)
			h.run(20 * ms)
			if got := len(h.open[id]) > 0; got != c.wantSent {
				t.Errorf("sent to an endpoint with another request: %v, want %v (measured slowdown %.2f)", got, c.wantSent, h.pools["p"].placementState.Slowdown())
			}
		})
	}
}

// The only idle endpoint is on a VM that is five times as slow as usual at this moment. A request
// sent there takes five times as long until its end, although the VM recovers within 150 ms: it is
// late, and uses the slot for the time of five requests. Both a request that can be in time and one
// that cannot must wait until the VM is as fast as usual.
func TestRequestWaitsForSlowVMToRecover(t *testing.T) {
	for _, left := range []time.Duration{3 * sec, 2500 * ms} {
		idle, full := &simEndpoint{name: "idle", domain: "d0"}, &simEndpoint{name: "full", domain: "d0"}
		h := newEntryHarness(t, idle, full)
		h.learnServiceTime(12)
		idle.pace, full.running, full.waiting = 500, 2, 1
		id := h.sendRequest(route.Idempotent, left)
		h.run(70 * ms)
		if len(h.sent) != 0 {
			t.Errorf("request with %v left was sent to %v", left, h.sent)
		}
		idle.pace = 100
		h.run(70 * ms)
		if d, open := h.open[id][1]; !open || d.Endpoint != "idle" {
			t.Errorf("request with %v left was not sent after the VM recovered: %+v", left, h.replies[id])
		}
	}
}

// Requests of two services share endpoints, and requests of one service take six times as long. All
// slots are in use. If the entry judged the wait by the duration of the short request, it would
// expect a free slot soon, and the request would wait at an endpoint behind a long one and be late.
// It must wait in the entry instead and take the first slot that becomes free at any endpoint.
func TestNoWaitBehindLongRequests(t *testing.T) {
	endpoints := idleEndpoints(2, "d0")
	h := newEntryHarness(t, endpoints...)
	h.learnServiceTime(12)
	for range 12 {
		id := h.sendRequest(route.NonIdempotent, 3*sec)
		h.run(600 * ms)
		h.answer(id, 1, 200)
	}
	h.sent = nil
	for _, ep := range endpoints {
		ep.running = 2
	}
	short := h.sendRequest(route.Idempotent, 3*sec)
	h.run(50 * ms)
	if len(h.sent) != 0 {
		t.Fatalf("the request was sent to a full endpoint: %v", h.sent)
	}
	endpoints[1].running = 0
	h.run(60 * ms)
	if d := h.open[short][1]; d.Endpoint != endpoints[1].name {
		t.Errorf("the free slot was not used: %+v", h.replies[short])
	}
}
