package core

import (
	"strings"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/route"
)

// republish publishes the profiles with parts of their text replaced.
func (h *clusterHarness) republish(revision uint64, oldNew ...string) {
	text := string(h.values[published.ProfilesValue].Data)
	changed := strings.NewReplacer(oldNew...).Replace(text)
	if changed == text {
		h.Fatalf("no text to replace: %q", oldNew)
	}
	h.publish(published.ProfilesValue, revision, changed)
}

// Guards against waiting requests that run several times when a published profile moves their
// service to another pool: the queue of the old pool kept the requests, and requests sent to the
// new pool were never removed from it.
func TestServiceMovesToAnotherPoolWhileRequestsWait(t *testing.T) {
	h := newServingCluster(t, 1, "waste/w1", "counts/c1", "counts/c2", "counts/c3")
	n := h.nodes[0]
	h.endpoint = func(string, Arrival) reaction { return reaction{after: 300 * ms} }
	for caller := range uint64(5) {
		h.sendRequest(n, Arrival{Service: "waste", Caller: caller, Key: h.key(n), HasKey: true})
	}
	h.run(50 * ms)
	h.republish(2, "[service.waste]\nprofile = \"waste\"", "[service.waste]\nprofile = \"waste\"\npool = \"counts\"")
	h.run(3 * sec)
	for id := range h.nextID {
		if got := n.replies[id+1]; got.Outcome != OutcomeDone || got.repliedTwice {
			t.Errorf("request %d: reply %+v", id+1, got)
		}
	}
	for body, runs := range h.ran {
		if runs != 1 {
			t.Errorf("%s ran %d times", body, runs)
		}
	}
	if n.pools["waste"].Outstanding()+n.pools["counts"].Outstanding()+n.InFlight() != 0 {
		t.Error("slots are in use or requests are in flight although nothing runs")
	}
}

// Guards against a queue that is blocked by a request which all endpoints have refused as not run:
// nothing passes the head of the queue, so all other requests wait for their deadlines although the
// endpoints are idle.
func TestRequestThatTriedAllEndpointsDoesNotBlockQueue(t *testing.T) {
	h := newServingCluster(t, 1, "counts/c1", "counts/c2")
	n := h.nodes[0]
	for range 50 { // earn retries
		h.sendRequest(n, Arrival{Service: "counts", Caller: 1})
		h.run(20 * ms)
	}
	h.endpoint = func(_ string, a Arrival) reaction {
		return reaction{after: 5 * ms, head: Head{NotRun: a.Caller == 2}}
	}
	refused := h.sendRequest(n, Arrival{Service: "counts", Caller: 2})
	h.run(50 * ms)
	other := h.sendRequest(n, Arrival{Service: "counts", Caller: 1})
	h.run(50 * ms)
	if _, answered := n.replies[other]; !answered {
		t.Error("another caller's request waits behind a request that has no endpoint left to try")
	}
	h.run(sec)
	if got := n.replies[refused]; got.Outcome != OutcomeNotRun || got.Reason != ReasonEndpointsRefuse {
		t.Errorf("the refused request: reply %+v", got)
	}
}

// Guards against a close that changes the policies without assigning the services anew. More
// entries then serve the "waste" service, but they do not report their slots in use to each other
// until some VM changes, and send to the same endpoints.
func TestCloseReassignsServices(t *testing.T) {
	h := newServingCluster(t, 6, "waste/w1")
	h.platformDown = func(*node) bool { return true }
	before := len(h.nodes[0].pools["waste"].deciders)
	h.wall = h.wall.Add(6 * time.Hour)
	h.run(sec)
	if after := len(h.nodes[0].pools["waste"].deciders); before != 3 || after != 6 {
		t.Errorf("%d deciders on ordinary days and %d during the close, want 3 and 6", before, after)
	}
}

// Guards against an entry that never ends the work on a configuration which moves a service away from
// a pool while its requests wait there for an endpoint with room.
func TestServiceMovesAwayWhileRequestsWaitForRoom(t *testing.T) {
	const requests = 5
	toP, toQ := route.Part{Service: "p", Weight: 1}, route.Part{Service: "q", Weight: 1}
	for _, c := range []struct {
		name  string
		moves [][]route.Part
	}{
		{"away", [][]route.Part{{toQ}}},
		{"in part", [][]route.Part{{toP, toQ}}},
		{"away and back", [][]route.Part{{toQ}, {toP}}},
		{"away, back and away", [][]route.Part{{toQ}, {toP}, {toQ}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newEntryHarness(t, idleEndpoints(3, "d0")...)
			h.learnServiceTime(3)
			for _, ep := range h.endpoints {
				ep.running, ep.waiting = 2, 4
			}
			for range requests {
				h.sendRequest(route.Idempotent, 3*sec)
				h.run(20 * ms)
			}
			if h.pools["p"].queue.Len() == 0 {
				t.Fatal("no request waits")
			}
			for i, parts := range c.moves {
				h.publish(uint64(2+i), harnessRoutes(parts...))
				h.run(20 * ms)
			}
			for _, ep := range h.endpoints {
				ep.running, ep.waiting = 0, 0
			}
			h.serviceTime = 50 * ms
			h.run(sec)
			if len(h.sent) != requests || h.InFlight() != 0 {
				t.Errorf("%d requests sent of %d, %d in flight", len(h.sent), requests, h.InFlight())
			}
		})
	}
}
