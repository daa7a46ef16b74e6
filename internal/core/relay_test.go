package core

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// paths is the state of the network paths from an entry to all endpoints.
type paths uint8

const (
	pathsWork paths = iota
	// pathsSilent: nothing is answered, and dials time out.
	pathsSilent
	// pathsRefuse: connections are refused.
	pathsRefuse
)

// dialTimeout is the timeout of dials in the harness.
const dialTimeout = 900 * ms

// failDial ends an attempt whose endpoint is not reached.
func (h *clusterHarness) failDial(n *node, d Directive, state paths) {
	after := lag
	if state == pathsSilent {
		after = dialTimeout
	}
	h.post(after, n, func() { h.end(n, attemptKey{d.ID, d.Attempt}, End{Kind: EndNotWritten, DialFailed: true}) })
}

// relay sends a request to a helper and returns the helper's answer.
func (h *clusterHarness) relay(n *node, d Directive) {
	t := attemptKey{d.ID, d.Attempt}
	helper := h.nodeAt(d.Address)
	a := n.arrivals[d.ID]
	if a.Relayed {
		h.Errorf("%s relays a request that was relayed to it", n.hello.Name)
	}
	if !h.reaches(n, helper) {
		h.end(n, t, End{Kind: EndNotWritten, DialFailed: true})
		return
	}
	a.Relayed, a.Counted, a.Timeout = true, d.Counted, d.Deadline-(h.now-n.started)
	if a.CallerAttempt = 1; d.Repeated {
		a.CallerAttempt = 2
	}
	h.nextID++
	a.ID = h.nextID
	h.post(lag, helper, func() {
		helper.relays[a.ID] = func(answer reply) {
			if h.reaches(helper, n) {
				h.post(0, n, func() { h.answerRelayed(n, t, answer) })
			}
		}
		helper.arrivals[a.ID] = a
		h.do(helper, func(now time.Duration, out *Actions) { helper.Arrive(now, a, out) })
	})
}

// answerRelayed delivers a helper's answer.
func (h *clusterHarness) answerRelayed(n *node, t attemptKey, answer reply) {
	if _, open := n.open[t]; !open {
		return
	}
	re := reaction{head: Head{Status: http.StatusOK, NotRun: answer.Outcome == OutcomeNotRun, Unusable: answer.Outcome == OutcomeUnknown, Reason: answer.Reason}}
	h.answer(n, t, re, answer.body)
}

// newRelayCluster starts a fleet whose paths to the endpoints a test cuts by entry.
func newRelayCluster(t testing.TB, entries int) (h *clusterHarness, state map[*node]paths) {
	h = newServingCluster(t, entries, append([]string{"shared/s1", "shared/s2", "shared/s3", "shared/s4"}, sixEndpoints...)...)
	state = map[*node]paths{}
	h.paths = func(n *node) paths { return state[n] }
	h.setReactions(reaction{after: 10 * ms})
	h.tick = 2 * ms
	for _, n := range h.nodes {
		n.cfg.Self.Capacity = 1000
	}
	return h, state
}

// Guards against entries that serve few of their callers while their own paths to all endpoints are
// cut and another entry reaches the same endpoints.
func TestCutEntriesRelay(t *testing.T) {
	for _, state := range []paths{pathsSilent, pathsRefuse} {
		for cut := 1; cut < 4; cut++ {
			t.Run(fmt.Sprint("state=", state, " cut=", cut), func(t *testing.T) {
				h, states := newRelayCluster(t, 4)
				for _, n := range h.nodes[:cut] {
					states[n] = state
				}
				// send sends requests for a while and counts those that arrive after the grace time.
				send := func(grace, length time.Duration) (served, all int) {
					sent := map[*node][]RequestID{}
					began := h.now
					for h.now < began+length {
						if h.run(60 * ms); h.now == began+grace {
							clear(sent)
						}
						for _, n := range h.nodes[:cut] {
							sent[n] = append(sent[n], h.sendRequest(n, Arrival{Service: "checks", Caller: uint64(h.nextID)}), h.sendRequest(n, Arrival{Service: "photos", Caller: uint64(h.nextID)}))
						}
					}
					h.run(3 * sec)
					for n, ids := range sent {
						for _, id := range ids {
							if all++; n.replies[id].Outcome == OutcomeDone {
								served++
							}
						}
					}
					return served, all
				}
				if served, all := send(3*sec, 6*sec); 10*served < 9*all {
					t.Errorf("%d of %d requests were served", served, all)
				}
				clear(states)
				h.run(2 * sec)
				relayed := h.nodes[0].Counters().Relayed
				if served, all := send(0, sec); served < all || h.nodes[0].Counters().Relayed != relayed {
					t.Errorf("when the paths work again: %d of %d requests were served, %d relayed", served, all, h.nodes[0].Counters().Relayed-relayed)
				}
			})
		}
	}
}

