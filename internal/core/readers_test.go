package core

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// Guards against a published profile that comes into force only after the readers' watches time
// out, because the configuration service has just stopped answering the readers. Their liveness
// checks fail within 0.7 s, they report that at once, and other entries take over within the rest
// of 2 s.
func TestOthersReadWhenReadersGetNoAnswer(t *testing.T) {
	h := newServingCluster(t, 15, "counts/c1")
	silent := map[*node]bool{}
	for _, n := range h.nodes {
		if n.Reader() {
			silent[n] = true
		}
	}
	if len(silent) == 0 || len(silent) > 8 {
		t.Fatalf("%d readers, want 1 to 8", len(silent))
	}
	h.platformMute = func(n *node) bool { return silent[n] }
	h.republish(2, `deadline = "800ms"`, `deadline = "700ms"`)
	h.run(700 * ms)
	for n := range silent {
		n.PlatformAlive(false)
	}
	if took := h.until(20*sec, atRevision(2)); took > 1300*ms {
		t.Errorf("in force %v after the readers noticed", took)
	}
	h.platformMute = func(*node) bool { return false }
	for n := range silent {
		n.PlatformAlive(true)
	}
	h.run(2 * sec)
	for _, n := range h.nodes {
		if n.Reader() != silent[n] {
			t.Errorf("%s reads: %v, although the assigned readers get answers again", n.hello.Name, n.Reader())
		}
	}
}

// Guards against calls to the configuration service that grow with the fleet when it stops
// answering the readers: all 59 other entries tried to read, and each reported so to all others. A
// few entries of each failure domain are enough; if they get no answer either, further ones follow
// a moment later.
func TestFewEntriesTakeOverFromSilentReaders(t *testing.T) {
	for _, alsoSilent := range []bool{false, true} {
		h := newServingCluster(t, 60, "counts/c1")
		h.run(5 * sec)
		silent := map[*node]bool{}
		for _, n := range h.nodes {
			silent[n] = n.Reader()
		}
		h.platformMute = func(n *node) bool { return silent[n] }
		for n := range silent {
			if silent[n] {
				n.PlatformAnswered(false)
			}
		}
		h.republish(2, `deadline = "800ms"`, `deadline = "700ms"`)
		tried := map[*node]bool{}
		began := h.now
		for h.now-began < 2*sec {
			h.run(h.tick)
			for _, n := range h.nodes {
				if n.Reader() && !silent[n] {
					tried[n] = true
					if alsoSilent && len(tried) <= 12 {
						silent[n] = true
						n.PlatformAnswered(false)
					}
				}
			}
		}
		took, most := h.until(20*sec, atRevision(2)), 12
		if alsoSilent {
			most = 60
		}
		if len(tried) > most || took > 0 {
			t.Errorf("first group silent too: %v: %d entries tried to read; in force everywhere %v after the first 2 s, want 0s", alsoSilent, len(tried), took)
		}
	}
}

// Guards against a store that gets the reads of a whole fleet right after its recovery, when it can
// bear them least. The configuration service is silent for all entries until each of them tries to
// read. On recovery it first answers an entry that is not an assigned reader, and all 59 others
// read as well, one after the other, until an assigned reader noticed.
func TestFewEntriesReadRecoveredPlatform(t *testing.T) {
	h := newServingCluster(t, 60, "counts/c1")
	h.run(5 * sec)
	assigned := map[*node]bool{}
	for _, n := range h.nodes {
		assigned[n] = n.Reader()
	}
	silent := func(*node) bool { return true }
	h.platformMute = silent
	for _, n := range h.nodes {
		n.PlatformAnswered(false)
	}
	if took := h.until(10*sec, (*node).Reader); took >= 10*sec {
		t.Fatal("not all entries try to read although no reader gets an answer")
	}
	var first *node
	for _, n := range h.nodes {
		if !assigned[n] {
			first = n
			break
		}
	}
	h.platformMute = func(n *node) bool { return n != first }
	h.run(sec)
	reading := 0
	for _, n := range h.nodes {
		if n.Reader() && !assigned[n] {
			reading++
		}
	}
	const few = 12 // the number of entries that may take over
	if reading > few || !first.Reader() {
		t.Errorf("%d entries that are not assigned read or try to, want at most %d; the entry that gets answers reads: %v", reading, few, first.Reader())
	}
	h.platformMute = silent
	first.PlatformAnswered(false)
	if took := h.until(5*sec, (*node).Reader); took >= 5*sec {
		t.Error("other entries do not try again although the only reading entry gets no answers any more")
	}
}

