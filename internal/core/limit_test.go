package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// sentSince counts the attempts sent to an endpoint since a time.
func (y *entryHarness) sentSince(name string, since time.Duration) (n int) {
	for i, to := range y.sent {
		if to == name && y.sentAt[i] >= since {
			n++
		}
	}
	return n
}

// Guards against an endpoint that names a limit and gets more, by first attempts, by what waited for a
// slot, and where nobody else has room; and against one that gets nothing afterwards.
func TestLimitedEndpointGetsWhatItTakes(t *testing.T) {
	for _, c := range []struct {
		name     string
		endpoint int
		others   func(b *simEndpoint)
	}{
		{"others are idle", 4, func(*simEndpoint) {}},
		{"others are full", 2, func(b *simEndpoint) { b.running, b.waiting = 2, 4 }},
		{"it is alone", 1, func(*simEndpoint) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			y := newEntryHarness(t, idle(c.endpoint, "d0")...)
			y.learn(8)
			y.run(2 * sec)
			limited := y.endpoint("d0-0")
			limited.limit = 2
			for _, b := range y.endpoints[1:] {
				c.others(b)
			}
			y.press(20*ms, sec)
			from := y.now
			y.press(20*ms, 4*sec)
			if n := y.sentSince("d0-0", from); n > 9 || n < 5 {
				t.Errorf("it gets %d in four seconds, takes 8", n)
			}
			limited.limit = 0
			y.press(20*ms, 2*sec)
			from = y.now
			y.press(20*ms, 4*sec)
			if n := y.sentSince("d0-0", from); n < 30 {
				t.Errorf("it gets %d in four seconds when it names no limit any more", n)
			}
		})
	}
}

// Guards against a limit that is forgotten for an answer that says nothing of it: a refusal, a failure, an
// answer from before, or to a look.
func TestLimitHoldsUntilAnAnswerSaysOtherwise(t *testing.T) {
	y := newEntryHarness(t, idle(2, "d0")...)
	y.learn(8)
	y.run(2 * sec)
	e := &y.pools["p"].Endpoints[0]
	told := func(status int, notRun bool, limit float64) {
		var out Actions
		r := &request{pool: y.pools["p"], service: y.services["idempotent"]}
		a := &attempt{index: 0, incarnation: e.Incarnation}
		y.observeHead(y.now, r, a, Head{Status: status, NotRun: notRun, Load: Load{RateLimit: limit}}, &out)
	}
	looked := func(limit float64) {
		end := ProbeEnd{Probe: Probe{Pool: "p", Endpoint: e.Name, Incarnation: e.Incarnation, Path: "/h"}, OK: true,
			Load: Load{Known: true, Slots: 2, RateLimit: limit}}
		y.do(func(out *Actions) { y.ProbeEnd(y.now, end, out) })
	}
	told(200, false, 3)
	told(200, false, 0) // it was on its way already
	y.run(sec)
	told(503, true, 0)
	told(500, false, 0)
	looked(0)
	if e.Limit.Rate != 3 {
		t.Fatalf("limit %v", e.Limit.Rate)
	}
	told(503, true, 0.5)
	if e.Limit.Rate != 0.5 {
		t.Errorf("limit %v after a refusal that names a lower one", e.Limit.Rate)
	}
	y.run(sec)
	looked(0.25)
	if e.Limit.Rate != 0.25 {
		t.Errorf("limit %v after a look that names a lower one", e.Limit.Rate)
	}
	y.run(sec)
	looked(0)
	if e.Limit.Rate != 0 {
		t.Errorf("limit %v after a look that names none, as looks did", e.Limit.Rate)
	}
	told(200, false, 5)
	y.run(sec)
	told(200, false, 0)
	if e.Limit.Rate != 0 {
		t.Errorf("limit %v after an answer that names none", e.Limit.Rate)
	}
}

// Guards against entries that don't hear of a limit, or hear of it before they know the endpoint, and against
// older news that takes the place of later.
func TestLimitIsToldToTheFleet(t *testing.T) {
	r := settled(t, 3, "counts/c1", "counts/c2")
	limitOf := func(n *node, name string) float64 {
		ref, there := n.fleet.rows[name]
		if !there {
			return -1
		}
		return ref.pool.Endpoints[ref.index].Limit.Rate
	}
	limit := 2.5
	r.endpoint = func(name string, _ Arrival) reaction {
		if name == "c1" {
			return reaction{after: 5 * ms, head: Head{Load: Load{RateLimit: limit}}}
		}
		return reaction{after: 5 * ms}
	}
	use := func(d time.Duration) {
		for end := r.now + d; r.now < end; r.run(20 * ms) {
			for _, n := range r.nodes {
				r.sendRequest(n, Arrival{Service: "counts", Caller: 1})
			}
		}
	}
	want := func(rate float64) {
		t.Helper()
		for _, n := range r.nodes {
			if got := limitOf(n, "c1"); got != rate {
				t.Errorf("%s: limit %v, want %v", n.hello.Name, got, rate)
			}
			if got := limitOf(n, "c2"); got != 0 {
				t.Errorf("%s: limit %v of the other endpoint", n.hello.Name, got)
			}
		}
	}
	use(sec)
	want(2.5)
	late := r.start(3)
	r.publishVMs(2, "counts/c1", "counts/c2")
	r.run(4 * sec)
	if got := limitOf(late, "c1"); got != 2.5 {
		t.Errorf("an entry that has started: limit %v", got)
	}
	before := r.written["c1"]
	use(4 * sec)
	if got := r.written["c1"] - before; got > 11 || got == 0 {
		t.Errorf("it got %d in four seconds, takes 10", got)
	}
	limit = 0.4
	use(6 * sec)
	want(0.4)
	old := message.Update{From: r.nodes[0].hello.Incarnation, Sequence: 1 << 40, Evidence: []message.Evidence{{VM: limitSubject + "c1", Incarnation: 1,
		Kind: message.EvidenceLimit, Limit: message.Limit{Rate: 99, Version: 1}}}}
	r.do(r.nodes[1], func(now time.Duration, out *Actions) { r.nodes[1].PeerUpdate(now, &old, out) })
	want(0.4)
	limit = 0
	use(12 * sec)
	want(0)
	if r.nodes[1].limits[endpointID{"c1", 1}].Rate != 0 {
		t.Error("the end of the limit is not known")
	}
}

// Guards against limits of endpoints that have gone, or never were, which fill the memory.
func TestLimitsAreForgotten(t *testing.T) {
	y := newEntryHarness(t, idle(1, "d0")...)
	var evidence []message.Evidence
	for i := range limitsMost + 100 {
		evidence = append(evidence, message.Evidence{VM: limitSubject + fmt.Sprint("x", i), Incarnation: 1, Kind: message.EvidenceLimit,
			Limit: message.Limit{Rate: 1, Version: 1}})
	}
	y.do(func(out *Actions) { y.takeLimits(y.now, evidence, out) })
	if len(y.limits) != limitsMost {
		t.Errorf("%d limits are held, %d at most", len(y.limits), limitsMost)
	}
	y.forgetLimits(y.now + limitKept)
	if len(y.limits) != 0 {
		t.Errorf("%d limits of unknown endpoints are held for good", len(y.limits))
	}
}
