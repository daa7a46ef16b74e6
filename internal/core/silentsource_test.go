package core

import (
	"fmt"
	"testing"
	"time"
)

// inForceLimit is the time within which a revision is in force at all entries that are in contact.
const inForceLimit = 2 * time.Second

// Guards against a configuration that is in force late at entries that fetch it from a peer which
// falls silent meanwhile, although other peers have it.
func TestRevisionInForceAlthoughItsSourceFallsSilent(t *testing.T) {
	const soon = 20 * ms
	for _, fleet := range []struct{ entries, step int }{{15, 1}, {60, 4}, {126, 63}} {
		entries := fleet.entries
		for first := 0; first < entries; first += fleet.step {
			// Entries of one failure domain fall silent together, as those of a rack do.
			for _, silentEntries := range []int{1, 3} {
				t.Run(fmt.Sprintf("%d entries, %d from entry-%d on", entries, silentEntries, first), func(t *testing.T) {
					h := newServingCluster(t, entries, "counts/c1")
					h.run(2 * sec)
					silent := map[*node]bool{}
					for i := range silentEntries {
						silent[h.nodes[(first+3*i)%entries]] = true
					}
					published := h.now
					h.republish(2, `deadline = "800ms"`, `deadline = "700ms"`)
					h.untilAny(sec, silent, atRevision(2))
					h.run(soon)
					h.cut = func(from, to *node) bool { return silent[from] || silent[to] }
					h.platformMute = func(n *node) bool { return silent[n] }
					h.until(20*sec, func(n *node) bool { return silent[n] || atRevision(2)(n) })
					if took := h.now - published; took > inForceLimit {
						t.Errorf("in force at all entries in contact after %v, want at most %v", took, inForceLimit)
					}
				})
			}
		}
	}
}

// untilAny runs the cluster until ok holds for one of the given entries.
func (h *clusterHarness) untilAny(limit time.Duration, entries map[*node]bool, ok func(n *node) bool) {
	for began := h.now; h.now-began < limit; h.run(h.tick) {
		for n := range entries {
			if ok(n) {
				return
			}
		}
	}
}