// Guards against liveness checks of a configuration service that is down whose rate grows with the
// fleet: after eight seconds of silence each entry checked every 0.4 s, more than a hundred calls a
// second. All entries of the last standby group together may make 20 checks a second.
func TestLivenessChecksDoNotGrowWithFleet(t *testing.T) {
	const usual, earlierGroups, maxRate = 400 * ms, 24, 20.0
	for _, entries := range []int{6, 15, 60} {
		h := newServingCluster(t, entries, "counts/c1")
		rate, spread := 0.0, 0
		for _, n := range h.nodes {
			n.cfg.ReadersPerDomain, n.fleet.readers.stale = 1, true
			pause, last := n.LivenessPause(h.now-n.started, usual)
			if !last {
				if pause != usual {
					t.Errorf("%d entries: an entry of an early group checks every %v, want %v", entries, pause, usual)
				}
				continue
			}
			spread++
			rate += float64(time.Second) / float64(pause)
		}
		if rate > maxRate || entries-spread > 3+earlierGroups {
			t.Errorf("%d entries: %d of the last group check %.0f times a second, want at most %.0f", entries, spread, rate, maxRate)
		}
	}
}

// Guards against an entry that serves by an old profile because it is cut off from all others while
// callers and the configuration service reach it. It watched nine of 59 others and assumed that the
// rest were live. Their last status, that some of them read the configuration service, stayed
// valid, so the entry got a new profile only with its periodic check, a minute or two later.
func TestIsolatedEntryReadsPlatform(t *testing.T) {
	h := newServingCluster(t, 60, "counts/c1")
	var isolated *node
	for _, n := range h.nodes {
		n.cfg.ReadersPerDomain, n.fleet.readers.stale = 1, true
		if _, last := n.LivenessPause(h.now-n.started, 400*ms); last {
			isolated = n
		}
	}
	h.cut = func(from, to *node) bool { return from == isolated || to == isolated }
	h.run(4 * sec)
	const usual = 400 * ms
	if pause, spread := isolated.LivenessPause(h.now-isolated.started, usual); spread || pause != usual {
		t.Errorf("the isolated entry checks every %v, want %v", pause, usual)
	}
	if !isolated.Reader() {
		t.Error("the isolated entry does not read the platform")
	}
}

// Guards against a removed endpoint that is used for too long because the entries that would have heard of
// its removal were killed: those that read in their place count how long it was gone from when they hear.
func TestUnwatchedTimeReachesBackToLossOfReaders(t *testing.T) {
	h := newServingCluster(t, 15, "counts/c1")
	h.run(5 * sec)
	for _, n := range h.nodes {
		if n.unwatchedFor(h.now-n.started) != 0 {
			t.Errorf("%s counts unwatched time although all readers are live", n.hello.Name)
		}
		n.dead = n.Reader()
	}
	killed, began, read := h.now, map[*node]bool{}, 0
	for h.now-killed < 3*sec {
		h.run(h.tick)
		for _, n := range h.nodes {
			if n.dead || !n.Reader() || began[n] {
				continue
			}
			began[n] = true
			read++
			d := &published.Difference{Revision: n.InForce(published.VMsValue).Revision + 1, Gone: []string{"c1"}}
			h.do(n, func(now time.Duration, out *Actions) {
				mark := message.Mark{Revision: d.Revision}
				n.Offer(now, OfferedValue{Name: published.VMsValue, Mark: mark, Source: assign.Platform, Difference: d, CatchUp: true}, out)
			})
			gone := h.now - killed
			if age := d.GoneAge(0); age < gone || age > gone+n.fleet.members.SuspectAfter() {
				t.Errorf("%s reads %v after the readers were killed and dates a removal %v back", n.hello.Name, gone, age)
			}
		}
	}
	if read == 0 {
		t.Error("no entry reads in place of those that were killed")
	}
	h.run(5 * sec)
	for n := range began {
		if unwatched := n.unwatchedFor(h.now - n.started); unwatched != 0 {
			t.Errorf("%s counts %v long after it began to read", n.hello.Name, unwatched)
		}
	}
}

// Guards against endpoints that are dropped at once after an outage of the configuration service, during
// which they could not report to it.
func TestOutageDoesNotCountAsUnwatched(t *testing.T) {
	h := newServingCluster(t, 15, "counts/c1")
	h.run(5 * sec)
	h.platformDown = func(*node) bool { return true }
	h.run(sec)
	h.platformDown = func(*node) bool { return false }
	for range 300 {
		h.run(h.tick)
		for _, n := range h.nodes {
			if unwatched := n.unwatchedFor(h.now - n.started); n.fleet.readers.platformAnswered && unwatched != 0 {
				t.Fatalf("%s counts %v", n.hello.Name, unwatched)
			}
		}
	}
}
