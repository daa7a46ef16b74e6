package core

import (
	"slices"
	"strings"
	"testing"

	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/route"
)

// relist publishes the boxes as they are, with the failure domains that are evacuated.
func (y *entryHarness) relist(revision uint64, evacuated ...string) {
	list := y.listed(revision)
	list.Evacuated = evacuated
	y.offerList(list)
}

// sentTo counts the attempts sent to endpoints of a failure domain.
func (y *entryHarness) sentTo(domain string) (n int) {
	for _, name := range y.sent {
		if y.endpoint(name).domain == domain {
			n++
		}
	}
	return n
}

// An operator empties a failure domain for maintenance. Nothing knew of that: reads and bookings
// went on to its endpoints, 1,866 of them later than 5 s after the word. From the moment at which
// an entry learns of it nothing may go there: no new request, none that waits or for which looks
// are under way, no second attempt, and nothing to an endpoint that joins there.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	y := newEntryHarness(t, append(idle(2, "d0"), idle(2, "d1")...)...)
	y.learn(8)
	looking := y.sendRequest(route.Idempotent, 3*sec)
	if len(y.probed) == 0 || y.endpoint(y.probed[0]).domain != "d0" {
		t.Fatalf("looks at %v: the own domain comes first", y.probed)
	}
	y.relist(2, "d0")
	y.run(20 * ms)
	if n := y.sentTo("d0"); n > 0 {
		t.Fatal("a request that looked since before went there")
	}
	y.answer(looking, 1, 200)
	y.endpoints = append(y.endpoints, &simEndpoint{name: "d0-new", domain: "d0"})
	y.relist(3, "d0")
	var open []RequestID
	for i := range 12 { // four slots: most of them wait
		open = append(open, y.sendRequest(route.Kinds()[i%3], 3*sec))
	}
	y.run(200 * ms) // reads are overdue and looked after
	for len(open) > 0 {
		id := open[0]
		open = open[1:]
		for n := range y.open[id] {
			y.answer(id, n, 200)
		}
		y.run(20 * ms)
	}
	if y.sentTo("d0") > 0 || y.sentTo("d1") < 6 {
		t.Errorf("sent to %v", y.sent)
	}
	y.sent = nil
	y.relist(4)
	y.run(sec)
	for range 3 {
		y.sendRequest(route.Idempotent, 3*sec)
		y.run(20 * ms)
	}
	if y.sentTo("d0") != 3 {
		t.Errorf("after it was taken back: sent to %v", y.sent)
	}
}

// An attempt was decided on a moment before an entry learned that the endpoint's failure domain is
// evacuated, and its connection opened only then. The driver asks before the first byte.
func TestAttemptIsNotWrittenToAnEvacuatedDomain(t *testing.T) {
	y := newEntryHarness(t, append(idle(1, "d0"), idle(1, "d1")...)...)
	y.learn(8)
	id := y.sendRequest(route.NonIdempotent, 3*sec)
	y.run(20 * ms)
	if !y.MaySend(y.now, id, 1) {
		t.Fatal("an attempt may not be sent although nothing has happened")
	}
	y.relist(2, "d0")
	if y.MaySend(y.now, id, 1) {
		t.Error("it may be sent to an endpoint of an evacuated failure domain")
	}
	y.do(func(out *Actions) { y.End(y.now, End{ID: id, Attempt: 1, Kind: EndNotWritten, Replayable: true}, out) })
	y.run(40 * ms)
	if got := y.open[id][2].Endpoint; got != "d1-0" {
		t.Errorf("then it goes to %q, want d1-0", got)
	}
}

// All failure domains are evacuated at once. Nobody may answer, so callers are told at once that
// their request was not run and when to come back; as soon as a domain is taken back they are served.
func TestAllDomainsAreEvacuated(t *testing.T) {
	y := newEntryHarness(t, append(idle(1, "d0"), idle(1, "d1")...)...)
	y.learn(8)
	waiting := y.sendRequest(route.Idempotent, 3*sec)
	y.relist(2, "d0", "d1")
	y.run(40 * ms)
	late := y.sendRequest(route.NonIdempotent, 3*sec)
	y.run(10 * ms)
	for _, id := range []RequestID{waiting, late} {
		if d := y.told[id]; d.Outcome != OutcomeNotRun || d.Reason != ReasonNoEndpoint || d.RetryAfter <= 0 {
			t.Errorf("request %d is told %v, %v, come back after %v", id, d.Outcome, d.Reason, d.RetryAfter)
		}
	}
	y.relist(3, "d0")
	id := y.sendRequest(route.Idempotent, 3*sec)
	y.run(20 * ms)
	if got := y.open[id][1].Endpoint; got != "d1-0" {
		t.Errorf("sent to %q, want d1-0", got)
	}
}

// An entry that lagged brings an older list, without the evacuation; what is in force stays. An
// operator finds who asked and what came of it in the trail, one line a domain.
func TestEvacuationNeverGoesBackAndIsNoted(t *testing.T) {
	y := newEntryHarness(t, idle(3, "d0")...)
	y.relist(5, "d0")
	y.relist(4)
	y.run(sec)
	for i := range y.pools["p"].Endpoints {
		if e := &y.pools["p"].Endpoints[i]; e.TakesWork() || e.State != table.EndpointLive {
			t.Errorf("%s takes work", e.Name)
		}
	}
	y.relist(6)
	var lines []string
	for _, n := range y.notes {
		if strings.HasPrefix(n.Subject, "failure domain") {
			lines = append(lines, n.Subject+" "+n.Action)
		}
	}
	if want := []string{"failure domain d0 evacuated", "failure domain d0 taken-back"}; !slices.Equal(lines, want) {
		t.Errorf("noted %q, want %q", lines, want)
	}
}
