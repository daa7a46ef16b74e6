package gossip

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// A quarter of 421 endpoints left, and half a minute later another one, which got a read from
// one of 141 entries 2.6 s after it had reported to leave. News of the first ones had used up
// what an entry may send: each told its heartbeats' 140 receivers every piece that they had not
// acknowledged to it, though they had it from others; and once the bound was spent, each
// message that was due went out as soon as its header fitted, with no piece in it. The entries
// stood at 110 of 18,000 bytes and 34 messages a second each, 13,500 pieces owed at each of
// them, and none of that ebbed away.
func TestBandwidthIsNotSpentOnDuplicates(t *testing.T) {
	t.Parallel()
	const (
		entries, leave = 141, 105
		// copies of a piece that an entry sends at most, on average, in its first seconds.
		maxDuplicates = 4
	)
	f := newFleet(entries, 1)
	f.withoutReports = true
	f.run(8 * time.Second) // each has told all others that it serves
	before, began := 0, f.now
	for _, id := range f.ids {
		before += f.sent[id]
	}
	pieces := evidence(leave)
	for i := range pieces {
		f.nodes[f.ids[i%4*entries/4]].Spread(f.now, pieces[i:i+1])
		if i%10 == 9 {
			f.run(100 * time.Millisecond)
		}
	}
	if took := f.untilAllHave(leave, 10*time.Second, func(uint64) bool { return true }); took > time.Second {
		t.Errorf("all have it after %v", took)
	}
	f.run(8 * time.Second)
	sent := -before
	for _, id := range f.ids {
		sent += f.sent[id]
		if left := f.nodes[id].allow.bytes; left < 0.5*burstSeconds*defaultBytesPerSecond {
			t.Errorf("entry %d may send %.0f bytes 8 s after the news", id, left)
		}
	}
	heartbeats := int(heartbeatShare * defaultBytesPerSecond * (f.now - began).Seconds())
	most := entries * (heartbeats + maxDuplicates*leave*(evidenceBytes+len(pieces[0].VM)))
	if t.Logf("%d bytes an entry", sent/entries); sent > most {
		t.Errorf("%d bytes an entry, want %d", sent/entries, most/entries)
	}
	f.nodes[f.ids[7]].Spread(f.now, evidence(leave + 1)[leave:])
	took := f.untilAllHave(leave+1, 5*time.Second, func(uint64) bool { return true })
	if took > 200*time.Millisecond {
		t.Errorf("the next piece is known after %v, the most of all that stands for never", took)
	}
}

// An operator publishes a profile while endpoints come and go for many seconds and a third of
// the entries have just died. Those whose teller is among the dead would hear nothing before
// the list of VMs rests for a moment, since an entry tells the fingers that it leaves to others
// only after that. In a stream of revisions, 20 a second, nobody is more than 2 s behind.
func TestFrequentRevisionsReachAllEntries(t *testing.T) {
	t.Parallel()
	const gap, within = 50 * time.Millisecond, 2 * time.Second
	f := newFleet(60, 1)
	f.withoutReports = true
	f.run(8 * time.Second)
	dead := func(id uint64) bool { return id%3 == 1 }
	f.cut = func(from, to uint64) bool { return dead(from) || dead(to) }
	revisions := make(map[uint64]uint64)
	setRevision := func(id, revision uint64) {
		revisions[id] = revision
		f.nodes[id].SetState(State{State: message.EntryServing, VMs: message.Mark{Revision: revision}})
	}
	behind := uint64(within / gap)
	for revision := uint64(1); revision <= 160; revision++ {
		setRevision(f.ids[1], revision)
		for range gap / step {
			f.run(step)
			for _, id := range f.ids {
				latest := revisions[id]
				for _, p := range f.nodes[id].peers {
					latest = max(latest, p.ackedRevisions.vms)
				}
				if !dead(id) && latest > revisions[id] {
					setRevision(id, latest)
				}
			}
		}
		for _, id := range f.ids {
			if !dead(id) && revisions[id]+behind < revision {
				t.Fatalf("at revision %d entry %d has %d", revision, id, revisions[id])
			}
		}
	}
}

// Half of a service's endpoints are replaced one after the other for twelve seconds. While news
// comes in all the time two entries seldom hold the same evidence, which is no sign that one
// lacks some: told everything again for that, each entry would spend its bound on it.
func TestLongReplacementStaysWithinBandwidth(t *testing.T) {
	t.Parallel()
	const entries, pieces, gap = 60, 144, 80 * time.Millisecond
	f := newFleet(entries, 1)
	f.withoutReports = true
	f.run(8 * time.Second)
	before, began := 0, f.now
	for _, id := range f.ids {
		before += f.sent[id]
	}
	all := evidence(pieces)
	for i := range all {
		f.nodes[f.ids[i%4*entries/4]].Spread(f.now, all[i:i+1])
		f.run(gap)
	}
	if took := f.untilAllHave(pieces, 5*time.Second, func(uint64) bool { return true }); took > time.Second {
		t.Errorf("all have it %v after the last", took)
	}
	sent := -before
	for _, id := range f.ids {
		sent += f.sent[id]
	}
	sent /= entries
	t.Logf("%d bytes an entry in %v", sent, f.now-began)
	heartbeats := heartbeatShare * defaultBytesPerSecond * (f.now - began).Seconds()
	// Each piece comes alone, so a copy costs a message.
	const duplicates = 1.25
	if most := int(heartbeats + duplicates*pieces*(heartbeatBytes+typicalEvidenceBytes)); sent > most {
		t.Errorf("%d bytes an entry in %v, want %d", sent, f.now-began, most)
	}
}
