package gossip

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// Guards against an entry that goes by an older limit of an endpoint: later news takes the place of earlier
// at every entry, in whatever order it comes, also where two entries told at the same time; and no more
// than the latest is held.
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
			t.Fatalf("entry %d holds %+v", id, stored)
		}
		if f.nodes[id].Digest() != f.nodes[f.ids[0]].Digest() {
			t.Error("entries that hold the same have different digests")
		}
	}
}