// Guards against requests that are held for long although no entry reaches an endpoint.
func TestAllCutEntriesRefuseAtOnce(t *testing.T) {
	h, states := newRelayCluster(t, 4)
	for _, n := range h.nodes {
		states[n] = pathsRefuse
	}
	for range 100 {
		h.sendRequest(h.nodes[0], Arrival{Service: "photos"})
		h.run(20 * ms)
	}
	for range 20 {
		began := h.now
		id := h.sendRequest(h.nodes[0], Arrival{Service: "photos"})
		h.run(200 * ms)
		if got, ok := h.nodes[0].replies[id]; !ok || got.Outcome != OutcomeNotRun || got.Reason != ReasonUnreachable && got.Reason != ReasonNoEndpoint || got.at > began+100*ms {
			t.Fatalf("answered %v: %+v", ok, got)
		}
	}
}

// Guards against a request that runs twice, or runs although its caller was told that it did not,
// while paths to endpoints are cut and come back in any order, at any entries.
func TestRelayedRequestsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h, states := newRelayCluster(t, rapid.IntRange(2, 4).Draw(rt, "entries"))
		h.tick = 10 * ms
		kinds := []string{"answers", "refuses", "not dialled", "lost", "breaks off", "slow"}
		outcomes := map[*node]map[RequestID]string{}
		for range rapid.IntRange(5, 25).Draw(rt, "steps") {
			n := rapid.SampledFrom(h.nodes).Draw(rt, "entry")
			states[n] = rapid.SampledFrom([]paths{pathsWork, pathsSilent, pathsRefuse}).Draw(rt, "paths")
			kind := rapid.SampledFrom(kinds).Draw(rt, "reaction")
			h.setReactions(reactions[kind], "s1", "s2")
			for range 4 {
				to := rapid.SampledFrom(h.nodes).Draw(rt, "caller")
				id := h.sendRequest(to, Arrival{Service: "photos"})
				if outcomes[to] == nil {
					outcomes[to] = map[RequestID]string{}
				}
				outcomes[to][id] = requestText(to.arrivals[id])
				h.run(time.Duration(rapid.IntRange(1, 80).Draw(rt, "gap")) * ms)
			}
		}
		h.run(10 * sec)
		for n, sent := range outcomes {
			for id, text := range sent {
				got := n.replies[id]
				if got.repliedTwice || h.ran[text] > 1 || got.Outcome == OutcomeNotRun && h.ran[text] > 0 || got.Outcome == OutcomeDone && h.ran[text] == 0 {
					rt.Fatalf("%s: outcome %v (%v), ran %d times, replied twice %v", text, got.Outcome, got.Reason, h.ran[text], got.repliedTwice)
				}
			}
		}
	})
}

