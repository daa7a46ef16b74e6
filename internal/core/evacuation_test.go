package core

import (
	"slices"
	"strings"
	"testing"

	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/route"
)

// publishList publishes the endpoints as they are, with the failure domains that are evacuated.
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

// Guards against requests that are still sent to a failure domain that an operator evacuates for
// maintenance: 1,866 reads and bookings arrived there more than 5 s after the evacuation was
// published. Once an entry knows of it, it must send nothing there: no new request, none that waits
// or has load probes under way, no second attempt, and nothing to an endpoint that joins there.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	h := newEntryHarness(t, append(idleEndpoints(2, "d0"), idleEndpoints(2, "d1")...)...)
	h.learnServiceTime(8)
	probing := h.sendRequest(route.Idempotent, 3*sec)
	if len(h.probed) == 0 || h.endpoint(h.probed[0]).domain != "d0" {
		t.Fatalf("load probes to %v, want the own failure domain first", h.probed)
	}
	h.publishList(2, "d0")
	h.run(20 * ms)
	if n := h.sentToDomain("d0"); n > 0 {
		t.Fatal("a request whose load probes began before the evacuation was sent there")
	}
	h.answer(probing, 1, 200)
	h.endpoints = append(h.endpoints, &simEndpoint{name: "d0-new", domain: "d0"})
	h.publishList(3, "d0")
	var open []RequestID
	for i := range 12 { // four slots, so most requests wait
		open = append(open, h.sendRequest(route.Kinds()[i%3], 3*sec))
	}
	h.run(200 * ms) // reads are overdue and under supervision
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
		t.Errorf("after the evacuation ended: sent to %v", h.sent)
	}
}

// An attempt was decided just before the entry learned that the endpoint's failure domain is
// evacuated, and its connection opened only afterwards. The driver asks again before it writes the
// first byte.
func TestAttemptIsNotWrittenToEvacuatedDomain(t *testing.T) {
	h := newEntryHarness(t, append(idleEndpoints(1, "d0"), idleEndpoints(1, "d1")...)...)
	h.learnServiceTime(8)
	id := h.sendRequest(route.NonIdempotent, 3*sec)
	h.run(20 * ms)
	if !h.MaySend(h.now, id, 1) {
		t.Fatal("an attempt may not be sent although its failure domain is in use")
	}
	h.publishList(2, "d0")
	if h.MaySend(h.now, id, 1) {
		t.Error("an attempt may be sent to an endpoint of an evacuated failure domain")
	}
	h.do(func(out *Actions) { h.End(h.now, End{ID: id, Attempt: 1, Kind: EndNotWritten, Replayable: true}, out) })
	h.run(40 * ms)
	if got := h.open[id][2].Endpoint; got != "d1-0" {
		t.Errorf("the next attempt is sent to %q, want d1-0", got)
	}
}

// All failure domains are evacuated at once. Callers must be refused at once with the outcome
// not-run and a retry delay. As soon as a domain returns from evacuation their requests are served
// again.
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
			t.Errorf("request %d: outcome %v (%v), retry after %v", id, d.Outcome, d.Reason, d.RetryAfter)
		}
	}
	h.publishList(3, "d0")
	id := h.sendRequest(route.Idempotent, 3*sec)
	h.run(20 * ms)
	if got := h.open[id][1].Endpoint; got != "d1-0" {
		t.Errorf("sent to %q, want d1-0", got)
	}
}

// An entry that lags brings an older list without the evacuation; the newer list stays in force.
// The audit trail has one line per failure domain for the evacuation and one for its end.
func TestEvacuationSurvivesOlderListAndIsAudited(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(3, "d0")...)
	h.publishList(5, "d0")
	h.publishList(4)
	h.run(sec)
	for i := range h.pools["p"].Endpoints {
		if e := &h.pools["p"].Endpoints[i]; e.TakesWork() || e.State != table.EndpointLive {
			t.Errorf("%s takes work or is not live", e.Name)
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
		t.Errorf("audit lines %q, want %q", lines, want)
	}
}
