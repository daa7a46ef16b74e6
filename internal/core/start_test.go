package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// All entries start again after a loss of power, and callers wait for the first one
// that serves. The platform is always current, so its two answers make an entry ready
// within the tick that follows them, not with the next round over the members.
func TestEntryReadyInOneTickAfterPowerLoss(t *testing.T) {
	r := newClusterHarness(t, 0)
	r.config = func(cfg *Config) { cfg.AlwaysCurrent = true }
	r.list(1, "counts/c1")
	for vm := range 3 {
		n := r.start(vm)
		for peer := range 3 {
			h := message.Hello{Name: fmt.Sprintf("entry-%d", peer), Incarnation: uint64(peer + 1), Region: "r"}
			if h.Incarnation != n.hello.Incarnation {
				r.do(n, func(now time.Duration, out *Actions) { n.HelloReceived(now, h, out) })
			}
		}
	}
	r.run(r.tick)
	for _, n := range r.nodes {
		r.offer(n, r.docs[published.ProfilesValue], assign.Platform)
		r.offer(n, r.docs[published.VMsValue], assign.Platform)
	}
	r.run(r.tick)
	for _, n := range r.nodes {
		if !n.noted("ready") {
			_, why := n.ReadyReason(r.now)
			t.Errorf("%s does not serve yet: %s", n.hello.Name, why)
		}
	}
}

// An entry is replaced in a fleet of 130. It read the platform itself, eleven calls, before its
// first link was open, though every peer holds what it needs; a rolling restart of all cost
// 1,400. It waits a quarter of a second for a peer's word, and asks that peer at once.
func TestStartingEntryAsksPeersFirst(t *testing.T) {
	start := func(meets bool) (fetches []FetchFrom) {
		r := settled(t, 2, "counts/c1")
		r.config = func(cfg *Config) { cfg.StartFetchDelay = 250 * ms }
		peer := r.nodes[0].currentHello()
		n := r.start(2)
		for at := ms; at < 400*ms; at += 5 * ms {
			var out Actions
			if meets && at == 51*ms {
				n.HelloReceived(at, peer, &out)
			}
			n.Tick(at, r.wall, &out)
			fetches = append(fetches, out.Fetches...)
		}
		return fetches
	}
	if alone := start(false); len(alone) == 0 || alone[0].Source != assign.Platform {
		t.Errorf("alone: %+v, want the platform after a while", alone)
	}
	if met := start(true); len(met) == 0 || met[0].Source == assign.Platform {
		t.Errorf("with a peer: %+v, want the peer first", met)
	}
}

// A fleet of 60 starts, and the operator has published nothing yet, so nobody serves. Duties
// were divided among those that serve: each entry took itself for the only one, read the whole
// list when it came, and told all others that it reads. Those that start can read as well.
func TestStartingEntriesAreAssignedAsReaders(t *testing.T) {
	r := newClusterHarness(t, 0)
	r.docs = map[string]published.Value{}
	r.config = func(cfg *Config) { cfg.FirstStart, cfg.AlwaysCurrent, cfg.ReadersPerDomain = true, true, 1 }
	for i := range 60 {
		r.start(i)
	}
	for _, a := range r.nodes {
		for _, b := range r.nodes {
			if a != b {
				r.do(a, func(now time.Duration, out *Actions) { a.HelloReceived(now, b.currentHello(), out) })
			}
		}
	}
	r.run(sec)
	readers := 0
	for _, n := range r.nodes {
		if n.Reader() {
			readers++
		}
	}
	if readers != 3 {
		t.Errorf("%d entries read in three failure domains, want one in each", readers)
	}
}

