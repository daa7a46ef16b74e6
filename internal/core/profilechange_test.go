package core

import (
	"strings"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/published"
)

// republish publishes the profiles with some of their text replaced.
func (r *clusterHarness) republish(revision uint64, oldNew ...string) {
	text := string(r.docs[published.ProfilesValue].Data)
	changed := strings.NewReplacer(oldNew...).Replace(text)
	if changed == text {
		r.Fatalf("nothing to replace: %q", oldNew)
	}
	r.publish(published.ProfilesValue, revision, changed)
}

// A steward's entries wait for a slot when the operators move the service to
// another pool. The new profile comes into force, and each waiting entry is
// booked several times: the queue of the old pool still held the request, and
// what went to the new pool was never taken out of it.
func TestServiceMovesToAnotherPoolWhileRequestsWait(t *testing.T) {
	r := settled(t, 1, "waste/w1", "counts/c1", "counts/c2", "counts/c3")
	n := r.nodes[0]
	r.endpoint = func(string, Arrival) reaction { return reaction{after: 300 * ms} }
	for caller := range uint64(5) {
		r.sendRequest(n, Arrival{Service: "waste", Caller: caller, Key: r.key(n), HasKey: true})
	}
	r.run(50 * ms)
	r.republish(2, "[service.waste]\nprofile = \"waste\"", "[service.waste]\nprofile = \"waste\"\npool = \"counts\"")
	r.run(3 * sec)
	for id := range r.nextID {
		if got := n.replies[id+1]; got.Outcome != OutcomeDone || got.twice {
			t.Errorf("request %d: told %+v", id+1, got)
		}
	}
	for what, times := range r.ran {
		if times != 1 {
			t.Errorf("%s ran %d times", what, times)
		}
	}
	if n.pools["waste"].Outstanding()+n.pools["counts"].Outstanding()+n.InFlight() != 0 {
		t.Error("slots or requests are held although nothing runs")
	}
}

// Two endpoints turn one tablet's request away as not run. From then on every
// tablet of the kitchen waits for its deadline although both endpoints are
// idle: the request at the head of the queue had tried them all, and nothing
// passes the head.
func TestRequestThatTriedAllEndpointsDoesNotBlockQueue(t *testing.T) {
	r := settled(t, 1, "counts/c1", "counts/c2")
	n := r.nodes[0]
	for range 50 { // earn retries
		r.sendRequest(n, Arrival{Service: "counts", Caller: 1})
		r.run(20 * ms)
	}
	r.endpoint = func(_ string, a Arrival) reaction {
		return reaction{after: 5 * ms, head: Head{NotRun: a.Caller == 2}}
	}
	refused := r.sendRequest(n, Arrival{Service: "counts", Caller: 2})
	r.run(50 * ms)
	other := r.sendRequest(n, Arrival{Service: "counts", Caller: 1})
	r.run(50 * ms)
	if _, answered := n.replies[other]; !answered {
		t.Error("another caller's request waits behind one that no endpoint is left for")
	}
	r.run(sec)
	if got := n.replies[refused]; got.Outcome != OutcomeNotRun || got.Reason != ReasonEndpointsRefuse {
		t.Errorf("the refused request: told %+v", got)
	}
}

// A close begins and more entries serve waste entries, but these don't tell each
// other which slots they use until some VM comes or goes: stewards meet at the
// same endpoints all evening. The calendar had switched the policies without
// dividing the work anew.
func TestCloseReassignsServices(t *testing.T) {
	r := settled(t, 6, "waste/w1")
	r.platformDown = func(*node) bool { return true }
	before := len(r.nodes[0].pools["waste"].deciders)
	r.wall = r.wall.Add(6 * time.Hour)
	r.run(sec)
	if after := len(r.nodes[0].pools["waste"].deciders); before != 3 || after != 6 {
		t.Errorf("%d entries decide on ordinary days and %d during the close, want 3 and 6", before, after)
	}
}
