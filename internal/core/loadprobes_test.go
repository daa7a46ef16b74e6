package core

import (
	"slices"
	"testing"

	"github.com/tealhall/tealhall/internal/core/budget"
	"github.com/tealhall/tealhall/internal/core/placement"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/route"
	"pgregory.net/rapid"
)

// Guards against a read that waits behind others, or runs on a VM slowed down by its neighbours,
// while another endpoint is idle. Loads reported with earlier answers are older than a VM's state
// lasts; only a load probe right before dispatch is recent enough.
func TestEndpointChoiceByLoadProbe(t *testing.T) {
	for _, c := range []struct {
		name      string
		endpoints []*simEndpoint
		kind      route.Kind
		want      string
	}{
		{"the idle endpoint", []*simEndpoint{{name: "a", domain: "d0", running: 2}, {name: "b", domain: "d0"}, {name: "c", domain: "d0", running: 1}}, route.Idempotent, "b"},
		{"the endpoint of usual pace", []*simEndpoint{{name: "a", domain: "d0", pace: 500}, {name: "b", domain: "d0"}, {name: "c", domain: "d0", pace: 500}}, route.Idempotent, "b"},
		{"one busy slot beats two", []*simEndpoint{{name: "a", domain: "d0", running: 2}, {name: "b", domain: "d0", running: 1}}, route.Idempotent, "b"},
		{"a silent endpoint is avoided", []*simEndpoint{{name: "a", domain: "d0", silent: true}, {name: "b", domain: "d0"}}, route.NonIdempotent, "b"},
		{"another endpoint at the address", []*simEndpoint{{name: "a", domain: "d0", misdirected: true}, {name: "b", domain: "d0", running: 1}}, route.Idempotent, "b"},
		{"another domain when the own is full", []*simEndpoint{{name: "a", domain: "d0", running: 2}, {name: "b", domain: "d0", running: 2},
			{name: "c", domain: "d0", running: 2}, {name: "d", domain: "d1"}}, route.Idempotent, "d"},
		{"a silent endpoint is tried if there is no other", []*simEndpoint{{name: "a", domain: "d0", silent: true}}, route.Idempotent, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newEntryHarness(t, c.endpoints...)
			h.sendRequest(c.kind, 3*sec)
			h.run(60 * ms)
			if !slices.Equal(h.sent, []string{c.want}) {
				t.Errorf("sent to %v, want %s", h.sent, c.want)
			}
		})
	}
}

// An endpoint that fails half its requests while it reports that it is well, or that answers for
// another one at its address, is chosen last, and is tried again soon after it works.
func TestFailingEndpointIsChosenLast(t *testing.T) {
	endpoints := idleEndpoints(2, "d0")
	h := newEntryHarness(t, endpoints...)
	h.learnServiceTime(8)
	e := &h.pools["p"].Endpoints[h.pools["p"].find("d0-0", 1)]
	for range 4 {
		placement.NoteOutcome(h.now, e, true)
	}
	for range 8 {
		id := h.sendRequest(route.Idempotent, 3*sec)
		h.run(50 * ms)
		if got := h.open[id][1].Endpoint; got != "d0-1" {
			t.Fatalf("sent to the failing endpoint %s", got)
		}
		h.answer(id, 1, 200)
	}
	h.run(20 * sec)
	seen := map[string]bool{}
	for range 20 {
		id := h.sendRequest(route.Idempotent, 3*sec)
		h.run(50 * ms)
		seen[h.open[id][1].Endpoint] = true
		h.answer(id, 1, 200)
	}
	if !seen["d0-0"] {
		t.Error("the endpoint is never tried again")
	}
}

// The endpoints of a service report no load. Load probes are useless there and stop; the
// endpoint for a request is chosen by the number of attempts that the entry itself has under way.
func TestEndpointsWithoutLoadAreNotProbed(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(3, "d0")...)
	h.pools["p"].loadless = maxLoadlessProbes
	id := h.sendRequest(route.Idempotent, 3*sec)
	h.run(10 * ms)
	if len(h.open[id]) != 1 || len(h.probed) != 0 {
		t.Errorf("attempts %v, load probes %v", h.open[id], h.probed)
	}
}

