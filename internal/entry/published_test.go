package entry

import "testing"

// Fifteen entries start together and exchange hellos one after another. Each entry that took the
// first two for the whole fleet would read the configuration service, with the calls of a reader,
// until it knew of the others. Discovery is over when the number of known entries has not changed
// for a while.
func TestDiscoveryEndsWhenEntryCountIsStable(t *testing.T) {
	m := discovery{unchangedNeeded: discoveryChecks}
	for _, known := range []int{1, 1, 1, 1, 1, 1, 2, 3, 3, 3, 5, 9, 9, 14, 15, 15, 15, 15} {
		if m.observe(known, true) {
			t.Fatalf("discovery over with %d entries known", known)
		}
	}
	if m.observe(15, false) {
		t.Error("discovery over though a peer has other records")
	}
	for range discoveryChecks {
		if m.observe(15, true) {
			t.Fatal("discovery over right after a peer had other records")
		}
	}
	if !m.observe(15, true) {
		t.Error("discovery not over after five checks without a new entry")
	}
}