// Two entries were started again after a loss of power and have just met. A caller asks
// one of them: were it told of that one only until the other's first heartbeat, half a
// second later, all callers would crowd there. The greeting says that both serve. What
// the greeting says is not newer than an update that was sent before it and comes after.
func TestHelloCarriesEntryState(t *testing.T) {
	r := newClusterHarness(t, 2)
	r.list(1, "counts/c1")
	a, b := r.nodes[0], r.nodes[1]
	for _, n := range r.nodes {
		r.offer(n, r.docs[published.ProfilesValue], assign.Platform)
		r.offer(n, r.docs[published.VMsValue], assign.Platform)
		r.do(n, func(now time.Duration, out *Actions) { n.Tick(now, r.wall, out) })
	}
	greeting := b.currentHello()
	if got := a.EntriesNear("d0", 9); len(got) != 1 {
		t.Fatalf("names %v before they met", got)
	}
	r.do(a, func(now time.Duration, out *Actions) { a.HelloReceived(now, greeting, out) })
	if got := a.EntriesNear("d0", 9); len(got) != 2 {
		t.Errorf("names %v after the greeting", got)
	}
	late := b.OwnStatus()
	late.Sequence, late.State = 1, message.EntryLeaving
	r.do(a, func(now time.Duration, out *Actions) { a.PeerUpdate(now, &late, out) })
	if got := a.EntriesNear("d0", 9); len(got) != 1 {
		t.Errorf("names %v though the other leaves", got)
	}
	r.do(a, func(now time.Duration, out *Actions) { a.HelloReceived(now, greeting, out) })
	if got := a.EntriesNear("d0", 9); len(got) != 1 {
		t.Errorf("names %v after an old greeting", got)
	}
}

// An entry that has just begun to serve may know no other yet. Callers that took its word
// for seconds would all crowd there; they ask again soon, and later on as seldom as usual.
func TestFirstAnswersHaveShortTTL(t *testing.T) {
	r := newClusterHarness(t, 0)
	r.config = func(cfg *Config) { cfg.AnswersTTL = 3 * sec }
	r.list(1, "counts/c1")
	n := r.start(0)
	if ttl := n.AnswersTTL(0); ttl > 500*ms {
		t.Errorf("%v before it serves", ttl)
	}
	if r.until(10*sec, func(n *node) bool { return n.noted("ready") }) >= 10*sec {
		t.Fatal("never ready")
	}
	if ttl := n.AnswersTTL(r.now); ttl > 500*ms {
		t.Errorf("%v at first", ttl)
	}
	r.run(2 * sec)
	if ttl := n.AnswersTTL(r.now); ttl != 3*sec {
		t.Errorf("%v later on", ttl)
	}
}

// A fleet starts for the first time, and the operator publishes the profiles seconds later.
// Each entry asked the platform again and again meanwhile: 92 of the 246 calls of a quiet
// day with 19 entries, and 1,400 with 126. Now those ask that read for all, and the others
// are told; if no reader is answered, everybody asks for itself in the end.
func TestOnlyReadersAskPlatformOnFirstStart(t *testing.T) {
	for _, c := range []struct {
		name string
		mute bool
	}{{"readers are answered", false}, {"no reader is answered", true}} {
		r := newClusterHarness(t, 0)
		later := r.docs
		r.docs = map[string]published.Value{}
		r.config = func(cfg *Config) { cfg.FirstStart, cfg.AlwaysCurrent, cfg.ReadersPerDomain = true, true, 1 }
		asked := map[string]int{}
		for i := range 15 {
			r.start(i)
		}
		readers := map[uint64]bool{}
		r.platformMute = func(n *node) bool { return c.mute && readers[n.hello.Incarnation] }
		r.platformDown = func(n *node) bool {
			if !n.Reader() {
				asked[n.hello.Name]++
			}
			return false
		}
		for _, a := range r.nodes {
			for _, b := range r.nodes {
				if a != b {
					r.do(a, func(now time.Duration, out *Actions) { a.HelloReceived(now, b.currentHello(), out) })
				}
			}
		}
		for _, n := range r.nodes {
			readers[n.hello.Incarnation] = n.Reader()
		}
		r.run(3 * sec)
		r.docs = later
		r.list(1, sixCounts...)
		r.run(3 * sec)
		for _, n := range r.nodes {
			if n.InForce(published.ProfilesValue).Revision == 0 || n.InForce(published.VMsValue).Revision == 0 {
				t.Fatalf("%s: %s knows nothing after 6 s", c.name, n.hello.Name)
			}
		}
		if !c.mute && len(asked) > 0 {
			t.Errorf("%s: asked the platform though others read: %v", c.name, asked)
		}
	}
}
