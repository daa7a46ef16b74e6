package core

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/placement"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/message"
)

// An endpoint drains, crashes and starts again under the same name and address, cold and empty.
// Knowledge of the earlier incarnation must not count: the new one gets requests although its name
// was known to leave, has a slow start, and is affected neither by its predecessor's failures nor
// by a peer's late evidence about it.
func TestRestartedEndpointIsANewIncarnation(t *testing.T) {
	h := newServingCluster(t, 2, "counts/c1#5", "counts/c2#5")
	h.setReactions(reaction{})
	h.sendTraffic(Arrival{Service: "counts"}, 10*ms, 12*sec) // past the cold start
	n := h.nodes[0]
	p := n.pools["counts"]
	before := &p.Endpoints[p.find("c1", 5)]
	placement.NoteOutcome(h.now, before, true)
	before.NoteProbed(table.ProbedLoad{Running: 2, Slots: 2, Pace: 500, At: h.now, Seen: true})
	leaving := message.Evidence{VM: "c1", Incarnation: 5, Kind: message.EvidenceLeaving}
	h.do(n, func(_ time.Duration, out *Actions) { n.applyEvidence(h.now, out, leaving) })
	h.run(sec) // the other entry is notified
	clear(h.written)
	h.sendTraffic(Arrival{Service: "counts"}, 10*ms, 2*sec)
	if h.written["c1"] > 0 {
		t.Fatalf("the leaving endpoint got %d requests", h.written["c1"])
	}
	h.publishVMs(2, "counts/c1#6", "counts/c2#5")
	h.run(sec)
	i := p.find("c1", 6)
	if i < 0 {
		t.Fatalf("the new incarnation is not known: %+v", p.Endpoints)
	}
	e := &p.Endpoints[i]
	if e.State != table.EndpointLive || e.Doubt != 0 || e.Probed.Running != 0 || e.Slots >= e.Listed {
		t.Errorf("the new incarnation has the state of the earlier one: %+v", e)
	}
	for _, late := range []message.Evidence{leaving, {VM: "c1", Incarnation: 5, Kind: message.EvidenceStopped, AgeMillis: 3000}} {
		h.do(n, func(_ time.Duration, out *Actions) { n.applyEvidence(h.now, out, late) })
	}
	clear(h.written)
	h.sendTraffic(Arrival{Service: "counts"}, 10*ms, 7*sec)
	if h.written["c1"] == 0 {
		t.Errorf("the new incarnation gets no requests: %+v", *e)
	}
}

// A request runs at an endpoint that crashes and starts again under its name. The VM list shows the
// new incarnation before the connection breaks. The attempt belongs to the earlier incarnation, so
// the caller of a booking must not get the outcome not-run, and the attempt uses no slot of the new
// one.
func TestAttemptBelongsToItsIncarnation(t *testing.T) {
	h := newServingCluster(t, 1, "counts/c1#5")
	n := h.nodes[0]
	h.endpoint = func(string, Arrival) reaction { return reaction{after: 3 * sec, end: End{Kind: EndLost}} }
	id := h.sendRequest(n, Arrival{Service: "counts"})
	h.run(200 * ms)
	h.publishVMs(2, "counts/c1#6")
	h.run(sec)
	p := n.pools["counts"]
	if i := p.find("c1", 6); i < 0 || p.Endpoints[i].Outstanding != 0 {
		t.Errorf("the new incarnation has the attempt of the earlier one: %+v", p.Endpoints)
	}
	h.run(5 * sec)
	if got := n.replies[id]; got.Outcome == OutcomeNotRun {
		t.Errorf("reply %+v", got)
	}
}