// Guards against a helper that is crowded out by the requests of others, and against one that
// serves a request by older routes than the entry that relayed it.
func TestHelperRefusesRelayedRequests(t *testing.T) {
	h, _ := newRelayCluster(t, 2)
	n := h.nodes[0]
	h.setReactions(reaction{after: sec})
	var ids []RequestID
	n.cfg.Self.Capacity = 0
	for range minRelayed + 1 {
		ids = append(ids, h.sendRequest(n, Arrival{Service: "photos", Relayed: true}))
	}
	if got := n.replies[ids[minRelayed]]; got.Reason != ReasonOverload || got.Outcome != OutcomeNotRun {
		t.Errorf("a relayed request beyond the bound: %+v", got)
	}
	h.run(20 * sec)
	if n.relayedInFlight != 0 {
		t.Errorf("%d relayed requests count as in flight", n.relayedInFlight)
	}
	id := h.sendRequest(n, Arrival{Service: "photos", Relayed: true, Revision: n.InForce("profiles").Revision + 1000})
	if got := n.replies[id]; got.Reason != ReasonBehind || got.Outcome != OutcomeNotRun {
		t.Errorf("a relayed request of a later revision: %+v", got)
	}
}

// Guards against helpers in other failure domains while one in the own domain serves.
func TestHelperOfOwnDomainComesFirst(t *testing.T) {
	h, states := newRelayCluster(t, 6) // entry-0 and entry-3 are in d0
	states[h.nodes[0]] = pathsRefuse
	for range 100 {
		h.sendRequest(h.nodes[0], Arrival{Service: "photos"})
		h.run(20 * ms)
	}
	for i, n := range h.nodes {
		if got := n.Counters().RelayedHere; (got > 0) != (i == 3) {
			t.Errorf("%s served %d relayed requests", n.hello.Name, got)
		}
	}
}

func (h *clusterHarness) pathsOf(n *node) paths {
	if h.paths == nil {
		return pathsWork
	}
	return h.paths(n)
}

// Guards against requests that fail because helpers are sought only in the own failure domain while
// all entries there are cut.
func TestHelpersOutsideCutDomain(t *testing.T) {
	h, states := newRelayCluster(t, 21) // seven entries in each of three failure domains
	cut := h.nodes[0].hello.Domain
	for _, n := range h.nodes {
		if n.hello.Domain == cut {
			states[n] = pathsRefuse
		}
	}
	var ids []RequestID
	for i := range 200 {
		for _, n := range h.nodes[:1] {
			if id := h.sendRequest(n, Arrival{Service: "photos", Caller: uint64(i)}); i >= 50 {
				ids = append(ids, id)
			}
		}
		h.run(20 * ms)
	}
	h.run(sec)
	served := 0
	for _, id := range ids {
		if h.nodes[0].replies[id].Outcome == OutcomeDone {
			served++
		}
	}
	if served < len(ids) {
		t.Errorf("%d of %d requests were served", served, len(ids))
	}
}

// Guards against callers that are directed to a cut entry for as long as the cut lasts, to hardly
// any entry when most are cut, or still elsewhere when the paths are back.
func TestCallersAreDirectedToEntriesThatReachEndpoints(t *testing.T) {
	for _, c := range []struct{ cut, named int }{{1, 5}, {3, 3}, {4, 6}, {6, 6}} {
		h, states := newRelayCluster(t, 6)
		for _, n := range h.nodes[:c.cut] {
			states[n] = pathsRefuse
		}
		send := func(length time.Duration) {
			for end := h.now + length; h.now < end; h.run(20 * ms) {
				for _, n := range h.nodes {
					h.sendRequest(n, Arrival{Service: "checks", Caller: uint64(h.nextID)})
				}
			}
		}
		named := func(want int, when string) {
			for _, n := range h.nodes {
				all := map[string]bool{}
				for _, domain := range []string{"d0", "d1", "d2"} {
					for _, address := range n.EntriesNear(domain, 64) {
						all[address] = true
					}
				}
				if len(all) != want {
					t.Errorf("%d of 6 cut, %s: %s names %d entries, want %d", c.cut, when, n.hello.Name, len(all), want)
				}
			}
		}
		send(4 * sec)
		named(c.named, "during the cut")
		clear(states)
		send(4 * sec)
		named(6, "afterwards")
	}
}
