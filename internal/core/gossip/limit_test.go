package gossip

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// Guards against an entry that applies an outdated limit of an endpoint: at every entry a newer
// limit replaces an older one, in whatever order they arrive and also when two entries report
// limits at the same time, and only the latest is stored.
func TestLatestLimitReplacesEarlier(t *testing.T) {
	f := newFleet(14, 1)
	f.run(2 * time.Second)
	limit := func(rate float64, version uint32) []message.Evidence {
		return []message.Evidence{{VM: "limit of e", Incarnation: 1, Kind: message.EvidenceLimit, Limit: message.Limit{Rate: rate, Version: version}}}
	}
	for i, id := range f.ids[:3] {
		f.nodes[id].Spread(f.now, limit(1, uint32(1+i)))
		f.run(20 * time.Millisecond)
	}
	f.nodes[f.ids[4]].Spread(f.now, limit(2, 4))
	f.nodes[f.ids[9]].Spread(f.now, limit(3, 4))
	f.run(3 * time.Second)
	f.nodes[f.ids[9]].Spread(f.now, limit(9, 2))
	f.run(3 * time.Second)
	for _, id := range f.ids {
		stored := f.nodes[id].log.stored
		if len(stored) != 1 || stored[0].evidence.Limit != (message.Limit{Rate: 3, Version: 4}) {
			t.Fatalf("entry %d has %+v", id, stored)
		}
		if f.nodes[id].Digest() != f.nodes[f.ids[0]].Digest() {
			t.Error("entries with the same evidence have different digests")
		}
	}
}
