package core

import (
	"slices"
	"strings"
	"testing"

	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/route"
)

// publishList publishes the boxes as they are, with the failure domains that are evacuated.
func (h *entryHarness) publishList(revision uint64, evacuated ...string) {
	list := h.vmList(revision)
	list.Evacuated = evacuated
	h.offerList(list)
}

// sentToDomain counts the attempts sent to endpoints of a failure domain.
func (h *entryHarness) sentToDomain(domain string) (n int) {
	for _, name := range h.sent {
		if h.endpoint(name).domain == domain {
			n++
		}
	}
	return n
}

// An operator empties a failure domain for maintenance. Nothing knew of that: reads and bookings
// went on to its endpoints, 1,866 of them later than 5 s after the word. From the moment at which
// an entry learns of it nothing may go there: no new request, none that waits or for which looks
// are under way, no second attempt, and nothing to an endpoint that joins there.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	h := newEntryHarness(t, append(idleEndpoints(2, "d0"), idleEndpoints(2, "d1")...)...)
	h.learnServiceTime(8)
	probing := h.sendRequest(route.Idempotent, 3*sec)
	if len(h.probed) == 0 || h.endpoint(h.probed[0]).domain != "d0" {
		t.Fatalf("looks at %v: the own domain comes first", h.probed)
	}
	h.publishList(2, "d0")
	h.run(20 * ms)
	if n := h.sentToDomain("d0"); n > 0 {
		t.Fatal("a request that looked since before went there")
	}
	h.answer(probing, 1, 200)
	h.endpoints = append(h.endpoints, &simEndpoint{name: "d0-new", domain: "d0"})
	h.publishList(3, "d0")
	var open []RequestID
	for i := range 12 { // four slots: most of them wait
		open = append(open, h.sendRequest(route.Kinds()[i%3], 3*sec))
	}
	h.run(200 * ms) // reads are overdue and looked after
	for len(open) > 0 {
		id := open[0]
		open = open[1:]
		for n := range h.open[id] {
			h.answer(id, n, 200)
		}
		h.run(20 * ms)
	}
	if h.sentToDomain("d0") > 0 || h.sentToDomain("d1") < 6 {
		t.Errorf("sent to %v", h.sent)
	}
	h.sent = nil
	h.publishList(4)
	h.run(sec)
	for range 3 {
		h.sendRequest(route.Idempotent, 3*sec)
		h.run(20 * ms)
	}
	if h.sentToDomain("d0") != 3 {
		t.Errorf("after it was taken back: sent to %v", h.sent)
	}
}

// An attempt was decided on a moment before an entry learned that the endpoint's failure domain is
// evacuated, and its connection opened only then. The driver asks before the first byte.
func TestAttemptIsNotWrittenToEvacuatedDomain(t *testing.T) {
	h := newEntryHarness(t, append(idleEndpoints(1, "d0"), idleEndpoints(1, "d1")...)...)
	h.learnServiceTime(8)
	id := h.sendRequest(route.NonIdempotent, 3*sec)
	h.run(20 * ms)
	if !h.MaySend(h.now, id, 1) {
		t.Fatal("an attempt may not be sent although nothing has happened")
	}
	h.publishList(2, "d0")
	if h.MaySend(h.now, id, 1) {
		t.Error("it may be sent to an endpoint of an evacuated failure domain")
	}
	h.do(func(out *Actions) { h.End(h.now, End{ID: id, Attempt: 1, Kind: EndNotWritten, Replayable: true}, out) })
	h.run(40 * ms)
	if got := h.open[id][2].Endpoint; got != "d1-0" {
		t.Errorf("then it goes to %q, want d1-0", got)
	}
}

// All failure domains are evacuated at once. Nobody may answer, so callers are told at once that
// their request was not run and when to come back; as soon as a domain is taken back they are served.
func TestRequestsAreRefusedWhenAllDomainsAreEvacuated(t *testing.T) {
	h := newEntryHarness(t, append(idleEndpoints(1, "d0"), idleEndpoints(1, "d1")...)...)
	h.learnServiceTime(8)
	waiting := h.sendRequest(route.Idempotent, 3*sec)
	h.publishList(2, "d0", "d1")
	h.run(40 * ms)
	late := h.sendRequest(route.NonIdempotent, 3*sec)
	h.run(10 * ms)
	for _, id := range []RequestID{waiting, late} {
		if d := h.replies[id]; d.Outcome != OutcomeNotRun || d.Reason != ReasonNoEndpoint || d.RetryAfter <= 0 {
			t.Errorf("request %d is told %v, %v, come back after %v", id, d.Outcome, d.Reason, d.RetryAfter)
		}
	}
	h.publishList(3, "d0")
	id := h.sendRequest(route.Idempotent, 3*sec)
	h.run(20 * ms)
	if got := h.open[id][1].Endpoint; got != "d1-0" {
		t.Errorf("sent to %q, want d1-0", got)
	}
}

// An entry that lagged brings an older list, without the evacuation; what is in force stays. An
// operator finds who asked and what came of it in the trail, one line a domain.
func TestEvacuationSurvivesOlderListAndIsAudited(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(3, "d0")...)
	h.publishList(5, "d0")
	h.publishList(4)
	h.run(sec)
	for i := range h.pools["p"].Endpoints {
		if e := &h.pools["p"].Endpoints[i]; e.TakesWork() || e.State != table.EndpointLive {
			t.Errorf("%s takes work", e.Name)
		}
	}
	h.publishList(6)
	var lines []string
	for _, n := range h.notes {
		if strings.HasPrefix(n.Subject, "failure domain") {
			lines = append(lines, n.Subject+" "+n.Action)
		}
	}
	if want := []string{"failure domain d0 evacuated", "failure domain d0 taken-back"}; !slices.Equal(lines, want) {
		t.Errorf("noted %q, want %q", lines, want)
	}
}
