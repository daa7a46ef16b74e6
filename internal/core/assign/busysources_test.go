package assign

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// Guards against the configuration service being read, or a source being given up, because all
// sources send to others now.
func TestBusySourcesAreAskedAgain(t *testing.T) {
	tracker, rng := NewTracker(0, TrackerConfig{}), rand.New(rand.NewPCG(1, 1))
	tracker.NotePeerRevision(0, 2, Source{Peer: 11})
	tracker.NotePeerRevision(0, 2, Source{Peer: 12})
	ask := func(now time.Duration) (f Fetch, due bool) {
		t.Helper()
		f, due = tracker.Next(now, nil, rng)
		if due && f.From == Platform {
			t.Fatalf("the platform is asked after %v", now)
		}
		return f, due
	}
	first, _ := ask(0)
	tracker.Deferred(5*ms, first, 100*ms)
	second, due := ask(5 * ms)
	if !due || second.From == first.From {
		t.Fatalf("the other source is not asked at once: %+v", second)
	}
	tracker.Deferred(10*ms, second, 200*ms)
	for now := 10 * ms; now < 105*ms; now += 5 * ms {
		if f, due := ask(now); due {
			t.Fatalf("%d is asked after %v", f.From, now)
		}
	}
	again, due := ask(105 * ms)
	if !due || again.From != first.From {
		t.Fatalf("the first source is not asked again in time: %+v", again)
	}
	if search, _ := tracker.Search(); search.Unanswered != 0 {
		t.Errorf("%d fetches count as unanswered", search.Unanswered)
	}
}

// Guards against a revision that is looked for at one silent entry after the other of a failure domain
// that has lost power, while entries elsewhere have it.
func TestSourcesElsewhereAreAskedOnceNearOneIsSilent(t *testing.T) {
	tracker, rng := NewTracker(0, TrackerConfig{}), rand.New(rand.NewPCG(1, 1))
	for peer := range uint64(3) {
		tracker.NotePeerRevision(0, 2, Source{Peer: 11 + peer, Near: true})
	}
	tracker.NotePeerRevision(0, 2, Source{Peer: 21})
	var asked []uint64
	for now := time.Duration(0); now < time.Second; now += 10 * ms {
		if f, due := tracker.Next(now, nil, rng); due {
			asked = append(asked, f.From)
		}
	}
	if len(asked) < 4 || asked[0] == 21 || asked[1] != 21 {
		t.Errorf("asked %d within a second, want a near source, then 21, then the others", asked)
	}
}

// Guards against a value that only a weak entry of a failure domain reads, for which a large
// configuration takes seconds.
func TestStrongestEntriesRead(t *testing.T) {
	all := members(40, 4)
	for i := range all {
		all[i].Capacity = 112
	}
	all[17].Capacity, all[25].Capacity = 800, 800 // both in the same domain
	readers := Readers(all, all[17].Domain, 2)
	if len(readers) != 2 || readers[0] != all[17].ID && readers[0] != all[25].ID || readers[1] != all[17].ID && readers[1] != all[25].ID {
		t.Errorf("readers %d, want %d and %d", readers, all[17].ID, all[25].ID)
	}
	for i := range all {
		if IsReader(all[i].ID, all, 1) != (Readers(all, all[i].Domain, 1)[0] == all[i].ID) {
			t.Errorf("entry %d disagrees with the others on whether it reads", i)
		}
	}
}

// Guards against a value that is fetched again, or read from the platform, while the text that this
// entry has is still being parsed.
func TestNothingIsFetchedWhileTextIsParsed(t *testing.T) {
	tracker, rng := NewTracker(0, TrackerConfig{}), rand.New(rand.NewPCG(1, 1))
	tracker.Settle(message.Mark{Revision: 1, Digest: 1}, true)
	tracker.NotePeerRevision(0, 2, Source{Peer: 11})
	tracker.NotePeerRevision(0, 2, Source{Peer: 12})
	first, _ := tracker.Next(0, nil, rng)
	second, due := tracker.Next(sourcePatience, nil, rng) // the first source is silent
	if !due {
		t.Fatal("no second source is asked")
	}
	if !tracker.Hold(message.Mark{Revision: 2, Digest: 2}) || tracker.Available().Revision != 2 {
		t.Fatal("the text is not held")
	}
	tracker.Done(sourcePatience+10*ms, second, true, rng) // its answer is not needed any more
	tracker.Done(sourcePatience+10*ms, first, true, rng)
	const parsed = 3 * time.Second // on an entry with hardly any processor time
	for now := sourcePatience + 10*ms; now < parsed; now += 10 * ms {
		if f, due := tracker.Next(now, nil, rng); due {
			t.Fatalf("%d is asked after %v", f.From, now)
		}
	}
	tracker.NotePeerRevision(parsed, 3, Source{Peer: 13})
	if _, due := tracker.Next(parsed+10*ms, nil, rng); !due {
		t.Error("a still later revision is not fetched")
	}
	tracker.Settle(message.Mark{Revision: 2, Digest: 2}, false)
	if got := tracker.Available().Revision; got != 1 {
		t.Errorf("revision %d is available after the text was refused", got)
	}
}
