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

// The configuration service was down, and 87 entries that read in place of the assigned readers
// each sent two or more reads before a liveness check, which costs a tenth of a read, had shown
// that the configuration service does not answer: 270 calls in four seconds. An entry that is not
// an assigned reader must wait for an answered check.
func TestUnassignedReaderWaitsForLivenessCheck(t *testing.T) {
	for _, tt := range []struct {
		name                           string
		off, failed, answered          bool
		assignedReads, unassignedReads bool
	}{
		{"before the first check", false, false, false, true, false},
		{"checks are answered", false, false, true, true, true},
		{"the latest check was not answered", false, true, true, false, false},
		{"checks are disabled", true, false, false, true, true},
	} {
		l := &livenessChecks{platform: answeringPlatform{}, every: time.Second}
		if tt.off {
			l.every = 0
		}
		l.failed.Store(tt.failed)
		l.answered.Store(tt.answered)
		if l.allowsRead(true) != tt.assignedReads || l.allowsRead(false) != tt.unassignedReads {
			t.Errorf("%s: an assigned entry may read: %v, an unassigned one: %v", tt.name, l.allowsRead(true), l.allowsRead(false))
		}
	}
}

// An entry of the last standby group waits for a random time before its check, up to 14 s in a
// fleet of 139. When the readers of its failure domain stopped and the entry became assigned to
// read, it kept waiting: it read for all others and did not notice for those seconds that the
// configuration service had stopped answering it.
func TestNewlyAssignedReaderChecksLivenessAtOnce(t *testing.T) {
	const pause = 7 * time.Second
	for range 100 {
		l := &livenessChecks{}
		if l.due(time.Second, pause, true) {
			continue // the random time of the check is now
		}
		if !l.due(time.Second+readerCheckInterval, pause, false) {
			t.Fatal("an entry that became assigned to read still waits")
		}
		if !l.due(time.Second+2*pause+readerCheckInterval, pause, true) && l.nextSpread <= time.Second+2*pause {
			t.Fatal("the time of the previous check is still in force")
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
		t.Errorf("%d checks in %v with a pause of %v, want 1 to %d", checks, duration, pause, most)
	}
}
