package core

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/route"
)

// Guards against ticks that come too late for what is due, and against a process that is woken all the
// time while its requests only wait for endpoints.
func TestNextDue(t *testing.T) {
	const soonest, latest = 5 * ms, 20 * ms
	next := func(h *entryHarness) time.Duration { return h.NextDue(h.now, soonest, latest) - h.now }
	h := newEntryHarness(t, idleEndpoints(2, "d0")...)
	h.learnServiceTime(8)
	if got := next(h); got != latest {
		t.Errorf("nothing to do: due after %v, want %v", got, latest)
	}
	silent := &simEndpoint{name: "d0-9", domain: "d0", silent: true}
	probed := newEntryHarness(t, silent)
	probed.sendRequest(route.Idempotent, 3*sec)
	if got := next(probed); got != loadProbeWait {
		t.Errorf("a load probe is under way: due after %v, want %v", got, loadProbeWait)
	}
	id := h.sendRequest(route.Idempotent, 3*sec)
	h.run(10 * ms)
	if got := next(h); got != latest {
		t.Errorf("a request runs: due after %v, want %v", got, latest)
	}
	h.run(115 * ms)
	if got := next(h); got >= latest {
		t.Errorf("a running request is checked soon: due after %v", got)
	}
	h.answer(id, 1, 200)
	for _, ep := range h.endpoints {
		ep.running, ep.waiting = 2, 4
	}
	h.run(sec)
	h.sendRequest(route.Idempotent, 3*sec)
	h.run(30 * ms)
	if got := next(h); got != soonest {
		t.Errorf("a request waits for room: due after %v, want %v", got, soonest)
	}
	for _, ep := range h.endpoints {
		ep.running, ep.waiting, ep.dead = 0, 0, true
	}
	for range 100 {
		h.sendRequest(route.Idempotent, 100*ms)
		h.run(10 * ms)
	}
	if !h.pools["p"].reach.Lost() || next(h) != soonest {
		t.Errorf("no endpoint is reached: due after %v, want %v", next(h), soonest)
	}
}
