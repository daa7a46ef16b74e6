package assign

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// Guards against an audit trail that does not tell a slow transfer from a silent source or from a
// long time between the answer and its use.
func TestSearchTellsTransferFromUse(t *testing.T) {
	tracker, rng := NewTracker(0, TrackerConfig{}), rand.New(rand.NewPCG(1, 1))
	tracker.NotePeerRevision(time.Second, 7, Source{Peer: 3, Delay: 100 * time.Millisecond})
	f, ok := tracker.Next(1100*time.Millisecond, nil, rng)
	if !ok {
		t.Fatal("no fetch is due")
	}
	tracker.Received(1500*time.Millisecond, f, 65536, false)
	tracker.Received(1900*time.Millisecond, f, 1000, true)
	search, _ := tracker.Search()
	got := search.Describe(2200 * time.Millisecond)
	for _, want := range []string{"known for 1.2s", "1 fetches, 0 without an answer", "first asked for after 100ms", "66536 bytes received after 900ms", "in force 300ms later"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q lacks %q", got, want)
		}
	}
}
