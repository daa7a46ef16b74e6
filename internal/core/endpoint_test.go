package core

import (
	"slices"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/core/table"
)

var (
	sixEndpoints     = []string{"counts/c1", "counts/c2", "counts/c3", "counts/c4", "counts/c5", "counts/c6"}
	sixEndpointNames = []string{"c1", "c2", "c3", "c4", "c5", "c6"}
)

// setReactions makes the named endpoints react with re and all others answer within 10 to 20 ms.
func (h *clusterHarness) setReactions(re reaction, names ...string) {
	calls := time.Duration(0)
	h.endpoint = func(name string, _ Arrival) reaction {
		calls++
		if slices.Contains(names, name) {
			return re
		}
		return reaction{after: 10*ms + calls%11*ms}
	}
}

// One endpoint of six answers late or fails at once, and its fast failures would make it look idle.
// Whether or not another endpoint drains, it must get almost no requests after a few seconds.
// Once it works again it must be readmitted without an operator: trials with real reads do that
// within an ejection and its growth (5 s, then at most 10 s), and it is used again as soon as the
// other endpoints do not suffice.
func TestFailingEndpointIsAvoidedAndReadmitted(t *testing.T) {
	for name, re := range map[string]reaction{
		"straggler":      {after: 400 * ms},
		"fails fast":     {after: ms, head: Head{Status: 500, Load: Load{Known: true, Slots: 2}}},
		"refuses all":    {after: ms, head: Head{Status: 503, NotRun: true, Load: Load{Known: true, Slots: 2}}},
		"breaks answers": {after: ms, end: End{Kind: EndLost}},
		"refuses dials":  {after: ms, end: End{Kind: EndNotWritten, DialFailed: true}, ignores: true},
		"reports idle":   {after: 400 * ms, head: Head{Load: Load{Known: true, Slots: 2}}},
		"reports huge":   {after: 400 * ms, head: Head{Load: Load{Known: true, Slots: 1000}}},
	} {
		for _, drains := range []bool{false, true} {
			if drains && name != "straggler" && name != "fails fast" {
				continue
			}
			h := newServingCluster(t, 2, sixEndpoints...)
			h.setReactions(reaction{})
			h.sendTraffic(Arrival{Service: "counts"}, 10*ms, 12*sec) // past the cold start
			h.tick = 2 * ms
			h.setReactions(re, "c2")
			if drains {
				h.publishVMs(2, "counts/c1", "counts/c2", "counts/c3", "counts/c4", "counts/c5", "counts/c6,leaving")
			}
			h.sendTraffic(Arrival{Service: "counts"}, 2*ms, 5*sec)
			clear(h.written)
			all := h.sendTraffic(Arrival{Service: "counts"}, 2*ms, 2*sec)
			if share := float64(h.written["c2"]) / float64(len(all)); share > 0.05 {
				t.Errorf("%s, another drains %v: the endpoint gets %.0f %% of the requests", name, drains, 100*share)
			}
			if slots := h.nodes[0].pools["counts"].Slots(); slots > 12 {
				t.Errorf("%s: the probe budget is a share of %d slots, there are 12", name, slots)
			}
			if done := countReplies(all, OutcomeDone); done < len(all)*99/100 {
				t.Errorf("%s, another drains %v: only %d of %d reads were answered", name, drains, done, len(all))
			}
			h.setReactions(reaction{})
			h.tick = 20 * ms
			h.sendTraffic(Arrival{Service: "counts"}, 20*ms, 70*sec)
			clear(h.written)
			h.tick = ms
			all = h.sendTraffic(Arrival{Service: "counts"}, ms, 2*sec) // every slot is needed
			if share := float64(h.written["c2"]) / float64(len(all)); share < 0.05 {
				t.Errorf("%s, another drains %v: the endpoint gets only %.0f %% of the requests after it works again", name, drains, 100*share)
			}
		}
	}
}

// Guards against requests that wait although an endpoint has idle slots. Other entries had filled
// it for some seconds; with status 503 it refused attempts that ask for an idle slot, and this
// entry avoided it for up to a second as a failing endpoint. Once its slots are free it must get
// requests within 50 ms.
func TestBusyEndpointIsUsedWhenSlotsAreFree(t *testing.T) {
	h := newServingCluster(t, 1, sixEndpoints...)
	n := h.nodes[0]
	h.tick = 2 * ms
	h.setReactions(reaction{})
	h.sendTraffic(Arrival{Service: "counts"}, 10*ms, 12*sec) // past the cold start
	freeAt, firstAt := h.now+3*sec, time.Duration(0)
	h.endpoint = func(name string, a Arrival) reaction {
		switch {
		case name == "c1" && h.now < freeAt && n.idleOnly(name, a.ID):
			return reaction{after: ms, head: Head{Status: 503, NotRun: true, Load: Load{Known: true, InFlight: 2, Slots: 2}}}
		case name == "c1" && h.now >= freeAt && firstAt == 0:
			firstAt = h.now
		}
		return reaction{after: 18 * ms}
	}
	h.sendTraffic(Arrival{Service: "counts"}, 2*ms, 4*sec)
	if firstAt == 0 || firstAt-freeAt > 50*ms {
		t.Errorf("the endpoint got its first request after %v", firstAt-freeAt)
	}
}

