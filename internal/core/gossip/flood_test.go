package gossip

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// Guards against entries that spend their budget on duplicates. When 105 of 421 endpoints left,
// each entry sent every piece of evidence to the 140 receivers of its heartbeats unless they had
// acknowledged it to this entry, although they had it from other entries; and once the budget was
// spent, each due message went out as soon as its header fitted, without evidence. Each entry was
// left with 110 of 18,000 bytes, 34 messages per second and 13,500 pending pieces, a number that
// did not fall. Another endpoint that left half a minute later got a read from one of 141 entries
// 2.6 s after it had reported that it was leaving.
func TestBandwidthIsNotSpentOnDuplicates(t *testing.T) {
	t.Parallel()
	const (
		entries, leave = 141, 105
		// maxDuplicates is how many copies of a piece an entry may send on average in the first
		// seconds.
		maxDuplicates = 4
	)
	f := newFleet(entries, 1)
	f.withoutReports = true
	f.run(8 * time.Second) // each entry has announced to all others that it serves
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
		t.Errorf("all entries have the evidence after %v", took)
	}
	f.run(8 * time.Second)
	sent := -before
	for _, id := range f.ids {
		sent += f.sent[id]
		if left := f.nodes[id].allow.bytes; left < 0.5*burstSeconds*defaultBytesPerSecond {
			t.Errorf("entry %d has a budget of %.0f bytes 8 s after the evidence", id, left)
		}
	}
	heartbeats := int(heartbeatShare * defaultBytesPerSecond * (f.now - began).Seconds())
	most := entries * (heartbeats + maxDuplicates*leave*(evidenceBytes+len(pieces[0].VM)))
	if t.Logf("%d bytes per entry", sent/entries); sent > most {
		t.Errorf("%d bytes per entry, want at most %d", sent/entries, most/entries)
	}
	f.nodes[f.ids[7]].Spread(f.now, evidence(leave + 1)[leave:])
	took := f.untilAllHave(leave+1, 5*time.Second, func(uint64) bool { return true })
	if took > 200*time.Millisecond {
		t.Errorf("all entries have the next piece after %v (the largest duration means never)", took)
	}
}

// Guards against entries that stay behind while revisions arrive faster than the quiet time before
// redundant deliveries. An operator publishes a profile while endpoints come and go for many
// seconds and a third of the entries have just died. An entry whose sender is dead would receive
// nothing until the list of VMs stops changing for a moment, since the other entries send to it
// only then. With 20 revisions per second no entry is more than 2 s behind.
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
				t.Fatalf("at revision %d entry %d has only revision %d", revision, id, revisions[id])
			}
		}
	}
}

// Guards against repairs while evidence keeps arriving: half of a service's endpoints are replaced
// one after the other for twelve seconds. During that time two entries seldom have the same
// evidence, although neither has missed any; if each difference caused all evidence to be sent
// again, each entry would spend its budget on it.
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
		t.Errorf("all entries have the evidence %v after the last piece", took)
	}
	sent := -before
	for _, id := range f.ids {
		sent += f.sent[id]
	}
	sent /= entries
	t.Logf("%d bytes per entry in %v", sent, f.now-began)
	heartbeats := heartbeatShare * defaultBytesPerSecond * (f.now - began).Seconds()
	// Each piece arrives alone, so a duplicate costs a whole message.
	const duplicates = 1.25
	if most := int(heartbeats + duplicates*pieces*(heartbeatBytes+typicalEvidenceBytes)); sent > most {
		t.Errorf("%d bytes per entry in %v, want at most %d", sent, f.now-began, most)
	}
}
