package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// Guards against a late start after a power loss, while callers wait for the first entry that
// serves. The configuration service is always current, so its two answers make an entry ready in
// the tick that follows them, not only in the next tick of the fleet.
func TestEntryReadyInOneTickAfterPowerLoss(t *testing.T) {
	h := newClusterHarness(t, 0)
	h.config = func(cfg *Config) { cfg.AlwaysCurrent = true }
	h.publishVMs(1, "counts/c1")
	for vm := range 3 {
		n := h.start(vm)
		for peer := range 3 {
			hello := message.Hello{Name: fmt.Sprintf("entry-%d", peer), Incarnation: uint64(peer + 1), Region: "r"}
			if hello.Incarnation != n.hello.Incarnation {
				h.do(n, func(now time.Duration, out *Actions) { n.HelloReceived(now, hello, out) })
			}
		}
	}
	h.run(h.tick)
	for _, n := range h.nodes {
		h.offer(n, h.values[published.ProfilesValue], assign.Platform)
		h.offer(n, h.values[published.VMsValue], assign.Platform)
	}
	h.run(h.tick)
	for _, n := range h.nodes {
		if !n.hasNote("ready") {
			_, why := n.ReadyReason(h.now)
			t.Errorf("%s does not serve yet: %s", n.hello.Name, why)
		}
	}
}

// Guards against entries that read the configuration service before their first link is open
// although every peer has the values. In a fleet of 130 a replaced entry made eleven calls, and a
// rolling restart of all entries 1,400. An entry waits a quarter of a second for a peer and asks
// that peer at once.
func TestStartingEntryAsksPeersFirst(t *testing.T) {
	start := func(meets bool) (fetches []Fetch) {
		h := newServingCluster(t, 2, "counts/c1")
		h.config = func(cfg *Config) { cfg.StartFetchDelay = 250 * ms }
		peer := h.nodes[0].currentHello()
		n := h.start(2)
		for at := ms; at < 400*ms; at += 5 * ms {
			var out Actions
			if meets && at == 51*ms {
				n.HelloReceived(at, peer, &out)
			}
			n.Tick(at, h.wall, &out)
			fetches = append(fetches, out.Fetches...)
		}
		return fetches
	}
	if alone := start(false); len(alone) == 0 || alone[0].Source != assign.Platform {
		t.Errorf("without a peer: fetches %+v, want the platform after a delay", alone)
	}
	if met := start(true); len(met) == 0 || met[0].Source == assign.Platform {
		t.Errorf("with a peer: fetches %+v, want the peer first", met)
	}
}

// Guards against a starting fleet in which each entry takes itself for the only reader. With
// nothing published no entry serves yet, and readers were assigned only among serving entries: each
// of 60 entries read the whole list once it was published, and reported to all others that it
// reads.
func TestStartingEntriesAreAssignedAsReaders(t *testing.T) {
	h := newClusterHarness(t, 0)
	h.values = map[string]published.Value{}
	h.config = func(cfg *Config) { cfg.FirstStart, cfg.AlwaysCurrent, cfg.ReadersPerDomain = true, true, 1 }
	for i := range 60 {
		h.start(i)
	}
	for _, a := range h.nodes {
		for _, b := range h.nodes {
			if a != b {
				h.do(a, func(now time.Duration, out *Actions) { a.HelloReceived(now, b.currentHello(), out) })
			}
		}
	}
	h.run(sec)
	readers := 0
	for _, n := range h.nodes {
		if n.Reader() {
			readers++
		}
	}
	if readers != 3 {
		t.Errorf("%d entries read in three failure domains, want one in each", readers)
	}
}

