package core

import (
	"testing"
	"time"
)

// The platform stops answering just those entries that read it for all, and an operator
// publishes a profile in that moment: it would come into force only when their watches
// time out. They notice by a glance within 0.7 s and say so at once; others take over.
// The rest of 2 s is for that.
func TestOthersReadWhenReadersGetNoAnswer(t *testing.T) {
	r := settled(t, 15, "counts/c1")
	silent := map[*node]bool{}
	for _, n := range r.nodes {
		if n.Reader() {
			silent[n] = true
		}
	}
	if len(silent) == 0 || len(silent) > 8 {
		t.Fatalf("%d entries read for all", len(silent))
	}
	r.platformMute = func(n *node) bool { return silent[n] }
	r.republish(2, `deadline = "800ms"`, `deadline = "700ms"`)
	r.run(700 * ms)
	for n := range silent {
		n.PlatformAlive(false)
	}
	if took := r.until(20*sec, atRevision(2)); took > 1300*ms {
		t.Errorf("in force %v after the readers noticed", took)
	}
	r.platformMute = func(*node) bool { return false }
	for n := range silent {
		n.PlatformAlive(true)
	}
	r.run(2 * sec)
	for _, n := range r.nodes {
		if n.Reader() != silent[n] {
			t.Errorf("%s reads: %v, though the readers are answered again", n.hello.Name, n.Reader())
		}
	}
}

// The platform stops answering the entries that read it for all. All 59 others tried to read
// in their place, each told all others that it did, and the calls to the platform grew with
// the fleet. A few of each failure domain are enough; where these are turned away as well,
// further ones come a moment later.
func TestFewEntriesTakeOverFromSilentReaders(t *testing.T) {
	for _, alsoSilent := range []bool{false, true} {
		r := settled(t, 60, "counts/c1")
		r.run(5 * sec)
		silent := map[*node]bool{}
		for _, n := range r.nodes {
			silent[n] = n.Reader()
		}
		r.platformMute = func(n *node) bool { return silent[n] }
		for n := range silent {
			if silent[n] {
				n.PlatformAnswered(false)
			}
		}
		r.republish(2, `deadline = "800ms"`, `deadline = "700ms"`)
		tried := map[*node]bool{}
		began := r.now
		for r.now-began < 2*sec {
			r.run(r.tick)
			for _, n := range r.nodes {
				if n.Reader() && !silent[n] {
					tried[n] = true
					if alsoSilent && len(tried) <= 12 {
						silent[n] = true
						n.PlatformAnswered(false)
					}
				}
			}
		}
		took, most := r.until(20*sec, atRevision(2)), 12
		if alsoSilent {
			most = 60
		}
		if len(tried) > most || took > 0 {
			t.Errorf("the first to take over silent too: %v: %d entries tried to read; not in force everywhere after 2 s but %v later", alsoSilent, len(tried), took)
		}
	}
}

// The platform is silent for all entries until each of them tries to read it. When it comes
// back, it answers the first of those that try, which are not the ones assigned to it. All 59
// others read it too, one after the other, until an assigned entry has noticed: a store that
// just came back gets the reads of a whole fleet, at the moment at which it can bear them least.
func TestFewEntriesReadRecoveredPlatform(t *testing.T) {
	r := settled(t, 60, "counts/c1")
	r.run(5 * sec)
	assigned := map[*node]bool{}
	for _, n := range r.nodes {
		assigned[n] = n.Reader()
	}
	silent := func(*node) bool { return true }
	r.platformMute = silent
	for _, n := range r.nodes {
		n.PlatformAnswered(false)
	}
	if took := r.until(10*sec, (*node).Reader); took >= 10*sec {
		t.Fatal("not all entries try to read, though nobody does")
	}
	var first *node
	for _, n := range r.nodes {
		if !assigned[n] {
			first = n
			break
		}
	}
	r.platformMute = func(n *node) bool { return n != first }
	r.run(sec)
	reading := 0
	for _, n := range r.nodes {
		if n.Reader() && !assigned[n] {
			reading++
		}
	}
	const few = 12 // as many as may take over
	if reading > few || !first.Reader() {
		t.Errorf("%d entries that are not assigned read or try to, want at most %d; the one that is answered: %v", reading, few, first.Reader())
	}
	r.platformMute = silent
	first.PlatformAnswered(false)
	if took := r.until(5*sec, (*node).Reader); took >= 5*sec {
		t.Error("the one that read is answered no more, and others do not try again")
	}
}

// The platform is silent for eight seconds, and all entries of a fleet try to read in the end.
// Each glanced every 0.4 s: a hundred calls a second and more to a platform that is down. All
// that are not assigned to read, and are not next in turn, may make 20 a second together.
func TestLivenessChecksDoNotGrowWithFleet(t *testing.T) {
	const usual, next, together = 400 * ms, 24, 20.0
	for _, entries := range []int{6, 15, 60} {
		r := settled(t, entries, "counts/c1")
		rate, spread := 0.0, 0
		for _, n := range r.nodes {
			n.cfg.ReadersPerDomain, n.fleet.readers.stale = 1, true
			pause, last := n.LivenessPause(r.now-n.started, usual)
			if !last {
				if pause != usual {
					t.Errorf("%d entries: one that tries first glances every %v, want %v", entries, pause, usual)
				}
				continue
			}
			spread++
			rate += float64(time.Second) / float64(pause)
		}
		if rate > together || entries-spread > 3+next {
			t.Errorf("%d entries: %d that try last glance %.0f times a second, want %.0f", entries, spread, rate, together)
		}
	}
}

// An entry is cut off from all others while the platform answers it and callers reach it, and a
// profile is published. It watches nine of 59 others and took the rest for live, so that what
// they had said last, that some of them read the platform, held for good: it served by the old
// profile until its slow check, a minute or two later.
func TestIsolatedEntryReadsPlatform(t *testing.T) {
	r := settled(t, 60, "counts/c1")
	var alone *node
	for _, n := range r.nodes {
		n.cfg.ReadersPerDomain, n.fleet.readers.stale = 1, true
		if _, last := n.LivenessPause(r.now-n.started, 400*ms); last {
			alone = n
		}
	}
	r.cut = func(from, to *node) bool { return from == alone || to == alone }
	r.run(4 * sec)
	const usual = 400 * ms
	if pause, spread := alone.LivenessPause(r.now-alone.started, usual); spread || pause != usual {
		t.Errorf("an entry that hears nobody glances every %v, want %v", pause, usual)
	}
	if !alone.Reader() {
		t.Error("an entry that hears nobody does not read")
	}
}
