package entry

import (
	"context"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/published"
)

type alive struct{ published.LivenessChecker }

func (alive) Liveness(context.Context) (published.Liveness, error) { return published.Liveness{}, nil }

// The platform is down, and 87 entries that stand in for those assigned to read it each sent it
// two reads and more before a glance, at a tenth of the price, had told them that it does not
// answer: 270 calls in four seconds.
func TestStandInGlancesBeforeItReads(t *testing.T) {
	for _, tt := range []struct {
		name                       string
		off, failed, answered      bool
		assignedReads, standsInFor bool
	}{
		{"before the first glance", false, false, false, true, false},
		{"glances are answered", false, false, true, true, true},
		{"the latest glance was not", false, true, true, false, false},
		{"no glances are made", true, false, false, true, true},
	} {
		g := &livenessChecks{platform: alive{}, every: time.Second}
		if tt.off {
			g.every = 0
		}
		g.failed.Store(tt.failed)
		g.answered.Store(tt.answered)
		if g.allow(true) != tt.assignedReads || g.allow(false) != tt.standsInFor {
			t.Errorf("%s: an assigned entry reads %v, one that stands in %v", tt.name, g.allow(true), g.allow(false))
		}
	}
}

// An entry that tries last waits for its moment to glance, up to 14 s in a fleet of 139, when the
// readers of its failure domain end and the duty falls to it. It slept on: it read for all others
// and did not notice, for those seconds, that the platform had stopped answering it.
func TestNewReaderGlancesAtOnce(t *testing.T) {
	const pause = 7 * time.Second
	for range 100 {
		g := &livenessChecks{}
		if g.due(time.Second, pause, true) {
			continue // its moment has come at once
		}
		if !g.due(time.Second+readerCheck, pause, false) {
			t.Fatal("an entry whose duty it is to read waits on")
		}
		if !g.due(time.Second+2*pause+readerCheck, pause, true) && g.spreadUntil <= time.Second+2*pause {
			t.Fatal("the moment of before holds on")
		}
	}
	g, glanced := &livenessChecks{}, 0
	const lasts = 700 * time.Second
	for now := time.Duration(0); now < lasts; now += readerCheck {
		if g.due(now, pause, true) {
			glanced++
		}
	}
	if most := int(2 * lasts / pause); glanced == 0 || glanced > most {
		t.Errorf("%d glances in %v with a pause of %v, want %d at most", glanced, lasts, pause, most)
	}
}