// Operators split a route to try a release. Over any 200 requests each part must get its share,
// whatever the weights, and also after the same split is published again.
func TestTrafficSplitKeepsItsShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newEntryHarness(t, idleEndpoints(1, "d0")...)
		a, b := rapid.IntRange(1, 99).Draw(rt, "a"), rapid.IntRange(1, 99).Draw(rt, "b")
		d := harnessRoutes(route.Part{Service: "p", Weight: float64(a)}, route.Part{Service: "q", Weight: float64(b)})
		h.publish(2, d)
		var got []string
		for i := range 600 {
			if i == 300 {
				d.Limits.BodyBytes = 1 // another revision, the same split
				h.publish(3, d)
			}
			got = append(got, h.AdmitRoute("a", "/idempotent/x").Service)
		}
		for from := 0; from+200 <= len(got); from += 50 {
			n := 0
			for _, name := range got[from : from+200] {
				if name == "idempotent/p" {
					n++
				}
			}
			share, want := float64(n)/200, float64(a)/float64(a+b)
			if share < want-0.02 || share > want+0.02 {
				rt.Fatalf("share %.3f, want %.3f", share, want)
			}
		}
	})
}

// The body of a booking takes long to arrive, and meanwhile its route moves to another service. The
// request keeps the route that was in force when its head arrived. A new request follows the new
// routes, and a request whose route was removed is refused for that reason.
func TestRequestKeepsItsRoute(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(2, "d0")...)
	before := h.AdmitRoute("a", "/non_idempotent/x")
	d := harnessRoutes(route.Part{Service: "q", Weight: 1})
	d.Routes = d.Routes[:2]
	h.publish(2, d)
	h.nextID++
	id := h.nextID
	h.do(func(out *Actions) {
		h.Arrive(h.now, Arrival{ID: id, Service: before.Service, Admission: before, Replayable: true, CallerAttempt: 1}, out)
	})
	h.run(20 * ms)
	if len(h.open[id]) != 1 {
		t.Errorf("the request from before the change was not sent: %+v", h.replies[id])
	}
	if after := h.AdmitRoute("a", "/non_idempotent/x"); after.Reason != ReasonNone {
		t.Errorf("new request: %v", after.Reason)
	}
	if gone := h.AdmitRoute("a", "/upload/x"); gone.Reason != ReasonUnknownService {
		t.Errorf("request of a removed route: %v", gone.Reason)
	}
	if none := New(DefaultConfig(h.cfg.Self), h.rng).AdmitRoute("a", "/"); none.Reason != ReasonStarting {
		t.Errorf("before the first routes: %v", none.Reason)
	}
}

// Entries that send load probes before each choice have no use for load reports of peers; sending
// them would waste bytes and processor time.
func TestNoLoadReportsWithLoadProbes(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(3, "d0")...)
	peer := message.Hello{Name: "other", Incarnation: 2, Region: "r", Domain: "d1", CallerAddress: "10.0.0.2:80", PeerAddress: "10.0.0.2:81"}
	h.do(func(out *Actions) { h.HelloReceived(h.now, peer, out) })
	h.learnServiceTime(20)
	if len(h.updates) == 0 {
		t.Fatal("the peer got no update")
	}
	for _, u := range h.updates {
		if len(u.Update.LoadReports) > 0 {
			t.Fatalf("the update has load reports: %+v", u.Update.LoadReports)
		}
	}
}

// A release replaces all endpoints of a pool. The bound on load probes is a rate for each endpoint;
// when endpoints that were gone counted, the remaining ones got twice the bound (3,000 a second at
// 21 endpoints where 60 each were allowed).
func TestLoadProbesAreBoundedByLiveEndpoints(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(8, "d0")...)
	p := h.poolRows[0]
	for i := range p.Endpoints[2:] {
		p.Endpoints[2+i].State = table.EndpointGone
	}
	h.cfg.LoadProbesPerEndpoint = 10
	p.loadProbes = budget.NewLoadProbes(10)
	p.Endpoints[0].State, p.Endpoints[1].State = table.EndpointLive, table.EndpointLive
	for _, ep := range h.endpoints {
		ep.running, ep.waiting = 2, 1
	}
	h.probed = nil
	const span = 4
	for range span * 100 {
		h.sendRequest(route.Idempotent, 3*sec)
		h.run(10 * ms)
	}
	if most := span * 10 * 2; len(h.probed) > most+2*10 {
		t.Errorf("%d load probes of two endpoints in %d s, %d allowed", len(h.probed), span, most)
	}
}
