package entry

import (
	"testing"
	"time"
)

// Guards against a restarted entry whose peers ignore it and rely on its predecessor: of two processes
// that start within a second, the later one must have the higher incarnation.
func TestIncarnationsGrowWithinSecond(t *testing.T) {
	for _, pause := range []time.Duration{2 * time.Millisecond, 50 * time.Millisecond, 450 * time.Millisecond} {
		started := time.Date(2026, time.March, 4, 5, 6, 7, 0, time.UTC)
		var before uint64
		for range 100 {
			incarnation, err := incarnationOf(Options{Wall: func() time.Time { return started }})
			if err != nil {
				t.Fatal(err)
			}
			if incarnation <= before {
				t.Fatalf("incarnation %x of a process that started %v after the one with %x", incarnation, pause, before)
			}
			before, started = incarnation, started.Add(pause)
		}
	}
}

// Guards against an upgraded entry that its peers take for an older process than the one of the
// release before, which had the second of its start in the upper half.
func TestIncarnationIsHigherThanThatOfEarlierRelease(t *testing.T) {
	started := time.Date(2026, time.March, 4, 5, 6, 7, 0, time.UTC)
	incarnation, err := incarnationOf(Options{Wall: func() time.Time { return started }})
	if highest := uint64(started.Unix())<<32 - 1; err != nil || incarnation <= highest {
		t.Errorf("incarnation %x, %v; an earlier release had up to %x a second before", incarnation, err, highest)
	}
}
