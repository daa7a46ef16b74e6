package entry

import "testing"

// Fifteen entries start together and greet each other one after another. Each that took
// the first two for the fleet would read the platform for all, with the calls of a reader,
// until it knew better. The meeting is over when nobody has come for a while.
func TestMeetingEndsWhenEntryCountIsStable(t *testing.T) {
	m := meeting{unchangedNeeded: meetingChecks}
	for _, known := range []int{1, 1, 1, 1, 1, 1, 2, 3, 3, 3, 5, 9, 9, 14, 15, 15, 15, 15} {
		if m.observe(known, true) {
			t.Fatalf("over with %d entries known", known)
		}
	}
	if m.observe(15, false) {
		t.Error("over though a peer knows others")
	}
	for range meetingChecks {
		if m.observe(15, true) {
			t.Fatal("over right after a peer knew others")
		}
	}
	if !m.observe(15, true) {
		t.Error("not over though nobody came for five checks")
	}
}