// idleOnly reports whether a busy endpoint had to refuse the request.
func (n *node) idleOnly(name string, id RequestID) bool {
	for t, d := range n.open {
		if t.id == id && nameOf(d.Address) == name {
			return d.IdleOnly
		}
	}
	return false
}

// Every endpoint of a service fails all requests at 85 % load. Each retry would add load that keeps
// the endpoints down. Successes earn retries, and there are none, so arrivals at the endpoints stay
// below 1.1 times the requests. One second after the endpoints work again all requests are answered
// without an operator: no endpoint was ejected that the others could not replace, and the first
// requests that would succeed are not refused.
func TestRetryBudgetPreventsRetryStorm(t *testing.T) {
	for _, name := range []string{"answers 500", "answers 503", "refuses", "lost", "not dialled", "slowly lost"} {
		// The default policy itself avoids endpoints that fail, so the budget is tested with a
		// policy that does not; with that policy also during a partition.
		for _, policy := range []string{balance.Default, balance.LeastOutstanding} {
			split := policy != balance.Default && name == "answers 503"
			h := newClusterHarness(t, 0)
			h.config = func(cfg *Config) { cfg.Policy, cfg.LargestFleet = policy, 8 }
			for vm := range 3 {
				h.start(vm)
			}
			h.publishVMs(1, sixEndpoints...)
			h.run(3 * sec)
			h.tick = 2 * ms
			h.cut = func(from, to *node) bool { return split && separatesHalves(from, to) }
			h.setReactions(reaction{after: 18 * ms}, sixEndpointNames...) // 500 per second for 20 ms each on 12 slots
			h.sendTraffic(Arrival{Service: "counts"}, 2*ms, 3*sec)
			clear(h.written)
			re := reactions[name]
			re.after = min(re.after, 5*ms)
			h.setReactions(re, sixEndpointNames...)
			all := h.sendTraffic(Arrival{Service: "counts"}, 2*ms, 6*sec)
			if ratio := float64(h.totalWritten("c")) / float64(len(all)); ratio >= 1.1 {
				t.Errorf("%s, %s: %.2f arrivals at the endpoints per request", policy, name, ratio)
			}
			h.setReactions(reaction{after: 18 * ms}, sixEndpointNames...)
			h.run(sec)
			all = h.sendTraffic(Arrival{Service: "counts"}, 2*ms, 2*sec)
			if done := countReplies(all, OutcomeDone); done < len(all) {
				t.Errorf("%s, %s: %d of %d requests were answered after the endpoints work again", policy, name, done, len(all))
			}
		}
	}
}

// A firewall between an entry and an endpoint loses track of open connections, so a booking on one
// of them gets no answer, and each later one would hang as long. The connection is at fault, not
// the endpoint: the booking gets the outcome "unknown" and is not repeated, a read is sent
// elsewhere, the driver is asked to check the endpoint's other connections, and the endpoint stays
// in use, even while another endpoint really is a straggler.
func TestSilentConnectionDoesNotEjectEndpoint(t *testing.T) {
	h := newServingCluster(t, 1, append([]string{"waste/w1", "waste/w2"}, sixEndpoints...)...)
	n := h.nodes[0]
	h.setReactions(reaction{})
	h.sendTraffic(Arrival{Service: "counts"}, 2*ms, 12*sec)
	first := slices.MaxFunc(sixEndpointNames, func(a, b string) int { return h.written[a] - h.written[b] })
	slow := "c1"
	if first == slow {
		slow = "c2"
	}
	recoversAt := h.now + 3*sec
	h.endpoint = func(name string, a Arrival) reaction {
		switch {
		case (name == first || a.Service == "waste") && h.now < recoversAt:
			return reaction{after: 200 * ms, end: End{Kind: EndLost, ConnSilent: true}}
		case name == slow:
			return reaction{after: 400 * ms}
		}
		return reaction{after: 10 * ms}
	}
	booking := h.sendRequest(n, Arrival{Service: "waste", Key: h.key(n), HasKey: true})
	all := h.sendTraffic(Arrival{Service: "counts"}, 2*ms, 6*sec)
	if got := n.replies[booking]; got.Outcome != OutcomeUnknown || h.totalWritten("w") != 1 {
		t.Errorf("booking: reply %+v, sent %d times", got, h.totalWritten("w"))
	}
	if done := countReplies(all, OutcomeDone); done != len(all) {
		t.Errorf("%d of %d reads were answered", done, len(all))
	}
	if !slices.Contains(n.suspects, addressOf(first)) || slices.Contains(n.suspects, addressOf(slow)) {
		t.Errorf("addresses whose connections are to be checked: %v", n.suspects)
	}
	h.run(2 * sec)
	clear(h.written)
	h.sendTraffic(Arrival{Service: "counts"}, 2*ms, sec)
	if h.written[first] < 25 || n.hasNote("endpoint "+first+" ejected") {
		t.Errorf("%s got %d of 500 requests afterwards", first, h.written[first])
	}
}

// endpointState returns the state of an endpoint in the entry's table.
func (n *node) endpointState(name string) table.EndpointState {
	for _, p := range n.poolRows {
		for i := range p.Endpoints {
			if p.Endpoints[i].Name == name {
				return p.Endpoints[i].State
			}
		}
	}
	return table.EndpointGone
}
