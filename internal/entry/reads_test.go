package entry

import (
	"context"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/published"
)

type glancer struct{ published.Glancer }

func (glancer) Glance(context.Context) (published.Glance, error) { return published.Glance{}, nil }

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
		g := &glances{platform: glancer{}, every: time.Second}
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
