package core

import (
	"testing"

	"github.com/tealhall/tealhall/internal/route"
)

// All endpoints of a failure domain go down at once while those of another domain have room.
// Entries in the lost domain probed their own domain first, found one endpoint after another dead,
// dispatched requests there without a probed load, and told 2,271 callers in six seconds that no
// endpoint takes work. After a few failures in a row without an answer the whole domain must count
// as lost for a moment, so that the other domain's endpoints are probed. A refused connection does
// not count as an attempt.
func TestLostFailureDomainIsAvoided(t *testing.T) {
	for _, c := range []struct {
		name       string
		lose       func(ep *simEndpoint)
		maxRefused int
	}{
		{"connections are refused", func(ep *simEndpoint) { ep.dead = true }, 0},
		{"nothing answers", func(ep *simEndpoint) { ep.dead, ep.silent = true, true }, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newEntryHarness(t, append(idleEndpoints(30, "d0"), idleEndpoints(12, "d1")...)...)
			h.learnServiceTime(8)
			for _, ep := range h.endpoints {
				if ep.domain == "d0" {
					c.lose(ep)
				}
			}
			var ids []RequestID
			for i := range 60 {
				ids = append(ids, h.sendRequest(route.Kinds()[i%3], 3*sec))
				h.run(20 * ms)
				for _, id := range ids {
					for n := range h.open[id] {
						if d := h.open[id][n]; !h.endpoint(d.Endpoint).dead {
							h.answer(id, n, 200)
						}
					}
				}
			}
			h.run(200 * ms)
			refused := 0
			for _, id := range ids {
				if _, replied := h.replies[id]; replied {
					refused++
				}
			}
			if refused > c.maxRefused {
				t.Errorf("%d of %d requests were refused although another failure domain has room", refused, len(ids))
			}
			near := 0
			for _, name := range h.probed {
				if h.endpoint(name).domain == "d0" {
					near++
				}
			}
			if near > len(ids) {
				t.Errorf("%d load probes of the lost failure domain for %d requests", near, len(ids))
			}
			for _, ep := range h.endpoints {
				ep.dead, ep.silent = false, false
			}
			h.run(3 * sec)
			h.sent = nil
			h.sendReads(20*ms, sec)
			if h.sentToDomain("d0") < 45 {
				t.Errorf("after the failure domain is back only %d of 50 requests are sent there", h.sentToDomain("d0"))
			}
		})
	}
}