// Guards against callers that all use one of two entries which have just restarted and connected:
// without the state in the hello, each entry names only itself until the other's first heartbeat,
// half a second later. A hello that is older than the last update of its sender changes nothing.
func TestHelloCarriesEntryState(t *testing.T) {
	h := newClusterHarness(t, 2)
	h.publishVMs(1, "counts/c1")
	a, b := h.nodes[0], h.nodes[1]
	for _, n := range h.nodes {
		h.offer(n, h.values[published.ProfilesValue], assign.Platform)
		h.offer(n, h.values[published.VMsValue], assign.Platform)
		h.do(n, func(now time.Duration, out *Actions) { n.Tick(now, h.wall, out) })
	}
	hello := b.currentHello()
	if got := a.EntriesNear("d0", 9); len(got) != 1 {
		t.Fatalf("names %v before the hello", got)
	}
	h.do(a, func(now time.Duration, out *Actions) { a.HelloReceived(now, hello, out) })
	if got := a.EntriesNear("d0", 9); len(got) != 2 {
		t.Errorf("names %v after the hello", got)
	}
	late := b.OwnStatus()
	late.Sequence, late.State = 1, message.EntryLeaving
	h.do(a, func(now time.Duration, out *Actions) { a.PeerUpdate(now, &late, out) })
	if got := a.EntriesNear("d0", 9); len(got) != 1 {
		t.Errorf("names %v although the other entry leaves", got)
	}
	h.do(a, func(now time.Duration, out *Actions) { a.HelloReceived(now, hello, out) })
	if got := a.EntriesNear("d0", 9); len(got) != 1 {
		t.Errorf("names %v after an old hello", got)
	}
}

// Guards against callers that all use an entry which has just begun to serve and may know no other
// entry yet. Its first answers have a short TTL so that callers ask again soon; later answers have
// the configured TTL.
func TestFirstAnswersHaveShortTTL(t *testing.T) {
	h := newClusterHarness(t, 0)
	h.config = func(cfg *Config) { cfg.AnswersTTL = 3 * sec }
	h.publishVMs(1, "counts/c1")
	n := h.start(0)
	if ttl := n.AnswersTTL(0); ttl > 500*ms {
		t.Errorf("TTL %v before the entry serves, want at most 500ms", ttl)
	}
	if h.until(10*sec, func(n *node) bool { return n.hasNote("ready") }) >= 10*sec {
		t.Fatal("not ready after 10 s")
	}
	if ttl := n.AnswersTTL(h.now); ttl > 500*ms {
		t.Errorf("TTL %v at first, want at most 500ms", ttl)
	}
	h.run(2 * sec)
	if ttl := n.AnswersTTL(h.now); ttl != 3*sec {
		t.Errorf("TTL %v later on, want 3s", ttl)
	}
}

// Guards against repeated calls of all entries to the configuration service when a fleet starts for
// the first time and the profiles are published seconds later: 92 of the 246 calls of a quiet day
// with 19 entries, and 1,400 calls with 126. Only readers ask, and the other entries get the values
// from peers; if no reader gets an answer, all entries ask in the end.
func TestOnlyReadersAskPlatformOnFirstStart(t *testing.T) {
	for _, c := range []struct {
		name string
		mute bool
	}{{"readers get answers", false}, {"no reader gets an answer", true}} {
		h := newClusterHarness(t, 0)
		laterValues := h.values
		h.values = map[string]published.Value{}
		h.config = func(cfg *Config) { cfg.FirstStart, cfg.AlwaysCurrent, cfg.ReadersPerDomain = true, true, 1 }
		asked := map[string]int{}
		for i := range 15 {
			h.start(i)
		}
		readers := map[uint64]bool{}
		h.platformMute = func(n *node) bool { return c.mute && readers[n.hello.Incarnation] }
		h.platformDown = func(n *node) bool {
			if !n.Reader() {
				asked[n.hello.Name]++
			}
			return false
		}
		for _, a := range h.nodes {
			for _, b := range h.nodes {
				if a != b {
					h.do(a, func(now time.Duration, out *Actions) { a.HelloReceived(now, b.currentHello(), out) })
				}
			}
		}
		for _, n := range h.nodes {
			readers[n.hello.Incarnation] = n.Reader()
		}
		h.run(3 * sec)
		h.values = laterValues
		h.publishVMs(1, sixEndpoints...)
		h.run(3 * sec)
		for _, n := range h.nodes {
			if n.InForce(published.ProfilesValue).Revision == 0 || n.InForce(published.VMsValue).Revision == 0 {
				t.Fatalf("%s: %s has no profiles or no VM list after 6 s", c.name, n.hello.Name)
			}
		}
		if !c.mute && len(asked) > 0 {
			t.Errorf("%s: entries asked the platform although readers do: %v", c.name, asked)
		}
	}
}
