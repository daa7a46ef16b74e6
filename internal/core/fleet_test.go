package core

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/core/directory"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// until runs the harness until ok holds for all running entries, and returns how long that took, at
// most limit.
func (h *clusterHarness) until(limit time.Duration, ok func(n *node) bool) time.Duration {
	h.Helper()
	began := h.now
	for h.now-began < limit {
		if !slices.ContainsFunc(h.nodes, func(n *node) bool { return !n.dead && !ok(n) }) {
			break
		}
		h.run(h.tick)
	}
	return h.now - began
}

// separatesHalves cuts the links between entries with even and odd numbers.
func separatesHalves(from, to *node) bool {
	half := func(n *node) byte { return n.hello.Name[len(n.hello.Name)-1] % 2 }
	return half(from) != half(to)
}

func atRevision(revision uint64) func(n *node) bool {
	return func(n *node) bool { return n.InForce(published.ProfilesValue).Revision == revision }
}

// entriesNamed returns the numbers of the entries that an entry names to callers of a service.
func (n *node) entriesNamed(service string) string {
	var names []string
	choices, _, _ := n.EntriesFor(n.lastTick, directory.Request{Service: service, Domain: "d0"})
	for _, c := range choices {
		names = append(names, strings.TrimPrefix(c.Name, "entry-"))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// Guards against new work for an endpoint that drains while the platform's list still has it as
// live. The endpoint reports the drain in one answer to one entry; requests that other entries send
// to it later would be cut off when it stops. Whatever happens to messages between entries, three
// seconds after the first evidence, or after a first message gets through, no entry sends it new
// work, and its running requests finish.
func TestDrainReachesAllEntriesWithinSeconds(t *testing.T) {
	oneLink := func(from, to *node) bool { return from.hello.Name == "entry-0" && to.hello.Name == "entry-4" }
	for _, tt := range []struct {
		name string
		cut  func(from, to *node) bool
		lost bool          // each link loses the first message with evidence
		heal time.Duration // after the evidence
	}{
		{name: "no message is lost"},
		{name: "one direction of one link fails", cut: oneLink, heal: time.Hour},
		{name: "partition", cut: separatesHalves, heal: 20 * sec},
		{name: "links lose accepted messages", lost: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newServingCluster(t, 6, "counts/c1", "counts/c2")
			h.platformDown = func(*node) bool { return true }
			var evidence, latest time.Duration
			lost := map[string]bool{}
			h.cut = func(from, to *node) bool {
				return tt.cut != nil && evidence > 0 && h.now < evidence+tt.heal && tt.cut(from, to)
			}
			h.lose = func(from, to *node, u *message.Update) bool {
				link := from.hello.Name + to.hello.Name
				first := tt.lost && len(u.Evidence) > 0 && !lost[link]
				lost[link] = lost[link] || first
				return first
			}
			h.endpoint = func(name string, a Arrival) reaction {
				re := reaction{after: 20 * ms}
				if name == "c2" {
					latest, re.after = h.now, 600*ms
					if a.CallerDomain == "entry-0" && h.now > 5*sec {
						re.head.Draining = true
						if evidence == 0 {
							evidence = h.now + re.after
						}
					}
				}
				return re
			}
			for h.now < 40*sec {
				for _, n := range h.nodes {
					h.sendRequest(n, Arrival{Service: "counts", CallerDomain: n.hello.Name})
					h.run(10 * ms)
				}
			}
			h.run(sec)
			limit := evidence + 3*sec
			if tt.cut != nil && tt.heal < time.Hour {
				limit += tt.heal
			}
			if evidence == 0 || latest > limit {
				t.Errorf("evidence at %v, last new work at %v", evidence, latest)
			}
			for _, n := range h.nodes {
				if n.endpointState("c2") != table.EndpointLeaving {
					t.Errorf("%s has the endpoint as %v", n.hello.Name, n.endpointState("c2"))
				}
				for id, got := range n.replies {
					if got.Outcome != OutcomeDone {
						t.Fatalf("%s: request %d: reply %+v", n.hello.Name, id, got)
					}
				}
			}
		})
	}
}

// Guards against new work for a draining endpoint, which may stop at any moment. A request waits
// for a connection that takes four seconds to open, and the endpoint begins to drain meanwhile. The
// request goes to the other endpoint, although no success has earned a retry, since the first
// attempt sent nothing.
func TestNoWorkSentToEndpointThatDrainsWhileConnecting(t *testing.T) {
	h := newServingCluster(t, 1, "waste/w1", "waste/w2")
	n := h.nodes[0]
	h.dial = func() time.Duration { return 4 * sec }
	id := h.sendRequest(n, Arrival{Service: "waste", HasKey: true, Key: h.key(n)})
	for _, d := range n.open {
		drains, stays := "w1", "w2"
		if d.Address == addressOf("w2") {
			drains, stays = stays, drains
		}
		h.publishVMs(2, "waste/"+drains+",leaving", "waste/"+stays)
		h.run(sec)
		h.dial = func() time.Duration { return lag }
		h.run(4 * sec)
		if got := n.replies[id]; got.Outcome != OutcomeDone || h.written[drains] != 0 {
			t.Errorf("reply %+v, requests written %v", got, h.written)
		}
	}
}

// Guards against entries that use an old profile for minutes because only one entry per failure
// domain reads the configuration service, or because only a single entry can reach it. 15 entries
// must have a published profile within 2 s. If a single entry reaches the configuration service,
// the bound is 4 s: the time until it sees that no reader does, one read, and the spread through
// the fleet.
func TestProfileIsInForceEverywhereWithinSeconds(t *testing.T) {
	for only := -1; only < 15; only++ {
		h := newServingCluster(t, 15, "counts/c1")
		h.platformDown = func(n *node) bool { return only >= 0 && n != h.nodes[only] }
		h.republish(2, `deadline = "800ms"`, `deadline = "700ms"`)
		limit := 2 * sec
		if only >= 0 {
			limit = 4 * sec
		}
		if took := h.until(20*sec, atRevision(2)); took > limit {
			t.Errorf("only entry %d reaches the platform (-1: all do): in force only after %v", only, took)
		}
	}
}

// Guards against ordinary limits during a close because the configuration service is down. The
// calendar is part of the document, so the close begins and ends on time at all entries, including
// an entry that is replaced during the outage and can ask only its peers. A replica that comes back
// with an older document during the close changes nothing.
func TestCloseBeginsAndEndsWithoutPlatform(t *testing.T) {
	h := newServingCluster(t, 4, "counts/c1")
	h.republish(2, "queue_limit = 96", "queue_limit = 200")
	h.until(5*sec, atRevision(2))
	old := h.values[published.ProfilesValue]
	h.platformDown = func(*node) bool { return true }
	hasQueueLimit := func(want int) func(n *node) bool {
		return func(n *node) bool {
			sv := n.services["counts"]
			return sv != nil && sv.policy.QueueLimit == want
		}
	}
	setTime := func(hour, minute int) {
		h.wall = time.Date(2027, 1, 31, hour, minute, 0, 0, time.UTC).Add(-h.now)
		h.run(sec)
	}
	setTime(17, 59)
	if took := h.until(5*sec, hasQueueLimit(64)); took >= 5*sec {
		t.Error("the close began early")
	}
	setTime(18, 0)
	if took := h.until(5*sec, hasQueueLimit(200)); took >= 5*sec {
		t.Error("the close did not begin")
	}
	fresh := h.start(1)
	took := h.until(10*sec, hasQueueLimit(200))
	if took > 3*sec {
		t.Errorf("a new entry knew of the close after %v", took)
	}
	took += h.until(10*sec, func(n *node) bool { ready, _ := n.ReadyReason(h.now); return n != fresh || ready })
	if _, why := fresh.ReadyReason(h.now); took > 3*sec {
		t.Errorf("the new entry was ready after %v: %s", took, why)
	}
	old.Revision, old.Data = 1, []byte("format = 1")
	for _, n := range h.nodes {
		h.offer(n, old, assign.Platform)
		h.offer(n, published.Value{Name: old.Name, Revision: 2, Data: old.Data}, assign.Platform)
		h.offer(n, published.Value{Name: old.Name, Revision: 3, Data: []byte("format = 99")}, assign.Platform)
		if n.dead {
			continue
		}
		if !atRevision(2)(n) || !n.hasNote("ignored an older revision") || !n.hasNote("refused another text under the revision") || !n.hasNote("format") {
			t.Errorf("%s: revision %d, notes %v", n.hello.Name, n.InForce(old.Name).Revision, n.notes)
		}
	}
	setTime(19, 0)
	if took := h.until(5*sec, hasQueueLimit(64)); took >= 5*sec {
		t.Error("the close did not end")
	}
}

// Checks that a partition needs no operator. Both halves serve their callers, a profile reaches
// only one half, half of the entries are replaced, and the configuration service goes down before
// the network heals. The halves name only entries that they hear. Within 4 s after the network
// heals (2 s of back-off, a heartbeat, a fetch) all entries have the profile, hear each other and
// name all entries to callers.
func TestPartitionHealsByItself(t *testing.T) {
	h := newServingCluster(t, 6, "counts/c1", "counts/c2")
	h.cut = separatesHalves
	h.platformDown = func(n *node) bool { return separatesHalves(n, h.nodes[0]) }
	h.run(10 * sec)
	h.republish(2, `deadline = "800ms"`, `deadline = "700ms"`)
	h.run(10 * sec)
	h.platformDown = func(*node) bool { return true }
	for _, vm := range []int{2, 3, 5} {
		h.start(vm)
	}
	h.run(10 * sec)
	for _, n := range h.nodes {
		if n.dead {
			continue
		}
		even := !separatesHalves(n, h.nodes[0])
		if got := n.InForce(published.ProfilesValue).Revision; (got == 2) != even {
			t.Errorf("%s has revision %d during the partition", n.hello.Name, got)
		}
		if got := n.entriesNamed("counts"); even && got != "0 2 4" || !even && got != "1 3 5" {
			t.Errorf("%s names %q during the partition", n.hello.Name, got)
		}
		id := h.sendRequest(n, Arrival{Service: "counts"})
		h.run(100 * ms)
		if got := n.replies[id]; got.Outcome != OutcomeDone {
			t.Errorf("%s: reply %+v during the partition", n.hello.Name, got)
		}
	}
	h.cut = func(_, _ *node) bool { return false }
	healed := func(n *node) bool {
		for i := range n.fleet.entries {
			if e := &n.fleet.entries[i]; !e.Usable() {
				return false
			}
		}
		return atRevision(2)(n) && n.UsableEntries() == 6
	}
	if took := h.until(20*sec, healed); took > 4*sec {
		t.Errorf("all entries agree %v after the network healed, want within 4s", took)
		for _, n := range h.nodes {
			t.Log(n.hello.Name, n.dead, n.InForce(published.ProfilesValue).Revision, n.UsableEntries(), n.fleet.entries)
		}
	}
}

// Entry 0 hears all others, but no entry hears entry 0. Callers must not be sent to an entry that
// its peers cannot hear, but entry 0 must go on serving the callers that it has. The others suspect
// it within four seconds and stop naming it. Two seconds after messages get through again they name
// it again.
func TestUnheardEntryIsNotNamedToCallers(t *testing.T) {
	h := newServingCluster(t, 3, "counts/c1")
	unheard := h.nodes[0]
	h.cut = func(from, _ *node) bool { return from == unheard }
	named := func(want bool) func(n *node) bool {
		return func(n *node) bool { return n == unheard || strings.Contains(n.entriesNamed("counts"), "0") == want }
	}
	if took := h.until(20*sec, named(false)); took > 4*sec {
		t.Errorf("still named to callers after %v", took)
	}
	id := h.sendRequest(unheard, Arrival{Service: "counts"})
	h.run(30 * sec)
	if got := unheard.replies[id]; got.Outcome != OutcomeDone || unheard.entriesNamed("counts") == "0" {
		t.Errorf("reply %+v, names %q", got, unheard.entriesNamed("counts"))
	}
	h.cut = func(_, _ *node) bool { return false }
	if took := h.until(20*sec, named(true)); took > 2*sec {
		t.Errorf("named again only after %v", took)
	}
}

// Guards against a new entry that gets no callers although it serves: it reports that it starts,
// another VM is added, then it reports that it serves, and this change of state did not reach the
// lists derived from the member table until yet another VM changed.
func TestNewEntryIsNamedAsSoonAsItServes(t *testing.T) {
	h := newServingCluster(t, 2, "counts/c1")
	n := h.nodes[0]
	fresh := message.Hello{Name: "entry-2", Incarnation: 77, Region: "r", Domain: "d2", CallerAddress: "10.0.0.3:80", PeerAddress: "10.0.0.3:81"}
	h.do(n, func(now time.Duration, out *Actions) { n.HelloReceived(now, fresh, out) })
	for sequence, state := range []message.EntryState{message.EntryStarting, message.EntryServing} {
		u := message.Update{From: 77, Sequence: uint64(sequence + 1), State: state, Epoch: 1}
		h.do(n, func(now time.Duration, out *Actions) { n.PeerUpdate(now, &u, out) })
		h.publishVMs(uint64(2+sequence), "counts/c1", "counts/c2")
		h.run(200 * ms)
		if got, want := n.entriesNamed("counts"), []string{"0 1", "0 1 2"}[sequence]; got != want {
			t.Errorf("state %v: named %q, want %q", state, got, want)
		}
	}
}

// Guards against a caller that got an answer under revision 2 and sees the old limits again at an
// entry that still has revision 1. The entry fetches while it processes the request; with the
// configuration service down it gets the revision from a peer one heartbeat later. A caller that
// invents revisions causes a few calls to the configuration service and not one per request.
func TestLaterRevisionOfCallerIsFetched(t *testing.T) {
	h := newServingCluster(t, 3, "counts/c1")
	n := h.nodes[0]
	h.republish(2, `deadline = "800ms"`, `deadline = "700ms"`)
	out := h.do(n, func(now time.Duration, out *Actions) {
		n.Arrive(now, Arrival{ID: 1 << 40, Service: "counts", Revision: 2}, out)
	})
	if len(out.Fetches) != 1 || out.Fetches[0].Name != published.ProfilesValue || out.Fetches[0].After != 1 {
		t.Errorf("fetches %+v", out.Fetches)
	}
	h.until(5*sec, atRevision(2))
	h.platformDown = func(x *node) bool { return x != h.nodes[2] }
	h.republish(3, `deadline = "700ms"`, `deadline = "600ms"`)
	h.until(5*sec, func(x *node) bool { return x != h.nodes[2] || atRevision(3)(x) })
	h.sendRequest(n, Arrival{Service: "counts", Revision: 3})
	if took := h.until(5*sec, func(x *node) bool { return x != n || atRevision(3)(x) }); took > sec {
		t.Errorf("the peer's revision is in force only after %v", took)
	}
	fresh := h.start(1) // an invented revision must not keep an entry from starting
	h.sendRequest(fresh, Arrival{Service: "counts", Revision: 99})
	h.platformDown = func(*node) bool { return true }
	if took := h.until(20*sec, func(x *node) bool { ready, _ := x.ReadyReason(h.now); return ready }); took > 6*sec {
		t.Errorf("a new entry is ready only after %v", took)
	}
	h.platformDown = func(*node) bool { return false }
	fetches := 0
	for i := range uint64(1000) {
		out := h.do(n, func(now time.Duration, out *Actions) {
			n.Arrive(now, Arrival{ID: RequestID(1<<41 + i), Service: "counts", Revision: 1000 + i}, out)
		})
		fetches += len(out.Fetches)
		h.run(10 * ms)
	}
	if fetches > 12 {
		t.Errorf("%d fetches in 10 s for invented revisions", fetches)
	}
}
