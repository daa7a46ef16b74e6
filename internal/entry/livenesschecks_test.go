package entry

import (
	"context"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/published"
)

type answeringPlatform struct{ published.LivenessChecker }

func (answeringPlatform) Liveness(context.Context) (published.Liveness, error) {
	return published.Liveness{}, nil
}

// The platform is down, and 87 entries that stand in for those assigned to read it each sent it
// two reads and more before a glance, at a tenth of the price, had told them that it does not
// answer: 270 calls in four seconds.
func TestUnassignedReaderWaitsForLivenessCheck(t *testing.T) {
	for _, tt := range []struct {
		name                           string
		off, failed, answered          bool
		assignedReads, unassignedReads bool
	}{
		{"before the first glance", false, false, false, true, false},
		{"glances are answered", false, false, true, true, true},
		{"the latest glance was not", false, true, true, false, false},
		{"no glances are made", true, false, false, true, true},
	} {
		l := &livenessChecks{platform: answeringPlatform{}, every: time.Second}
		if tt.off {
			l.every = 0
		}
		l.failed.Store(tt.failed)
		l.answered.Store(tt.answered)
		if l.allowsRead(true) != tt.assignedReads || l.allowsRead(false) != tt.unassignedReads {
			t.Errorf("%s: an assigned entry reads %v, one that stands in %v", tt.name, l.allowsRead(true), l.allowsRead(false))
		}
	}
}

// An entry that tries last waits for its moment to glance, up to 14 s in a fleet of 139, when the
// readers of its failure domain end and the duty falls to it. It slept on: it read for all others
// and did not notice, for those seconds, that the platform had stopped answering it.
func TestNewlyAssignedReaderChecksLivenessAtOnce(t *testing.T) {
	const pause = 7 * time.Second
	for range 100 {
		l := &livenessChecks{}
		if l.due(time.Second, pause, true) {
			continue // its moment has come at once
		}
		if !l.due(time.Second+readerCheckInterval, pause, false) {
			t.Fatal("an entry whose duty it is to read waits on")
		}
		if !l.due(time.Second+2*pause+readerCheckInterval, pause, true) && l.nextSpread <= time.Second+2*pause {
			t.Fatal("the moment of before holds on")
		}
	}
	l, checks := &livenessChecks{}, 0
	const duration = 700 * time.Second
	for now := time.Duration(0); now < duration; now += readerCheckInterval {
		if l.due(now, pause, true) {
			checks++
		}
	}
	if most := int(2 * duration / pause); checks == 0 || checks > most {
		t.Errorf("%d glances in %v with a pause of %v, want %d at most", checks, duration, pause, most)
	}
}
